"""Runs benchmarks in rounds, and uses only the rounds that ran on an undisturbed core.

The speed of a core depends on its sibling hyperthread: a busy sibling nearly halves it. Each benchmark is
therefore run in short rounds, with a calibration (a fixed computation whose time is measured) before and
after each round. A round is undisturbed if both calibrations were nearly as fast as the fastest one.
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

CALIBRATION_REPETITIONS = 20
"""The number of repetitions of the fixed computation; the calibration time is their median."""
INITIAL_CALIBRATIONS = 100
"""The number of calibrations at the start; their minimum is the time on an undisturbed core."""
MAX_UNDISTURBED_RATIO = 1.25
"""The maximum ratio of a calibration time in an undisturbed round to the fastest calibration time.

With a busy sibling, the ratio is nearly 2.
"""
_NS_PER_US = 1e3


@dataclass(frozen=True, slots=True, kw_only=True)
class RoundColumns(Row):
    """The rounds that a row is based on."""

    rounds: int
    """The number of undisturbed rounds, from which the row is computed."""
    rounds_run: int = stored_as("rounds_played")
    max_calibration_us: float = stored_as("reference_us")
    """The longest calibration time of the undisturbed rounds, in microseconds."""


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

    def row(self, undisturbed_rounds: Sequence[RoundT], columns: RoundColumns) -> RowT_co:
        """Return the row that combines all undisturbed rounds and includes `columns`."""


def measure_calibration_us() -> float:
    """Run the calibration and return its median time in microseconds."""
    durations_ns = []
    for _ in range(CALIBRATION_REPETITIONS):
        start_ns = time.perf_counter_ns()
        sum([math.exp(-i / 1000) for i in range(1000)])
        durations_ns.append(time.perf_counter_ns() - start_ns)
    return float(np.median(durations_ns)) / _NS_PER_US


@dataclass(frozen=True, slots=True)
class _MeasuredRound:
    """The measurements of a round, and the slower of the calibrations before and after it."""

    calibration_us: float
    measurements: Any


class BenchmarkRunner(Generic[RowT]):
    """Runs rounds of each benchmark until enough of them were undisturbed.

    Args:
        required_rounds: The number of undisturbed rounds that each benchmark needs.
        max_rounds: The limit on rounds of a benchmark.
        measure_calibration_us: Runs the calibration and returns its time in microseconds.
    """

    def __init__(
        self, required_rounds: int, max_rounds: int, measure_calibration_us: Callable[[], float]
    ) -> None:
        self._required_rounds, self._max_rounds, self._measure_calibration_us = (
            required_rounds,
            max_rounds,
            measure_calibration_us,
        )
        self._measured_benchmarks: list[tuple[Benchmark[Any, RowT], list[_MeasuredRound]]] = []
        self._min_calibration_us = min([measure_calibration_us() for _ in range(INITIAL_CALIBRATIONS)])

    def _is_undisturbed(self, measured_round: _MeasuredRound) -> bool:
        return measured_round.calibration_us <= MAX_UNDISTURBED_RATIO * self._min_calibration_us

    def measure(self, benchmark: Benchmark[Any, RowT]) -> None:
        """Run rounds until enough of them are undisturbed, or the limit is reached.

        The calibrations of a round are compared with the fastest calibration so far.
        """
        rounds: list[_MeasuredRound] = []
        before = self._measure_calibration_us()
        while (
            len(rounds) < self._max_rounds and sum(map(self._is_undisturbed, rounds)) < self._required_rounds
        ):
            measurements = benchmark.run_round()
            after = self._measure_calibration_us()
            self._min_calibration_us = min(self._min_calibration_us, after)
            rounds.append(_MeasuredRound(max(before, after), measurements))
            before = after
        self._measured_benchmarks.append((benchmark, rounds))

    def result(self) -> RunResult[RowT]:
        """Return the rows of all benchmarks; the result is invalid if one has no undisturbed round."""
        result: RunResult[RowT] = RunResult()
        for benchmark, rounds in self._measured_benchmarks:
            undisturbed = list(filter(self._is_undisturbed, rounds))
            if not undisturbed:
                result.invalidity_reasons.append(
                    f"{benchmark.identity.columns()}: the core was disturbed in all {len(rounds)} rounds"
                )
                continue
            columns = RoundColumns(
                rounds=len(undisturbed),
                rounds_run=len(rounds),
                max_calibration_us=max(measured_round.calibration_us for measured_round in undisturbed),
            )
            result.rows.append(
                benchmark.row([measured_round.measurements for measured_round in undisturbed], columns)
            )
        return result
