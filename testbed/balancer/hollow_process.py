"""A child process of hollow balancers, which reports when lists were in force."""

from __future__ import annotations

import asyncio
import gc
from dataclasses import dataclass
from functools import partial
from multiprocessing.connection import Connection
from typing import NamedTuple

import numpy as np
from numpy.typing import NDArray

from loadbalancer.configuration import read_configuration
from testbed.balancer.hollow import Hollow
from testbed.child_process import ChildProcess, run_child, serve_pipe
from testbed.measurement.meter import LoopLag


@dataclass(frozen=True, slots=True)
class HollowReport:
    """What the balancers of one process recorded since the report before.

    `balancers`, `indexes` and `times` are columns of one table.

    Attributes:
        balancers: The number of the balancer.
        indexes: The version of the list that it had in force.
        times: Since when, in seconds of the system's monotonic clock.
        lag_99_s: How late the event loop ran 99 in 100 of its timers, at most.
        lag_longest_s: How late it ran the latest.
    """

    balancers: NDArray[np.int32]
    indexes: NDArray[np.int64]
    times: NDArray[np.float64]
    lag_99_s: float
    lag_longest_s: float


class _ListInForce(NamedTuple):
    """A list that came into force at a balancer."""

    balancer: int
    list_index: int
    time_s: float


class HollowProcess:
    """A child process of hollow balancers.

    Attributes:
        pid: Its process id.
    """

    def __init__(self, configuration_texts: dict[int, str]) -> None:
        """Start it, with the configuration texts by the balancers' numbers."""
        self._child = ChildProcess(_run, configuration_texts)
        self.pid = self._child.pid

    def report(self) -> HollowReport:
        """Return what was recorded since the last report; waits for the process's event loop."""
        report = self._child.request("report")
        assert isinstance(report, HollowReport)
        return report

    def stop(self) -> HollowReport:
        """End the process and return the last report."""
        try:
            return self.report()
        finally:
            self._child.stop()


class _Recorder:
    """Records the lists that come into force."""

    def __init__(self) -> None:
        self._rows: list[_ListInForce] = []

    def record(self, balancer: int, index: int, time_s: float) -> None:
        """Record that a list is in force at a balancer."""
        self._rows.append(_ListInForce(balancer, index, time_s))

    def take_report(self, lag: LoopLag) -> HollowReport:
        """Return what was recorded since the last report, and the lag of the event loop."""
        rows, self._rows = self._rows, []
        lag_99_s, lag_longest_s = lag.take()
        return HollowReport(
            np.array([row.balancer for row in rows], dtype=np.int32),
            np.array([row.list_index for row in rows], dtype=np.int64),
            np.array([row.time_s for row in rows], dtype=np.float64),
            lag_99_s,
            lag_longest_s,
        )


def _ignore(_warning: str) -> None:
    """Take no notice of warnings on the configuration: it is generated."""


def _run(pipe: Connection, configuration_texts: dict[int, str]) -> None:
    """Run the child process."""
    run_child(_serve(pipe, configuration_texts))


async def _serve(pipe: Connection, configuration_texts: dict[int, str]) -> None:
    loop = asyncio.get_running_loop()
    recorder = _Recorder()
    for number, text in configuration_texts.items():
        configuration = read_configuration(text, _ignore)
        Hollow(configuration, loop, partial(recorder.record, number)).start()
    gc.collect()
    gc.freeze()  # as the program does once it has started
    lag = LoopLag(loop)  # the start of the balancers does not count as lag
    await serve_pipe(pipe, partial(recorder.take_report, lag))
