"""Rounds of a measurement beside a reference, of which those on an undisturbed core count.

A core's speed varies with its neighbours: a busy sibling nearly halves it. So every cell is played in short
rounds, each between two of a fixed piece of work, the reference; only rounds beside a quick reference count.
"""

from __future__ import annotations

import math
import time
from collections.abc import Callable
from typing import Any, Protocol

import numpy as np

REFERENCE_TIMES = 20
REFERENCES = 100  # at the start, to know how quick a core is that is left alone
QUICK = 1.25  # times the least reference: a busy sibling makes it nearly twice
_US = 1e3  # nanoseconds

Spans = dict[str, list[float]]
"""Nanoseconds by what took them, and other figures of a round by name."""


class Cell(Protocol):
    """One size, kept in part or in all, of which rounds are played; `name` holds the columns that name it."""

    name: dict[str, Any]

    def play(self) -> Spans:
        """One round."""

    def row(self, spans: Spans) -> dict[str, Any]:
        """The row that the rounds together make."""


def reference_us() -> float:
    """The median time of a fixed piece of work, in microseconds."""
    spans = []
    for _ in range(REFERENCE_TIMES):
        began = time.perf_counter_ns()
        sum([math.exp(-i / 1000) for i in range(1000)])
        spans.append(time.perf_counter_ns() - began)
    return float(np.median(spans)) / _US


class Rounds:
    """Plays cells in rounds, and counts those beside a quick reference; `reference` gives microseconds."""

    def __init__(self, enough: int, most: int, reference: Callable[[], float]) -> None:
        self._enough, self._most, self._reference = enough, most, reference
        self._played: list[tuple[Cell, list[tuple[float, Spans]]]] = []
        self._least = min([reference() for _ in range(REFERENCES)])

    def _is_quick(self, reference_us: float) -> bool:
        return reference_us <= QUICK * self._least

    def play(self, cell: Cell) -> None:
        """Play rounds until enough were quick, as far as is known by now, or the most were played."""
        played: list[tuple[float, Spans]] = []
        before = self._reference()
        while len(played) < self._most and sum(self._is_quick(r) for r, _ in played) < self._enough:
            spans = cell.play()
            after = self._reference()
            self._least = min(self._least, after)
            played.append((max(before, after), spans))
            before = after
        self._played.append((cell, played))

    def rows(self) -> tuple[list[dict[str, Any]], list[str]]:
        """The rows of the quick rounds, and a doubt for each cell that has none."""
        rows, doubts = [], []
        for cell, played in self._played:
            quick = [(reference, spans) for reference, spans in played if self._is_quick(reference)]
            if not quick:
                doubts.append(f"{cell.name}: none of {len(played)} rounds was quick")
                continue
            together: Spans = {name: [] for name in quick[0][1]}
            for _, spans in quick:
                for name, values in spans.items():
                    together[name] += values
            row = cell.row(together)
            longest = max(reference for reference, _ in quick)
            rows.append(row | {"rounds": len(quick), "rounds_played": len(played), "reference_us": longest})
        return rows, doubts
