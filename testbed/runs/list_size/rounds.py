"""Runs benchmarks in rounds, of which only those on an undisturbed core count.

The speed of a core depends on its sibling hyperthread: a busy sibling nearly halves it. Each benchmark is
therefore run in short rounds, with a fixed reference computation before and after each round, and only
rounds between two quick references count.
"""

from __future__ import annotations

import math
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Generic, Protocol, TypeVar

import numpy as np

from testbed.results import Row, RunResult, stored_as

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

REFERENCE_REPETITIONS = 20
"""The number of repetitions of the reference computation, of which the median is one reading."""
INITIAL_REFERENCES = 100
"""The number of readings at the start; their minimum is the time on an undisturbed core."""
MAX_QUICK_RATIO = 1.25
"""The maximum ratio of a quick reference to the minimum; on a core with a busy sibling it is nearly 2."""
_NS_PER_US = 1e3


@dataclass(frozen=True, slots=True, kw_only=True)
class RoundColumns(Row):
    """The rounds that a row is based on."""

    rounds: int
    """The number of quick rounds, which the row is computed from."""
    rounds_run: int = stored_as("rounds_played")
    reference_us: float
    """The slowest reference of the quick rounds, in microseconds."""


RoundT = TypeVar("RoundT")
RowT_co = TypeVar("RowT_co", bound=Row, covariant=True)
RowT = TypeVar("RowT", bound=Row)


class Benchmark(Protocol[RoundT, RowT_co]):
    """A benchmark with one combination of list length and settings."""

    @property
    def identity(self) -> Row:
        """The columns that identify the benchmark."""

    def run_round(self) -> RoundT:
        """Run one round."""

    def row(self, quick_rounds: Sequence[RoundT], columns: RoundColumns) -> RowT_co:
        """Return the row that combines all quick rounds and includes `columns`."""


def reference_us() -> float:
    """Measure the median time of the reference computation, in microseconds."""
    durations_ns = []
    for _ in range(REFERENCE_REPETITIONS):
        start_ns = time.perf_counter_ns()
        sum([math.exp(-i / 1000) for i in range(1000)])
        durations_ns.append(time.perf_counter_ns() - start_ns)
    return float(np.median(durations_ns)) / _NS_PER_US


@dataclass(frozen=True, slots=True)
class _MeasuredRound:
    """The measurements of a round, and the slower of the references before and after it."""

    reference_us: float
    measured: Any


class BenchmarkRunner(Generic[RowT]):
    """Runs rounds of each benchmark until enough of them were quick.

    Args:
        quick_rounds: The number of quick rounds that each benchmark needs.
        max_rounds: The limit on rounds of a benchmark.
        reference: Returns a reading of the reference in microseconds.
    """

    def __init__(self, quick_rounds: int, max_rounds: int, reference: Callable[[], float]) -> None:
        self._quick_rounds, self._max_rounds, self._reference = quick_rounds, max_rounds, reference
        self._measured_benchmarks: list[tuple[Benchmark[Any, RowT], list[_MeasuredRound]]] = []
        self._min_reference_us = min([reference() for _ in range(INITIAL_REFERENCES)])

    def _is_quick(self, measured_round: _MeasuredRound) -> bool:
        return measured_round.reference_us <= MAX_QUICK_RATIO * self._min_reference_us

    def measure(self, benchmark: Benchmark[Any, RowT]) -> None:
        """Run rounds until enough were quick, compared with the minimum so far, or the limit is reached."""
        rounds: list[_MeasuredRound] = []
        before = self._reference()
        while len(rounds) < self._max_rounds and sum(map(self._is_quick, rounds)) < self._quick_rounds:
            measured = benchmark.run_round()
            after = self._reference()
            self._min_reference_us = min(self._min_reference_us, after)
            rounds.append(_MeasuredRound(max(before, after), measured))
            before = after
        self._measured_benchmarks.append((benchmark, rounds))

    def result(self) -> RunResult[RowT]:
        """Return the rows of all benchmarks; the result is invalid if one of them has no quick round."""
        result: RunResult[RowT] = RunResult()
        for benchmark, rounds in self._measured_benchmarks:
            quick = list(filter(self._is_quick, rounds))
            if not quick:
                result.invalid_reasons.append(
                    f"{benchmark.identity.columns()}: none of {len(rounds)} rounds was quick"
                )
                continue
            columns = RoundColumns(
                rounds=len(quick),
                rounds_run=len(rounds),
                reference_us=max(measured_round.reference_us for measured_round in quick),
            )
            result.rows.append(benchmark.row([measured_round.measured for measured_round in quick], columns))
        return result
