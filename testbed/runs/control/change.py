"""Measures how fast balancers apply changes of the endpoint list, and the cost at several rates of change.

Hundreds of watch-only balancers and a few real ones follow the list while it changes.
"""

from __future__ import annotations

import asyncio
import random
import time
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING, Annotated

from pydantic import Field

from testbed import experiment, settings
from testbed.discovery.churn import apply_changes_over_time, single_changes
from testbed.load.arrivals import arrival_times
from testbed.results import MeasuredRow, RunResult, fit_columns
from testbed.runs.control.change_measurement import ChangeMeasurement, ChangeRow
from testbed.runs.control.delays import VersionObservation
from testbed.runs.control.group import (
    FOLLOW_TIMEOUT_S,
    BalancerGroup,
    all_up_to_date,
    create_discovery,
    run_on_new_loop,
    start_group,
    wait_until,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from structlog.typing import FilteringBoundLogger

SECONDS_PER_DAY = 86_400
_DELAY_COLUMNS = ("in_force_ms_median", "in_force_ms_99", "in_force_ms_longest", "everywhere_ms_median")
"""The stored columns for which a line is fitted against the number of balancers."""
_COST_COLUMNS = ("core_percent", "bytes_per_s", "calls_per_s")
"""The stored columns for which a line is fitted against the rate of changes."""
_REAL_COST_COLUMNS = ("real_core_percent",)
"""The stored columns of real balancers for which a line is fitted against the rate of changes."""


class Plan(experiment.Plan):
    """The changes and the balancers; `sizes` are numbers of watch-only balancers."""

    entries: Annotated[int, Field(gt=0)]
    """The length of the list."""
    changes_per_day: Annotated[float, Field(gt=0)]
    """The baseline rate of changes, each of one entry, per day."""
    multiples: tuple[float, ...]
    """The rates to measure, as multiples of the baseline rate."""
    spans_s: tuple[float, ...]
    """The duration of the measurement at each rate, in seconds."""
    processes: Annotated[int, Field(gt=0)]
    """The number of processes for the watch-only balancers."""
    real: Annotated[int, Field(ge=0)]
    """The number of real balancers."""
    pushed: bool = True
    """Whether discovery pushes lists; otherwise balancers poll for them."""


def measure(plan: Plan, log: FilteringBoundLogger) -> RunResult[ChangeRow]:
    """Measure every number of balancers at every rate of change."""
    return run_on_new_loop(_measure_all(plan, log))


async def _measure_all(plan: Plan, log: FilteringBoundLogger) -> RunResult[ChangeRow]:
    result: RunResult[ChangeRow] = RunResult()
    for watch_only_count in plan.sizes:
        await _measure_size(plan, watch_only_count, result, log)
    _add_fits(plan, result)
    return result


async def _measure_size(
    plan: Plan, watch_only_count: int, result: RunResult[ChangeRow], log: FilteringBoundLogger
) -> None:
    """Start watch-only and real balancers, and measure them at one rate of change after another."""
    acknowledgements: list[VersionObservation] = []

    def on_watch(agent: int, known_version: int, at_s: float) -> None:
        acknowledgements.append(VersionObservation(agent, known_version, at_s))

    async with AsyncExitStack() as stack:
        discovery = create_discovery(stack, time.monotonic, on_watch)
        await discovery.set_first_host("127.33.0.1")
        discovery.replace_entries(settings.endpoint_entries(plan.entries, seed=plan.seed))
        group = await start_group(
            stack,
            discovery,
            watch_only_count=watch_only_count,
            process_count=plan.processes,
            real_count=plan.real,
            balancer_settings=settings.balancer_settings(
                balancers=max(watch_only_count, plan.entries), pushed=plan.pushed
            ),
            seed=plan.seed,
        )
        changes = single_changes(discovery.entries, plan.seed, lambda: time.time() * 1000)
        for multiple, duration_s in zip(plan.multiples, plan.spans_s, strict=True):
            measured_row = await _measure_at_rate(
                plan, group, multiple, duration_s, changes, acknowledgements
            )
            result.add(measured_row)
            log.info("under change", **measured_row.row.columns())


async def _measure_at_rate(
    plan: Plan,
    group: BalancerGroup,
    multiple: float,
    duration_s: float,
    changes: Iterator[tuple[settings.EndpointEntry, ...]],
    acknowledgements: list[VersionObservation],
) -> MeasuredRow[ChangeRow]:
    """Apply changes at one rate, and measure until every balancer has acknowledged the last one."""
    measurement = ChangeMeasurement(group)
    rate_per_s = multiple * plan.changes_per_day / SECONDS_PER_DAY
    seed = plan.seed + round(1000 * multiple) + group.watch_only_count
    scheduled_times_s = arrival_times(rate_per_s, duration_s, random.Random(seed))
    max_lateness_s = await apply_changes_over_time(group.discovery, changes, scheduled_times_s)
    await asyncio.sleep(max(duration_s - measurement.elapsed_s, 0.0))
    await wait_until(
        lambda: all_up_to_date(group.discovery),
        FOLLOW_TIMEOUT_S,
        "every balancer has acknowledged the changes",
    )
    return measurement.finish(multiple, max_lateness_s, acknowledgements)


def _add_fits(plan: Plan, result: RunResult[ChangeRow]) -> None:
    """Add fitted lines to the result.

    Delays are fitted against the number of balancers, for each rate. Costs are fitted against the rate, for
    all numbers of balancers together and for each number.
    """
    for multiple in plan.multiples:
        rows = [row for row in result.rows if row.multiple == multiple]
        for y in _DELAY_COLUMNS:
            result.fits.append(fit_columns(rows, y, "balancers", label=f"{y} ({multiple:g} times)"))
    for y in (*_COST_COLUMNS, *_REAL_COST_COLUMNS) if plan.real else _COST_COLUMNS:
        result.fits.append(fit_columns(result.rows, y, "changes_per_s"))
        for watch_only_count in plan.sizes:
            rows = [row for row in result.rows if row.balancers == watch_only_count]
            label = f"{y} ({watch_only_count} balancers)"
            result.fits.append(fit_columns(rows, y, "changes_per_s", label=label))
