"""Measures the cost of an idle balancer that watches an unchanging list, by length of the list."""

from __future__ import annotations

import asyncio
import time
from contextlib import AsyncExitStack
from dataclasses import dataclass
from typing import TYPE_CHECKING, Annotated, Literal

from pydantic import Field

from testbed import experiment, settings
from testbed.measurement.resource_usage import CoreMonitor, LoopLagMonitor, measure_usage
from testbed.results import Row, RunResult, fit_columns, stored_as
from testbed.runs.control.group import (
    MAX_LATENESS_S,
    BalancerGroup,
    create_discovery,
    run_on_new_loop,
    start_group,
    sum_counts,
)

if TYPE_CHECKING:
    from structlog.typing import FilteringBoundLogger

    from testbed.discovery.agent_state import RequestCounts

_MIB = 1 << 20


class Plan(experiment.Plan):
    """The measurement; each size is the length of the list and the value of the `balancers` setting."""

    span_s: Annotated[float, Field(gt=0)]
    """The duration of the measurement in seconds."""
    settle_s: Annotated[float, Field(ge=0)]
    """The time from the start of the balancers to the start of the measurement, in seconds."""
    hollow: Annotated[int, Field(gt=0)]
    """The number of watch-only balancers for each list length; their requests and bytes are counted."""


@dataclass(frozen=True, slots=True, kw_only=True)
class IdleRow(Row):
    """The measurements of an idle real balancer and of watch-only balancers, for one length of the list."""

    entries: int
    """The length of the list."""
    mode: Literal["push", "ask"]
    """Whether discovery pushes the list or the balancer polls for it."""
    core_percent: float
    """Processor time of the real balancer, as a percentage of a core."""
    resident_mib: float
    """Resident memory of the real balancer, in MiB."""
    descriptors: int
    """Open descriptors of the real balancer."""
    requests_per_s: float = stored_as("calls_per_s")
    """Requests from the real balancer to discovery."""
    bytes_per_s: float
    """Bytes of the real balancer's requests to discovery and of the responses."""
    watch_only_requests_per_s: float = stored_as("hollow_calls_per_s")
    """Requests from a watch-only balancer to discovery; the mean over all watch-only balancers."""
    watch_only_bytes_per_s: float = stored_as("hollow_bytes_per_s")
    """Bytes of a watch-only balancer's requests to discovery and of the responses, as a mean."""


@dataclass(frozen=True, slots=True)
class _Reading:
    """The resource usage of a group so far, and its requests to discovery."""

    processor_s: float
    """Processor time of the real balancer."""
    real_counts: RequestCounts
    watch_only_counts: RequestCounts


def measure(plan: Plan, log: FilteringBoundLogger) -> RunResult[IdleRow]:
    """Measure balancers of all list lengths at the same time: first with pushed lists, then with polling."""
    return run_on_new_loop(_measure_all(plan, log))


async def _measure_all(plan: Plan, log: FilteringBoundLogger) -> RunResult[IdleRow]:
    result: RunResult[IdleRow] = RunResult()
    for pushed in (True, False):
        async with AsyncExitStack() as stack:
            groups = [
                await _start_group(stack, plan, size_index, entries, pushed=pushed)
                for size_index, entries in enumerate(plan.sizes)
            ]
            await asyncio.sleep(plan.settle_s)
            await _measure_groups(plan, groups, result, pushed=pushed)
        for row in result.rows[-len(plan.sizes) :]:
            log.info("at rest", **row.columns())
    for mode in ("push", "ask"):
        rows = [row for row in result.rows if row.mode == mode]
        for y in ("core_percent", "resident_mib", "bytes_per_s", "hollow_bytes_per_s"):
            result.fits.append(fit_columns(rows, y, "entries", label=f"{y} ({mode})"))
    return result


async def _start_group(
    stack: AsyncExitStack, plan: Plan, size_index: int, entries: int, *, pushed: bool
) -> BalancerGroup:
    """Start the balancers for one length of the list, with a separate discovery service."""
    discovery = create_discovery(stack)
    await discovery.set_first_host(f"127.32.{size_index}.1")
    discovery.replace_entries(settings.endpoint_entries(entries, seed=plan.seed))
    balancer_settings = settings.balancer_settings(balancers=entries, pushed=pushed)
    return await start_group(
        stack,
        discovery,
        watch_only_count=plan.hollow,
        process_count=1,
        real_count=1,
        balancer_settings=balancer_settings,
        seed=plan.seed,
    )


async def _measure_groups(
    plan: Plan, groups: list[BalancerGroup], result: RunResult[IdleRow], *, pushed: bool
) -> None:
    """Measure all groups over the same period, and add a row for each."""
    lag_monitor, core_monitor = LoopLagMonitor(asyncio.get_running_loop()), CoreMonitor()
    start_s = time.monotonic()
    before = [_take_reading(group) for group in groups]
    await asyncio.sleep(plan.span_s)
    elapsed_s = time.monotonic() - start_s
    for entries, group, reading in zip(plan.sizes, groups, before, strict=True):
        result.rows.append(_row(entries, group, reading, elapsed_s, pushed=pushed))
    p99_lag_s, _ = lag_monitor.take_lag()
    lag_monitor.stop()
    phase = f"idle, {'pushed' if pushed else 'polled'}"
    result.invalidity_reasons += core_monitor.invalidity_reasons(phase)
    if p99_lag_s >= MAX_LATENESS_S:
        result.invalidity_reasons.append(
            f"{phase}: the event loop of discovery lagged by {p99_lag_s * 1000:.0f} ms"
        )


def _take_reading(group: BalancerGroup) -> _Reading:
    processor_s = measure_usage([group.real_balancers[0].pid]).processor_s
    real_counts = sum_counts(group.discovery, group.real_agents)
    watch_only_counts = sum_counts(group.discovery, group.watch_only_agents)
    return _Reading(processor_s, real_counts, watch_only_counts)


def _row(entries: int, group: BalancerGroup, before: _Reading, elapsed_s: float, *, pushed: bool) -> IdleRow:
    after = _take_reading(group)
    real_counts = after.real_counts - before.real_counts
    watch_only_counts = after.watch_only_counts - before.watch_only_counts
    usage = measure_usage([group.real_balancers[0].pid])
    return IdleRow(
        entries=entries,
        mode="push" if pushed else "ask",
        core_percent=(after.processor_s - before.processor_s) / elapsed_s * 100,
        resident_mib=usage.resident_bytes / _MIB,
        descriptors=usage.descriptors,
        requests_per_s=real_counts.requests / elapsed_s,
        bytes_per_s=(real_counts.bytes_in + real_counts.bytes_out) / elapsed_s,
        watch_only_requests_per_s=watch_only_counts.requests / elapsed_s / group.watch_only_count,
        watch_only_bytes_per_s=(watch_only_counts.bytes_in + watch_only_counts.bytes_out)
        / elapsed_s
        / group.watch_only_count,
    )
