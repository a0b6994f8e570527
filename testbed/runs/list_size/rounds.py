"""Rounds of a measurement beside a reference, of which those on an undisturbed core count.

A core's speed varies with its neighbours: a busy sibling nearly halves it. So every cell is played in short
rounds, each between two of a fixed piece of work, the reference; only rounds beside a quick reference count.
"""

from __future__ import annotations

import math
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any, Generic, Protocol, TypeVar

import numpy as np

from testbed.results import Row, RunResult

REFERENCE_TIMES = 20
"""Pieces of work in one reading of the reference, which is their median."""
REFERENCES = 100
"""Readings at the start, to know how quick a core is that is left alone."""
QUICK = 1.25
"""A reference up to so many times the least is quick; a busy sibling core makes it nearly twice the least."""
_US_NS = 1e3


@dataclass(frozen=True, slots=True, kw_only=True)
class RoundColumns(Row):
    """The rounds behind a row."""

    rounds: int
    """Those beside a quick reference, which make the row."""
    rounds_played: int
    reference_us: float
    """The longest reference beside one of the quick rounds, in microseconds."""


RoundT = TypeVar("RoundT")
RowT_co = TypeVar("RowT_co", bound=Row, covariant=True)
RowT = TypeVar("RowT", bound=Row)


class Cell(Protocol[RoundT, RowT_co]):
    """One size under one setting, of which rounds are played."""

    @property
    def name(self) -> Row:
        """The columns that tell it from the others."""

    def play(self) -> RoundT:
        """Play one round."""

    def row(self, quick_rounds: Sequence[RoundT], columns: RoundColumns) -> RowT_co:
        """Make the row of the quick rounds together; `columns` becomes a part of it."""


def reference_us() -> float:
    """Measure the median time of a fixed piece of work, in microseconds."""
    spans_ns = []
    for _ in range(REFERENCE_TIMES):
        began = time.perf_counter_ns()
        sum([math.exp(-i / 1000) for i in range(1000)])
        spans_ns.append(time.perf_counter_ns() - began)
    return float(np.median(spans_ns)) / _US_NS


@dataclass(frozen=True, slots=True)
class _Played:
    """A round, and the longer of the references before and after it."""

    reference_us: float
    measured: Any


class Rounds(Generic[RowT]):
    """Plays cells in rounds, and counts those beside a quick reference.

    Args:
        quick_rounds: So many quick rounds of a cell end its play.
        max_rounds: So many rounds of a cell are played at most.
        reference: Takes a reading of the reference, in microseconds.
    """

    def __init__(self, quick_rounds: int, max_rounds: int, reference: Callable[[], float]) -> None:
        self._quick_rounds, self._max_rounds, self._reference = quick_rounds, max_rounds, reference
        self._played: list[tuple[Cell[Any, RowT], list[_Played]]] = []
        self._min_reference_us = min([reference() for _ in range(REFERENCES)])

    def _is_quick(self, played: _Played) -> bool:
        return played.reference_us <= QUICK * self._min_reference_us

    def play(self, cell: Cell[Any, RowT]) -> None:
        """Play rounds until enough were quick, as far as is known by now, or there were too many."""
        rounds: list[_Played] = []
        before = self._reference()
        while len(rounds) < self._max_rounds and sum(map(self._is_quick, rounds)) < self._quick_rounds:
            measured = cell.play()
            after = self._reference()
            self._min_reference_us = min(self._min_reference_us, after)
            rounds.append(_Played(max(before, after), measured))
            before = after
        self._played.append((cell, rounds))

    def result(self) -> RunResult[RowT]:
        """Make the rows of the quick rounds; the result is invalid where a cell has none."""
        result: RunResult[RowT] = RunResult()
        for cell, rounds in self._played:
            quick = list(filter(self._is_quick, rounds))
            if not quick:
                result.invalid_reasons.append(
                    f"{cell.name.columns()}: none of {len(rounds)} rounds was quick"
                )
                continue
            columns = RoundColumns(
                rounds=len(quick),
                rounds_played=len(rounds),
                reference_us=max(played.reference_us for played in quick),
            )
            result.rows.append(cell.row([played.measured for played in quick], columns))
        return result
