"""How fast a change of the list is in force at every balancer, and what it costs them.

Hollow balancers by the hundred, and a few real ones beside them, follow the list while it changes.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterator
from contextlib import AsyncExitStack
from dataclasses import replace
from typing import Annotated, Any

import numpy as np
from pydantic import Field
from structlog.typing import FilteringBoundLogger

from testbed import experiment, settings
from testbed.discovery import play as play_changes
from testbed.discovery import single_changes, times
from testbed.meter import CoresWatch, LoopLag, usage
from testbed.results import Findings, fit_line
from testbed.runs.control_delays import delays_ms, spread
from testbed.runs.control_group import (
    FOLLOW_S,
    LATE_S,
    BalancerGroup,
    all_follow,
    run_scenario,
    start_discovery,
    start_group,
    sum_counts,
    wait_until,
)

DAY_S = 86_400
PROCESS_FULL = 0.8  # of a core used by one process: what it holds then waits for it


class Plan(experiment.Plan):
    """Sizes count the hollow balancers."""

    entries: Annotated[int, Field(gt=0)]
    """The length of the list."""
    changes_per_day: Annotated[float, Field(gt=0)]
    """Changes of one entry on an ordinary day."""
    multiples: tuple[float, ...]
    """The rates that are played, as multiples of the ordinary one."""
    spans_s: tuple[float, ...]
    """How long each of them is played, in seconds."""
    processes: Annotated[int, Field(gt=0)]
    """Processes that the hollow balancers are spread over."""
    real: Annotated[int, Field(ge=0)]
    """Real balancers beside them."""
    pushed: bool = True
    """Whether lists are pushed or asked for."""


def play(plan: Plan, log: FilteringBoundLogger) -> Findings:
    """Every number of balancers at every rate of change."""
    return run_scenario(_change(plan, log))


async def _change(plan: Plan, log: FilteringBoundLogger) -> Findings:
    findings = Findings()
    for balancers in plan.sizes:
        async with AsyncExitStack() as stack:
            seen: list[tuple[int, int, float]] = []
            discovery = start_discovery(
                stack, time.monotonic, lambda agent, after, at, seen=seen: seen.append((agent, after, at))
            )
            await discovery.start("127.33.0.1")
            discovery.set(settings.fleet(plan.entries, seed=plan.seed))
            site = settings.site(balancers=max(balancers, plan.entries), pushed=plan.pushed)
            fleet = await start_group(
                stack,
                discovery,
                hollow=balancers,
                processes=plan.processes,
                real=plan.real,
                site=site,
                seed=plan.seed,
            )
            changes = single_changes(discovery.entries, plan.seed, lambda: time.time() * 1000)
            for multiple, span_s in zip(plan.multiples, plan.spans_s, strict=True):
                row = await _stretch(plan, fleet, multiple, span_s, changes, seen, findings.doubts)
                findings.rows.append(row)
                log.info("under change", **row)
    for multiple in plan.multiples:
        cell = [row for row in findings.rows if row["multiple"] == multiple]
        for y in ("in_force_ms_median", "in_force_ms_99", "in_force_ms_longest", "everywhere_ms_median"):
            findings.fits.append(replace(fit_line(cell, y, "balancers"), y=f"{y} ({multiple:g} times)"))
    costs = ("core_percent", "bytes_per_s", "calls_per_s")
    for y in (*costs, "real_core_percent") if plan.real else costs:
        findings.fits.append(fit_line(findings.rows, y, "changes_per_s"))
        for balancers in plan.sizes:
            cell = [row for row in findings.rows if row["balancers"] == balancers]
            findings.fits.append(
                replace(fit_line(cell, y, "changes_per_s"), y=f"{y} ({balancers} balancers)")
            )
    return findings


async def _stretch(
    plan: Plan,
    fleet: BalancerGroup,
    multiple: float,
    span_s: float,
    changes: Iterator[tuple[settings.Entry, ...]],
    seen: list[tuple[int, int, float]],
    doubts: list[str],
) -> dict[str, Any]:
    """Play changes at one rate and see them taken up; one row.

    Times are milliseconds from the list's change in the stand-in: until the module of a hollow balancer has
    it (`in_force`), until the next watch call says so (`taken_up`, also of real ones), until the stand-in has
    written it to all (`written`). Hollow balancers of a process take a change up one after another, so theirs
    are upper bounds. `core_percent` is that of a hollow balancer with its part of the process's own watch on
    its loop (under 1 % of a core a process); its slope over the rate is free of that.
    """
    discovery, loop = fleet.discovery, asyncio.get_running_loop()
    for process in fleet.processes:
        process.report()  # its loop's lateness before this stretch is of no interest
    lag, cores, began = LoopLag(loop), CoresWatch(), time.monotonic()
    first = discovery.index + 1
    spent = [usage([pid]).processor_s for pid in _pids(fleet)]
    before = sum_counts(discovery, fleet.hollow_agents)
    rate = multiple * plan.changes_per_day / DAY_S
    seed = plan.seed + round(1000 * multiple) + fleet.hollow
    late_s = await play_changes(discovery, changes, times(rate, span_s, seed))
    await asyncio.sleep(max(began + span_s - time.monotonic(), 0.0))
    await wait_until(lambda: all_follow(discovery), FOLLOW_S, "every balancer has the last change")
    took_s = time.monotonic() - began
    used = [usage([pid]).processor_s - was for pid, was in zip(_pids(fleet), spent, strict=True)]
    told = sum_counts(discovery, fleet.hollow_agents).plus(before, -1)
    stretch = f"{fleet.hollow} balancers, {multiple:g} times"
    doubts += cores.doubts(stretch)
    lag_99_s, _ = lag.take()
    lag.stop()
    reports = [process.report() for process in fleet.processes]
    lags = [lag_99_s, *(report.lag_99_s for report in reports)]
    if max(lags) >= LATE_S:
        doubts.append(f"{stretch}: a loop was {max(lags) * 1000:.0f} ms late")
    if late_s >= LATE_S:
        doubts.append(f"{stretch}: a change was played {late_s * 1000:.0f} ms late")
    if max(used) / took_s >= PROCESS_FULL:
        doubts.append(f"{stretch}: a process took {max(used) / took_s:.0%} of a core")
    notes = [row for r in reports for row in zip(r.balancers, r.indexes, r.times, strict=True)]
    changed_at = np.array(discovery.changed_at[first:])
    forced = delays_ms(notes, fleet.hollow_agents, first, changed_at)
    taken = delays_ms(seen, fleet.hollow_agents, first, changed_at)
    real = delays_ms(seen, fleet.real_agents, first, changed_at)
    written = np.array(discovery.written_at[first:]) - changed_at
    shares = np.array(used) / took_s * 100
    return {
        "balancers": fleet.hollow,
        "multiple": multiple,
        "changes": len(changed_at),
        "changes_per_s": len(changed_at) / took_s,
        **spread("in_force_ms", forced),
        "everywhere_ms_median": float(np.median(forced.max(axis=0))) if forced.size else None,
        **spread("taken_up_ms", taken),
        **spread("real_taken_up_ms", real),
        "written_ms_longest": float(written.max() * 1000) if written.size else None,
        "core_percent": float(shares[: len(fleet.processes)].sum()) / fleet.hollow,
        "real_core_percent": float(shares[len(fleet.processes) :].mean()) if fleet.real else None,
        "calls_per_s": told.calls / took_s / fleet.hollow,
        "bytes_per_s": (told.bytes_in + told.bytes_out) / took_s / fleet.hollow,
        "whole_lists": told.whole,
        "loops_late_ms_99": max(lags) * 1000,
        "process_percent_most": float(shares.max()),
    }


def _pids(fleet: BalancerGroup) -> list[int]:
    """The processes of hollow balancers, then the real ones."""
    return [process.pid for process in fleet.processes] + [balancer.pid for balancer in fleet.real]
