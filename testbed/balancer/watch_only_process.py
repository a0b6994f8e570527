"""A child process that runs watch-only balancers and reports when each of them applied a list."""

from __future__ import annotations

import asyncio
import gc
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING, NamedTuple, cast

import numpy as np

from loadbalancer.configuration import read_configuration
from testbed.balancer.watch_only import WatchOnlyBalancer
from testbed.child_process import ChildProcess, run_child, serve_pipe
from testbed.measurement.resource_usage import LoopLagMonitor

if TYPE_CHECKING:
    from multiprocessing.connection import Connection

    from numpy.typing import NDArray


@dataclass(frozen=True, slots=True)
class AppliedListsReport:
    """The lists that the balancers of one process applied since the previous report.

    `balancer_numbers`, `versions` and `applied_at_s` are parallel arrays with one element per applied list.

    Attributes:
        balancer_numbers: The number of the balancer that applied the list.
        versions: The version of the list.
        applied_at_s: When the list was applied, in seconds of the system's monotonic clock.
        p99_lag_s: The 99th percentile of the event loop's lag in the same period.
        max_lag_s: The maximum of the event loop's lag in the same period.
    """

    balancer_numbers: NDArray[np.int32]
    versions: NDArray[np.int64]
    applied_at_s: NDArray[np.float64]
    p99_lag_s: float
    max_lag_s: float


class _AppliedList(NamedTuple):
    """One list that one balancer applied; a report has an array for each of these fields."""

    balancer_number: int
    version: int
    applied_at_s: float


class WatchOnlyProcess:
    """A child process that runs watch-only balancers.

    Attributes:
        pid: Its process id.
    """

    def __init__(self, configuration_texts: dict[int, str]) -> None:
        """Start the process with one balancer for each configuration text; the keys are balancer numbers."""
        self._child = ChildProcess(_run, configuration_texts)
        self.pid = self._child.pid

    def report(self) -> AppliedListsReport:
        """Return the lists applied since the previous report; blocks until the child responds."""
        return cast("AppliedListsReport", self._child.request("report"))

    def stop(self) -> AppliedListsReport:
        """Return the last report and stop the process."""
        try:
            return self.report()
        finally:
            self._child.stop()


class _Recorder:
    """Records the lists that balancers apply."""

    def __init__(self) -> None:
        self._applied_lists: list[_AppliedList] = []

    def record(self, balancer_number: int, version: int, applied_at_s: float) -> None:
        """Record that a balancer has applied a list."""
        self._applied_lists.append(_AppliedList(balancer_number, version, applied_at_s))

    def take_report(self, lag_monitor: LoopLagMonitor) -> AppliedListsReport:
        """Return the lists applied since the previous report, and the lag of the event loop."""
        applied_lists, self._applied_lists = self._applied_lists, []
        p99_lag_s, max_lag_s = lag_monitor.take_lag()
        return AppliedListsReport(
            np.array([applied.balancer_number for applied in applied_lists], dtype=np.int32),
            np.array([applied.version for applied in applied_lists], dtype=np.int64),
            np.array([applied.applied_at_s for applied in applied_lists], dtype=np.float64),
            p99_lag_s,
            max_lag_s,
        )


def _ignore_warning(_warning: str) -> None:
    """Ignore a warning about the configuration, which is generated, so the warning needs no action."""


def _run(pipe: Connection, configuration_texts: dict[int, str]) -> None:
    """Entry point of the child process."""
    run_child(_serve(pipe, configuration_texts))


async def _serve(pipe: Connection, configuration_texts: dict[int, str]) -> None:
    loop = asyncio.get_running_loop()
    recorder = _Recorder()
    for number, text in configuration_texts.items():
        configuration = read_configuration(text, _ignore_warning)
        WatchOnlyBalancer(configuration, loop, partial(recorder.record, number)).start()
    gc.collect()
    gc.freeze()  # as a real balancer does after its start
    # Created after the balancers, so that their start does not count as lag.
    lag_monitor = LoopLagMonitor(loop)
    await serve_pipe(pipe, partial(recorder.take_report, lag_monitor))
