"""Measures a group of balancers while the list changes at one rate."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import numpy as np

from testbed.measurement.resource_usage import CoreMonitor, LoopLagMonitor, measure_usage
from testbed.results import MeasuredRow, Row, stored_as
from testbed.runs.control.delays import VersionObservation, delay_quantiles, delays_ms
from testbed.runs.control.group import MAX_LATENESS_S, BalancerGroup, sum_counts

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from testbed.balancer.watch_only_process import AppliedListsReport
    from testbed.discovery.agent_state import RequestCounts

SATURATED_PROCESS_FRACTION = 0.8
"""Results are invalid if a process uses this fraction of a core or more.

The balancers of such a process wait for one another, which adds to their delays.
"""


@dataclass(frozen=True, slots=True, kw_only=True)
class DelayColumns(Row):
    """Delays in milliseconds from a change of the list at discovery; null if the list did not change.

    The watch-only balancers of a process apply a change one after another, so their delays are upper bounds.
    """

    median_applied_ms: float | None = stored_as("in_force_ms_median")
    """Until the policy of a watch-only balancer has applied the change."""
    p99_applied_ms: float | None = stored_as("in_force_ms_99")
    max_applied_ms: float | None = stored_as("in_force_ms_longest")
    median_applied_by_all_ms: float | None = stored_as("everywhere_ms_median")
    """Until all watch-only balancers have applied the change; the median over the changes."""
    median_acknowledged_ms: float | None = stored_as("taken_up_ms_median")
    """Until the next watch request of a watch-only balancer acknowledges the change."""
    p99_acknowledged_ms: float | None = stored_as("taken_up_ms_99")
    max_acknowledged_ms: float | None = stored_as("taken_up_ms_longest")
    median_real_acknowledged_ms: float | None = stored_as("real_taken_up_ms_median")
    """Until the next watch request of a real balancer acknowledges the change."""
    p99_real_acknowledged_ms: float | None = stored_as("real_taken_up_ms_99")
    max_real_acknowledged_ms: float | None = stored_as("real_taken_up_ms_longest")
    max_written_ms: float | None = stored_as("written_ms_longest")
    """Until discovery has written the change to all open watches."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ChangeRow(Row):
    """The measurements of a group of balancers while the list changes at one rate."""

    balancers: int
    """The number of watch-only balancers."""
    multiple: float
    """The rate as a multiple of the baseline rate."""
    changes: int
    """The number of changes, each of one entry."""
    changes_per_s: float
    """The achieved rate of changes."""
    delays: DelayColumns
    core_percent: float
    """Processor time of a watch-only balancer, as a percentage of a core.

    It includes a share of the cost of measuring the event loop's lag (less than 1% of a core per process).
    This cost does not depend on the rate, so it does not affect the slope that is fitted against the rate.
    """
    real_core_percent: float | None
    """Mean processor time of a real balancer, as a percentage of a core; null if there is none."""
    requests_per_s: float = stored_as("calls_per_s")
    """Requests from a watch-only balancer to discovery."""
    bytes_per_s: float
    """Bytes of these requests and their responses."""
    snapshots: int = stored_as("whole_lists")
    """Snapshots that watch-only balancers received."""
    p99_loop_lag_ms: float = stored_as("loops_late_ms_99")
    """The maximum over all event loops of the 99th percentile of their lag."""
    max_process_percent: float = stored_as("process_percent_most")
    """Processor time of the busiest process, as a percentage of a core."""


@dataclass(frozen=True, slots=True)
class _Readings:
    """The readings at the end of a measurement."""

    elapsed_s: float
    processor_s: list[float]
    """Processor time of each process; the processes of watch-only balancers come first."""
    counts: RequestCounts
    """Counts of the requests from watch-only balancers to discovery."""
    reports: list[AppliedListsReport]
    p99_lag_s: float
    """The maximum over all event loops of the 99th percentile of their lag."""


class ChangeMeasurement:
    """Measures a group from the creation of this object until `finish`."""

    def __init__(self, group: BalancerGroup) -> None:
        for process in group.processes:
            process.report()  # discards the lag measured so far
        self._group = group
        self._lag_monitor = LoopLagMonitor(asyncio.get_running_loop())
        self._core_monitor = CoreMonitor()
        self._start_s = time.monotonic()
        self._first_version = group.discovery.version + 1
        self._processor_s = _processor_s(group)
        self._counts = sum_counts(group.discovery, group.watch_only_agents)

    @property
    def elapsed_s(self) -> float:
        """The time since the measurement began."""
        return time.monotonic() - self._start_s

    def finish(
        self, multiple: float, max_lateness_s: float, acknowledgements: Sequence[VersionObservation]
    ) -> MeasuredRow[ChangeRow]:
        """End the measurement.

        Args:
            multiple: The rate as a multiple of the baseline rate.
            max_lateness_s: The maximum lateness of a change.
            acknowledgements: The versions that watch requests acknowledged, in chronological order.

        Returns:
            The row, and the reasons why its values are invalid, if any.
        """
        name = f"{self._group.watch_only_count} balancers, {multiple:g} times"
        elapsed_s = self.elapsed_s
        processor_s = [
            after - before for after, before in zip(_processor_s(self._group), self._processor_s, strict=True)
        ]
        counts = sum_counts(self._group.discovery, self._group.watch_only_agents) - self._counts
        reasons = self._core_monitor.invalidity_reasons(name)
        p99_lag_s, _ = self._lag_monitor.take_lag()
        self._lag_monitor.stop()
        reports = [process.report() for process in self._group.processes]
        p99_lag_s = max([p99_lag_s, *(report.p99_lag_s for report in reports)])
        readings = _Readings(elapsed_s, processor_s, counts, reports, p99_lag_s)
        reasons += _invalidity_reasons(name, readings, max_lateness_s)
        return MeasuredRow(self._row(multiple, readings, acknowledgements), reasons)

    def _row(
        self, multiple: float, readings: _Readings, acknowledgements: Sequence[VersionObservation]
    ) -> ChangeRow:
        group, elapsed_s, counts = self._group, readings.elapsed_s, readings.counts
        changes = len(group.discovery.change_times_s[self._first_version :])
        core_percent = np.array(readings.processor_s) / elapsed_s * 100
        watch_only_percent = core_percent[: len(group.processes)]
        real_percent = core_percent[len(group.processes) :]
        return ChangeRow(
            balancers=group.watch_only_count,
            multiple=multiple,
            changes=changes,
            changes_per_s=changes / elapsed_s,
            delays=self._delays(readings.reports, acknowledgements),
            core_percent=float(watch_only_percent.sum()) / group.watch_only_count,
            real_core_percent=float(real_percent.mean()) if group.real_balancers else None,
            requests_per_s=counts.requests / elapsed_s / group.watch_only_count,
            bytes_per_s=(counts.bytes_in + counts.bytes_out) / elapsed_s / group.watch_only_count,
            snapshots=counts.snapshots,
            p99_loop_lag_ms=readings.p99_lag_s * 1000,
            max_process_percent=float(core_percent.max()),
        )

    def _delays(
        self, reports: list[AppliedListsReport], acknowledgements: Sequence[VersionObservation]
    ) -> DelayColumns:
        group, first_version = self._group, self._first_version
        change_times_s = np.array(group.discovery.change_times_s[first_version:])
        applied = delays_ms(
            _applied_versions(reports), group.watch_only_agents, first_version, change_times_s
        )
        acknowledged = delays_ms(acknowledgements, group.watch_only_agents, first_version, change_times_s)
        real_acknowledged = delays_ms(acknowledgements, group.real_agents, first_version, change_times_s)
        written_s = np.array(group.discovery.write_times_s[first_version:]) - change_times_s
        applied_quantiles, acknowledged_quantiles = delay_quantiles(applied), delay_quantiles(acknowledged)
        real_acknowledged_quantiles = delay_quantiles(real_acknowledged)
        return DelayColumns(
            median_applied_ms=applied_quantiles.median,
            p99_applied_ms=applied_quantiles.p99,
            max_applied_ms=applied_quantiles.maximum,
            median_applied_by_all_ms=float(np.median(applied.max(axis=0))) if applied.size else None,
            median_acknowledged_ms=acknowledged_quantiles.median,
            p99_acknowledged_ms=acknowledged_quantiles.p99,
            max_acknowledged_ms=acknowledged_quantiles.maximum,
            median_real_acknowledged_ms=real_acknowledged_quantiles.median,
            p99_real_acknowledged_ms=real_acknowledged_quantiles.p99,
            max_real_acknowledged_ms=real_acknowledged_quantiles.maximum,
            max_written_ms=float(written_s.max() * 1000) if written_s.size else None,
        )


def _invalidity_reasons(name: str, readings: _Readings, max_lateness_s: float) -> list[str]:
    """Return the reasons why the measurement is invalid, other than saturated cores."""
    reasons = []
    if readings.p99_lag_s >= MAX_LATENESS_S:
        reasons.append(f"{name}: an event loop lagged by {readings.p99_lag_s * 1000:.0f} ms")
    if max_lateness_s >= MAX_LATENESS_S:
        reasons.append(f"{name}: a change was applied {max_lateness_s * 1000:.0f} ms late")
    max_process_fraction = max(readings.processor_s) / readings.elapsed_s
    if max_process_fraction >= SATURATED_PROCESS_FRACTION:
        reasons.append(f"{name}: a process used {max_process_fraction:.0%} of a core")
    return reasons


def _applied_versions(reports: list[AppliedListsReport]) -> Iterator[VersionObservation]:
    """Yield the versions that watch-only balancers applied, in chronological order for each process."""
    for report in reports:
        yield from map(VersionObservation, report.balancer_numbers, report.versions, report.applied_at_s)


def _processor_s(group: BalancerGroup) -> list[float]:
    """Return the processor time of each process so far; the processes of watch-only balancers come first."""
    pids = [process.pid for process in group.processes] + [balancer.pid for balancer in group.real_balancers]
    return [measure_usage([pid]).processor_s for pid in pids]
