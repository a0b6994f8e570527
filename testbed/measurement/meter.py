"""What processes use, and whether the machine kept up."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import NamedTuple

import psutil

FULL_CORES_FRACTION = 0.9
"""From this fraction of busy time on, a process that waits for a core measures that wait."""

LAG_INTERVAL_S = 0.01
"""The interval of the timer by which the lag of an event loop is measured."""

_NANOSECONDS = 1e9


@dataclass(frozen=True, slots=True)
class Usage:
    """What some processes use, as sums.

    Attributes:
        processor_s: Processor time in seconds.
        resident: Resident memory in bytes.
        descriptors: Open file descriptors.
    """

    processor_s: float
    resident: int
    descriptors: int


def processor_s(pid: int) -> float:
    """Return the processor seconds of a process's living threads, to the nanosecond.

    psutil gives them in steps of 10 ms, which is as much as an idle balancer uses in some seconds.
    """
    tasks = Path(f"/proc/{pid}/task").iterdir()
    return sum(int((task / "schedstat").read_text().split()[0]) for task in tasks) / _NANOSECONDS


def usage(pids: Iterable[int]) -> Usage:
    """Return the processor time that processes have used so far, and what they hold now.

    Raises:
        psutil.NoSuchProcess: One of them has ended.
    """
    total_processor_s, resident, descriptors = 0.0, 0, 0
    for pid in pids:
        process = psutil.Process(pid)
        with process.oneshot():
            resident += process.memory_info().rss
            descriptors += process.num_fds()
        total_processor_s += processor_s(pid)
    return Usage(total_processor_s, resident, descriptors)


class CoresWatch:
    """Measures how busy the machine's cores are, from its creation on."""

    def __init__(self) -> None:
        self._start = psutil.cpu_times()

    def busy(self) -> float:
        """Return the fraction of all cores' time that was not idle; stolen time counts as busy."""
        start, now = self._start, psutil.cpu_times()
        # Guest time is part of user time and would count twice.
        names = [name for name in now._fields if not name.startswith("guest")]
        spans = {name: getattr(now, name) - getattr(start, name) for name in names}
        total = sum(spans.values())
        return 1 - (spans["idle"] + spans.get("iowait", 0.0)) / total if total > 0 else 0.0

    def doubts(self, phase: str) -> list[str]:
        """Return why the figures of a phase can't be used: the cores were full. Empty if they were not."""
        busy = self.busy()
        return [f"{phase}: the cores were {busy:.0%} busy"] if busy >= FULL_CORES_FRACTION else []


class Lag(NamedTuple):
    """How late an event loop ran its timers, in seconds."""

    quantile_99_s: float
    max_s: float


class LoopLag:
    """Measures how late an event loop runs a timer that fires every 10 ms."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._lags: list[float] = []
        self._deadline = loop.time()
        self._tick()

    def _tick(self) -> None:
        now = self._loop.time()
        self._lags.append(now - self._deadline)
        self._deadline = now + LAG_INTERVAL_S
        self._timer = self._loop.call_at(self._deadline, self._tick)

    def take(self) -> Lag:
        """Return the lag since the last call, or zeros if the timer has not fired since then."""
        lags, self._lags = sorted(self._lags), []
        return Lag(lags[int(0.99 * (len(lags) - 1))], lags[-1]) if lags else Lag(0.0, 0.0)

    def stop(self) -> None:
        """Stop measuring."""
        self._timer.cancel()
