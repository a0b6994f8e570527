"""Measures the resource usage of processes, the utilization of cores and the lag of event loops."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

import psutil

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Iterable

SATURATED_CORES_FRACTION = 0.9
"""If at least this fraction of core time is busy, measured times include waits for a core."""

LAG_INTERVAL_S = 0.01
"""The interval of the timer that measures the lag of an event loop, in seconds."""

_NS_PER_S = 1e9
_BYTES_PER_KIB = 1024


@dataclass(frozen=True, slots=True)
class ResourceUsage:
    """The resource usage of some processes together.

    Attributes:
        processor_s: Processor time in seconds.
        resident_bytes: Resident memory in bytes.
        descriptors: Open file descriptors.
    """

    processor_s: float
    resident_bytes: int
    descriptors: int


def processor_time_s(pid: int) -> float:
    """Return the processor time of a process's live threads in seconds, with a resolution of a nanosecond.

    psutil has a resolution of 10 ms, which is too coarse: an idle balancer takes seconds to use 10 ms.
    """
    threads = Path(f"/proc/{pid}/task").iterdir()
    return sum(int((thread / "schedstat").read_text().split()[0]) for thread in threads) / _NS_PER_S


def measure_usage(pids: Iterable[int]) -> ResourceUsage:
    """Return the processor time that processes have used so far, and their current memory and descriptors.

    Raises:
        psutil.NoSuchProcess: One of the processes has ended.
    """
    total_processor_s, resident_bytes, descriptors = 0.0, 0, 0
    for pid in pids:
        process = psutil.Process(pid)
        with process.oneshot():
            resident_bytes += process.memory_info().rss
            descriptors += process.num_fds()
        total_processor_s += processor_time_s(pid)
    return ResourceUsage(total_processor_s, resident_bytes, descriptors)


def peak_resident_bytes(pid: int) -> int:
    """Return the largest resident memory that a process has had so far (`VmHWM`)."""
    status = Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    return int(status.partition("VmHWM:")[2].split()[0]) * _BYTES_PER_KIB


class CoreMonitor:
    """Measures the utilization of the machine's cores since the creation of this object."""

    def __init__(self) -> None:
        self._start = psutil.cpu_times()

    def busy_fraction(self) -> float:
        """Return the fraction of core time that was not idle; steal time counts as busy."""
        start, now = self._start, psutil.cpu_times()
        # Guest time is excluded, since user time already includes it.
        field_names = [name for name in now._fields if not name.startswith("guest")]
        elapsed = {name: getattr(now, name) - getattr(start, name) for name in field_names}
        total = sum(elapsed.values())
        return 1 - (elapsed["idle"] + elapsed.get("iowait", 0.0)) / total if total > 0 else 0.0

    def invalidity_reasons(self, phase: str) -> list[str]:
        """Return the reasons why the results of a phase are invalid, or an empty list if they are valid.

        They are invalid if the cores were saturated.
        """
        busy = self.busy_fraction()
        return [f"{phase}: the cores were {busy:.0%} busy"] if busy >= SATURATED_CORES_FRACTION else []


class Lag(NamedTuple):
    """The lag of an event loop, that is, how late its timers fire, in seconds."""

    p99_s: float
    max_s: float


class LoopLagMonitor:
    """Measures the lag of an event loop with a timer that fires every `LAG_INTERVAL_S` seconds."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._lags: list[float] = []
        self._next_tick_at = loop.time()
        self._tick()

    def _tick(self) -> None:
        now = self._loop.time()
        # The difference of two rounded times can be just below 0.
        self._lags.append(max(now - self._next_tick_at, 0.0))
        self._next_tick_at = now + LAG_INTERVAL_S
        self._timer = self._loop.call_at(self._next_tick_at, self._tick)

    def take_lag(self) -> Lag:
        """Return the lag since the last call and start again; zeros if the timer has not fired since then."""
        lags, self._lags = sorted(self._lags), []
        return Lag(lags[int(0.99 * (len(lags) - 1))], lags[-1]) if lags else Lag(0.0, 0.0)

    def stop(self) -> None:
        """Stop measuring."""
        self._timer.cancel()
