"""What processes use, and whether the machine kept up."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

import psutil

CORES_FULL = 0.9  # of all cores busy: who waits for a core then measures the wait
LAG_STEP_S = 0.01


@dataclass(frozen=True, slots=True)
class Usage:
    """Processor time in seconds, resident memory in bytes and open descriptors, summed over processes."""

    processor_s: float
    resident: int
    descriptors: int


def processor_s(pid: int) -> float:
    """Processor seconds of a process's living threads, to the nanosecond.

    psutil tells it in steps of 10 ms, which is as much as a balancer at rest uses in some seconds.
    """
    tasks = Path(f"/proc/{pid}/task").iterdir()
    return sum(int((task / "schedstat").read_text().split()[0]) for task in tasks) / 1e9


def usage(pids: Iterable[int]) -> Usage:
    """What processes have used up to now and hold now; psutil.NoSuchProcess if one is gone."""
    spent, resident, descriptors = 0.0, 0, 0
    for pid in pids:
        process = psutil.Process(pid)
        with process.oneshot():
            resident += process.memory_info().rss
            descriptors += process.num_fds()
        spent += processor_s(pid)
    return Usage(spent, resident, descriptors)


class CoresWatch:
    """Watches the machine's cores over a stretch, from its making to `busy`."""

    def __init__(self) -> None:
        self._before = psutil.cpu_times()

    def busy(self) -> float:
        """The part of all cores' time that was not idle since the start; stolen time counts as busy."""
        before, after = self._before, psutil.cpu_times()
        # Guest time is part of user time and would count twice.
        parts = [name for name in after._fields if not name.startswith("guest")]
        spans = {name: getattr(after, name) - getattr(before, name) for name in parts}
        total = sum(spans.values())
        return 1 - (spans["idle"] + spans.get("iowait", 0.0)) / total if total > 0 else 0.0

    def doubts(self, stretch: str) -> list[str]:
        """A doubt where the cores were full in the stretch of that name."""
        busy = self.busy()
        return [f"{stretch}: the cores were {busy:.0%} busy"] if busy >= CORES_FULL else []


class LoopLag:
    """How late a loop runs what is due, seen by a timer every 10 ms."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._lags: list[float] = []
        self._due = loop.time()
        self._tick()

    def _tick(self) -> None:
        now = self._loop.time()
        self._lags.append(now - self._due)
        self._due = now + LAG_STEP_S
        self._timer = self._loop.call_at(self._due, self._tick)

    def take(self) -> tuple[float, float]:
        """The 99th part in a hundred and the longest lateness in seconds since the last call."""
        lags, self._lags = sorted(self._lags), []
        return (lags[int(0.99 * (len(lags) - 1))], lags[-1]) if lags else (0.0, 0.0)

    def stop(self) -> None:
        """Look no more."""
        self._timer.cancel()
