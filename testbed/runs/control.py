"""What following the list costs a balancer, and how fast a change is in force at all of them.

`control_rest`: real balancers at rest under discovery's stand-in. `control_change`: hollow balancers by the
hundred, and a few real ones beside them, while the list changes.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Coroutine, Iterator
from contextlib import AsyncExitStack
from dataclasses import dataclass, replace
from typing import Annotated, Any

import numpy as np
import uvloop
from numpy.typing import NDArray
from pydantic import Field
from structlog.typing import FilteringBoundLogger

from testbed import experiment, settings
from testbed.agent_state import RequestCounts
from testbed.arrivals import arrival_times
from testbed.churn import play_changes, single_changes
from testbed.discovery import Discovery
from testbed.hollow_process import HollowProcess
from testbed.meter import CoresWatch, LoopLag, usage
from testbed.real import SAME_PYTHON, RealBalancer, free_address
from testbed.results import Findings, fit_line

DAY_S = 86_400
LATE_S = 0.1  # a loop that runs its work so late (99 of 100 times) measures itself
PROCESS_FULL = 0.8  # of a core used by one process: what it holds then waits for it
START_S, FOLLOW_S, LOOK_S = 60.0, 10.0, 0.01  # the longest waits, and the pause between looks
_REAL_HOST = "127.30.0.{}"
_MIB = 1 << 20

Table = NDArray[np.float64]


def _run(scenario: Coroutine[Any, Any, Findings]) -> Findings:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(scenario)


async def _until(true: Callable[[], bool], longest_s: float, what: str) -> None:
    """Wait until something is true; RuntimeError after the longest time."""
    ends = time.monotonic() + longest_s
    while not true():
        if time.monotonic() > ends:
            raise RuntimeError(f"not within {longest_s:g} s: {what}")
        await asyncio.sleep(LOOK_S)


def _follows(discovery: Discovery) -> bool:
    """Whether every balancer watches from the newest version on."""
    return all(agent.acknowledged_index == discovery.index for agent in discovery.agents.values())


def _sum(discovery: Discovery, numbers: range) -> RequestCounts:
    total = RequestCounts()
    for number in numbers:
        total += discovery.agents[number].counts
    return total


@dataclass(slots=True)
class _Fleet:
    """Balancers under one stand-in: the first `hollow` agents are those of hollow ones, the rest of real."""

    discovery: Discovery
    processes: list[HollowProcess]
    real: list[RealBalancer]
    hollow: int

    @property
    def hollow_agents(self) -> range:
        return range(self.hollow)

    @property
    def real_agents(self) -> range:
        return range(self.hollow, self.hollow + len(self.real))


async def _start(
    stack: AsyncExitStack,
    discovery: Discovery,
    *,
    hollow: int,
    processes: int,
    real: int,
    site: dict[str, Any],
    seed: int,
) -> _Fleet:
    """Start balancers, spread evenly over processes, and wait until all of them follow the list."""
    fleet = _Fleet(discovery, [], [], hollow)

    def text(number: int, listen: str) -> str:
        agent = discovery.agent_address(number)
        return settings.configuration_text(f"n{number}", listen, agent, [], site, seed=seed + number)

    for first in range(min(processes, hollow)):
        texts = {number: text(number, "127.0.0.1:0") for number in range(first, hollow, processes)}
        process = HollowProcess(texts)
        stack.callback(process.stop)
        fleet.processes.append(process)
    for number in range(hollow, hollow + real):
        listen = free_address(_REAL_HOST.format(number - hollow + 1))
        balancer = await RealBalancer.start(text(number, listen), SAME_PYTHON)
        stack.push_async_callback(balancer.stop)
        fleet.real.append(balancer)
    for balancer in fleet.real:
        await balancer.ready()
    await _until(lambda: _follows(discovery), START_S, "every balancer follows the list")
    return fleet


def _discovery(stack: AsyncExitStack, *args: Any) -> Discovery:
    discovery = Discovery(*args)
    stack.push_async_callback(discovery.stop)
    return discovery


# ---- at rest --------------------------------------------------------------------------------------


class RestPlan(experiment.Plan):
    """Sizes count the entries of the list; there are as many balancers as entries, as the settings say."""

    span_s: Annotated[float, Field(gt=0)]
    """How long each is watched, in seconds."""
    settle_s: Annotated[float, Field(ge=0)]
    """From when all follow the list to the start of the watch, in seconds."""
    hollow: Annotated[int, Field(gt=0)]
    """Hollow balancers of each size, whose calls and bytes are counted."""


def play_rest(plan: RestPlan, log: FilteringBoundLogger) -> Findings:
    """A real balancer of each size at rest, all sizes side by side; first pushed, then asked for."""
    return _run(_rest(plan, log))


async def _rest(plan: RestPlan, log: FilteringBoundLogger) -> Findings:
    findings = Findings()
    for pushed in (True, False):
        async with AsyncExitStack() as stack:
            fleets = []
            for place, entries in enumerate(plan.sizes):
                discovery = _discovery(stack)
                await discovery.start(f"127.32.{place}.1")
                discovery.replace_entries(settings.endpoint_entries(entries, seed=plan.seed))
                site = settings.balancer_settings(balancers=entries, pushed=pushed)
                fleets.append(
                    await _start(
                        stack,
                        discovery,
                        hollow=plan.hollow,
                        processes=1,
                        real=1,
                        site=site,
                        seed=plan.seed,
                    )
                )
            await asyncio.sleep(plan.settle_s)
            await _watch_rest(plan, pushed, fleets, findings)
        for row in findings.rows[-len(plan.sizes) :]:
            log.info("at rest", **row)
    for mode in ("push", "ask"):
        cell = [row for row in findings.rows if row["mode"] == mode]
        for y in ("core_percent", "resident_mib", "bytes_per_s", "hollow_bytes_per_s"):
            findings.fits.append(replace(fit_line(cell, y, "entries"), y=f"{y} ({mode})"))
    return findings


async def _watch_rest(plan: RestPlan, pushed: bool, fleets: list[_Fleet], findings: Findings) -> None:
    lag, cores, began = LoopLag(asyncio.get_running_loop()), CoresWatch(), time.monotonic()

    def look(fleet: _Fleet) -> tuple[float, RequestCounts, RequestCounts]:
        spent = usage([fleet.real[0].pid]).processor_s
        parts = fleet.real_agents, fleet.hollow_agents
        real, hollow = (_sum(fleet.discovery, part) for part in parts)
        return spent, real, hollow

    before = [look(fleet) for fleet in fleets]
    await asyncio.sleep(plan.span_s)
    span_s = time.monotonic() - began
    for entries, fleet, (spent, real, hollow) in zip(plan.sizes, fleets, before, strict=True):
        now_spent, now_real, now_hollow = look(fleet)
        told, hollow_told = now_real - real, now_hollow - hollow
        held = usage([fleet.real[0].pid])
        findings.rows.append(
            {
                "entries": entries,
                "mode": "push" if pushed else "ask",
                "core_percent": (now_spent - spent) / span_s * 100,
                "resident_mib": held.resident / _MIB,
                "descriptors": held.descriptors,
                "calls_per_s": told.requests / span_s,
                "bytes_per_s": (told.bytes_in + told.bytes_out) / span_s,
                "hollow_calls_per_s": hollow_told.requests / span_s / fleet.hollow,
                "hollow_bytes_per_s": (hollow_told.bytes_in + hollow_told.bytes_out) / span_s / fleet.hollow,
            }
        )
    late_s, _ = lag.take()
    lag.stop()
    stretch = f"at rest, {'pushed' if pushed else 'asked for'}"
    findings.doubts += cores.doubts(stretch)
    if late_s >= LATE_S:
        findings.doubts.append(f"{stretch}: the stand-in's loop was {late_s * 1000:.0f} ms late")


# ---- under change ---------------------------------------------------------------------------------


class ChangePlan(experiment.Plan):
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


def play_change(plan: ChangePlan, log: FilteringBoundLogger) -> Findings:
    """Every number of balancers at every rate of change."""
    return _run(_change(plan, log))


async def _change(plan: ChangePlan, log: FilteringBoundLogger) -> Findings:
    findings = Findings()
    for balancers in plan.sizes:
        async with AsyncExitStack() as stack:
            seen: list[tuple[int, int, float]] = []
            discovery = _discovery(
                stack, time.monotonic, lambda agent, after, at, seen=seen: seen.append((agent, after, at))
            )
            await discovery.start("127.33.0.1")
            discovery.replace_entries(settings.endpoint_entries(plan.entries, seed=plan.seed))
            site = settings.balancer_settings(balancers=max(balancers, plan.entries), pushed=plan.pushed)
            fleet = await _start(
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
    plan: ChangePlan,
    fleet: _Fleet,
    multiple: float,
    span_s: float,
    changes: Iterator[tuple[settings.EndpointEntry, ...]],
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
    before = _sum(discovery, fleet.hollow_agents)
    rate = multiple * plan.changes_per_day / DAY_S
    seed = plan.seed + round(1000 * multiple) + fleet.hollow
    late_s = await play_changes(discovery, changes, arrival_times(rate, span_s, random.Random(seed)))
    await asyncio.sleep(max(began + span_s - time.monotonic(), 0.0))
    await _until(lambda: _follows(discovery), FOLLOW_S, "every balancer has the last change")
    took_s = time.monotonic() - began
    used = [usage([pid]).processor_s - was for pid, was in zip(_pids(fleet), spent, strict=True)]
    told = _sum(discovery, fleet.hollow_agents) - before
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
    forced = _delays(notes, fleet.hollow_agents, first, changed_at)
    taken = _delays(seen, fleet.hollow_agents, first, changed_at)
    real = _delays(seen, fleet.real_agents, first, changed_at)
    written = np.array(discovery.written_at[first:]) - changed_at
    shares = np.array(used) / took_s * 100
    return {
        "balancers": fleet.hollow,
        "multiple": multiple,
        "changes": len(changed_at),
        "changes_per_s": len(changed_at) / took_s,
        **_spread("in_force_ms", forced),
        "everywhere_ms_median": float(np.median(forced.max(axis=0))) if forced.size else None,
        **_spread("taken_up_ms", taken),
        **_spread("real_taken_up_ms", real),
        "written_ms_longest": float(written.max() * 1000) if written.size else None,
        "core_percent": float(shares[: len(fleet.processes)].sum()) / fleet.hollow,
        "real_core_percent": float(shares[len(fleet.processes) :].mean()) if fleet.real else None,
        "calls_per_s": told.requests / took_s / fleet.hollow,
        "bytes_per_s": (told.bytes_in + told.bytes_out) / took_s / fleet.hollow,
        "whole_lists": told.snapshots,
        "loops_late_ms_99": max(lags) * 1000,
        "process_percent_most": float(shares.max()),
    }


def _pids(fleet: _Fleet) -> list[int]:
    """The processes of hollow balancers, then the real ones."""
    return [process.pid for process in fleet.processes] + [balancer.pid for balancer in fleet.real]


def _delays(notes: list[tuple[int, int, float]], balancers: range, first: int, changed_at: Table) -> Table:
    """Milliseconds from each change (columns, from version `first` on) until a balancer (rows) had it.

    A balancer has a change with the first version noted that is as new; infinite where it noted none.
    """
    wanted = np.arange(first, first + len(changed_at))
    delays = np.full((len(balancers), len(changed_at)), np.inf)
    by_balancer: dict[int, list[tuple[int, float]]] = {number: [] for number in balancers}
    for number, index, at in notes:
        if number in by_balancer:
            by_balancer[int(number)].append((int(index), at))
    for row, number in enumerate(balancers):
        indexes = np.array([index for index, _ in by_balancer[number]])
        moments = np.array([*(at for _, at in by_balancer[number]), np.inf])
        delays[row] = (moments[np.searchsorted(indexes, wanted)] - changed_at) * 1000
    return delays


def _spread(name: str, delays: Table) -> dict[str, float | None]:
    """The median, the 99th part in a hundred and the longest; None where nothing changed."""
    if not delays.size:
        return {f"{name}_{part}": None for part in ("median", "99", "longest")}
    return {
        f"{name}_median": float(np.median(delays)),
        f"{name}_99": float(np.percentile(delays, 99)),
        f"{name}_longest": float(delays.max()),
    }
