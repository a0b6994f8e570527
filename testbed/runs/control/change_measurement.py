"""Measures a group of balancers while changes of the list are played at one rate."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

import numpy as np

from testbed.balancer.hollow_process import HollowReport
from testbed.discovery.agent_state import RequestCounts
from testbed.measurement.meter import CoresWatch, LoopLag, usage
from testbed.results import Measured, Row
from testbed.runs.control.delays import VersionSeen, delays_ms, spread
from testbed.runs.control.group import LATE_S, BalancerGroup, sum_counts

PROCESS_FULL = 0.8
"""A process that uses this much of a core, as a fraction, measures how its balancers wait for one another."""


@dataclass(frozen=True, slots=True, kw_only=True)
class DelayColumns(Row):
    """Milliseconds from the list's change in the stand-in of discovery; null where nothing changed.

    Hollow balancers of a process take a change up one after another, so theirs are upper bounds.
    """

    in_force_ms_median: float | None
    """Until the policy of a hollow balancer has the change."""
    in_force_ms_99: float | None
    in_force_ms_longest: float | None
    everywhere_ms_median: float | None
    """Until the policies of all hollow balancers have a change; the median over the changes."""
    taken_up_ms_median: float | None
    """Until the next watch call of a hollow balancer says that it has the change."""
    taken_up_ms_99: float | None
    taken_up_ms_longest: float | None
    real_taken_up_ms_median: float | None
    """Until the next watch call of a real balancer says that it has the change."""
    real_taken_up_ms_99: float | None
    real_taken_up_ms_longest: float | None
    written_ms_longest: float | None
    """Until discovery has written the change to all."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ChangeRow(Row):
    """A group of balancers under changes at one rate."""

    balancers: int
    """The hollow balancers."""
    multiple: float
    """The rate as a multiple of the ordinary one."""
    changes: int
    """Changes of one entry that were played."""
    changes_per_s: float
    """The rate as it was played."""
    delays: DelayColumns
    core_percent: float
    """Processor time of a hollow balancer, in hundredths of a core.

    It includes the balancer's part of the process's own watch on its loop (under 1 % of a core a process);
    its slope over the rate is free of that.
    """
    real_core_percent: float | None
    """Processor time of a real balancer, in hundredths of a core, the mean of all; null without them."""
    calls_per_s: float
    """Calls of a hollow balancer at discovery."""
    bytes_per_s: float
    """Bytes of those calls, both ways."""
    whole_lists: int
    """Whole lists that hollow balancers got."""
    loops_late_ms_99: float
    """The 99th percentile of how late an event loop ran what was due; the largest of all loops."""
    process_percent_most: float
    """Processor time of the busiest process, in hundredths of a core."""


@dataclass(frozen=True, slots=True)
class _Readings:
    """What is read as a measurement ends."""

    elapsed_s: float
    processor_s: list[float]
    """Processor time by process, hollow balancers' first."""
    counts: RequestCounts
    """What hollow balancers and discovery exchanged."""
    reports: list[HollowReport]
    lag_99_s: float
    """The 99th percentile of how late an event loop ran what was due; the largest of all loops."""


class ChangeMeasurement:
    """Measures a group from its making to `finish`."""

    def __init__(self, group: BalancerGroup) -> None:
        for process in group.processes:
            process.report()  # drops the lateness of its loop before this measurement
        self._group = group
        self._lag = LoopLag(asyncio.get_running_loop())
        self._cores = CoresWatch()
        self._began = time.monotonic()
        self._first_version = group.discovery.index + 1
        self._processor_s = _processor_s(group)
        self._counts = sum_counts(group.discovery, group.hollow_agents)

    @property
    def elapsed_s(self) -> float:
        """The time since it was made."""
        return time.monotonic() - self._began

    def finish(
        self, multiple: float, played_late_s: float, watch_calls: Sequence[VersionSeen]
    ) -> Measured[ChangeRow]:
        """End the measurement.

        Args:
            multiple: The rate that was played, as a multiple of the ordinary one.
            played_late_s: How late a change was played, at the most.
            watch_calls: The versions from which balancers watched, in the order of time.

        Returns:
            The row, and why its figures say nothing, if so.
        """
        name = f"{self._group.hollow} balancers, {multiple:g} times"
        elapsed_s = self.elapsed_s
        processor_s = [
            after - before for after, before in zip(_processor_s(self._group), self._processor_s, strict=True)
        ]
        counts = sum_counts(self._group.discovery, self._group.hollow_agents) - self._counts
        reasons = self._cores.doubts(name)
        lag_99_s, _ = self._lag.take()
        self._lag.stop()
        reports = [process.report() for process in self._group.processes]
        lag_99_s = max([lag_99_s, *(report.lag_99_s for report in reports)])
        readings = _Readings(elapsed_s, processor_s, counts, reports, lag_99_s)
        reasons += _invalid_reasons(name, readings, played_late_s)
        return Measured(self._row(multiple, readings, watch_calls), reasons)

    def _row(self, multiple: float, readings: _Readings, watch_calls: Sequence[VersionSeen]) -> ChangeRow:
        group, elapsed_s, counts = self._group, readings.elapsed_s, readings.counts
        changes = len(group.discovery.changed_at[self._first_version :])
        core_percent = np.array(readings.processor_s) / elapsed_s * 100
        hollow_percent = core_percent[: len(group.processes)]
        real_percent = core_percent[len(group.processes) :]
        return ChangeRow(
            balancers=group.hollow,
            multiple=multiple,
            changes=changes,
            changes_per_s=changes / elapsed_s,
            delays=self._delays(readings.reports, watch_calls),
            core_percent=float(hollow_percent.sum()) / group.hollow,
            real_core_percent=float(real_percent.mean()) if group.real else None,
            calls_per_s=counts.requests / elapsed_s / group.hollow,
            bytes_per_s=(counts.bytes_in + counts.bytes_out) / elapsed_s / group.hollow,
            whole_lists=counts.snapshots,
            loops_late_ms_99=readings.lag_99_s * 1000,
            process_percent_most=float(core_percent.max()),
        )

    def _delays(self, reports: list[HollowReport], watch_calls: Sequence[VersionSeen]) -> DelayColumns:
        group, first = self._group, self._first_version
        changed_at = np.array(group.discovery.changed_at[first:])
        in_force = delays_ms(_versions_in_force(reports), group.hollow_agents, first, changed_at)
        watched = delays_ms(watch_calls, group.hollow_agents, first, changed_at)
        real_watched = delays_ms(watch_calls, group.real_agents, first, changed_at)
        written_s = np.array(group.discovery.written_at[first:]) - changed_at
        in_force_spread, watched_spread = spread(in_force), spread(watched)
        real_spread = spread(real_watched)
        return DelayColumns(
            in_force_ms_median=in_force_spread.median,
            in_force_ms_99=in_force_spread.p99,
            in_force_ms_longest=in_force_spread.longest,
            everywhere_ms_median=float(np.median(in_force.max(axis=0))) if in_force.size else None,
            taken_up_ms_median=watched_spread.median,
            taken_up_ms_99=watched_spread.p99,
            taken_up_ms_longest=watched_spread.longest,
            real_taken_up_ms_median=real_spread.median,
            real_taken_up_ms_99=real_spread.p99,
            real_taken_up_ms_longest=real_spread.longest,
            written_ms_longest=float(written_s.max() * 1000) if written_s.size else None,
        )


def _invalid_reasons(name: str, readings: _Readings, played_late_s: float) -> list[str]:
    """Why the figures say nothing, but for full cores."""
    reasons = []
    if readings.lag_99_s >= LATE_S:
        reasons.append(f"{name}: a loop was {readings.lag_99_s * 1000:.0f} ms late")
    if played_late_s >= LATE_S:
        reasons.append(f"{name}: a change was played {played_late_s * 1000:.0f} ms late")
    busiest = max(readings.processor_s) / readings.elapsed_s
    if busiest >= PROCESS_FULL:
        reasons.append(f"{name}: a process took {busiest:.0%} of a core")
    return reasons


def _versions_in_force(reports: list[HollowReport]) -> Iterator[VersionSeen]:
    """The versions that hollow balancers had in force, by process and then by time."""
    for report in reports:
        yield from map(VersionSeen, report.balancers, report.indexes, report.times)


def _processor_s(group: BalancerGroup) -> list[float]:
    """The processor time of each process so far: those of hollow balancers, then the real ones."""
    pids = [process.pid for process in group.processes] + [balancer.pid for balancer in group.real]
    return [usage([pid]).processor_s for pid in pids]
