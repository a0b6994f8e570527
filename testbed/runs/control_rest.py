"""What following the list costs a real balancer at rest, by the length of the list."""

from __future__ import annotations

import asyncio
import time
from contextlib import AsyncExitStack
from dataclasses import replace
from typing import Annotated

from pydantic import Field
from structlog.typing import FilteringBoundLogger

from testbed import experiment, settings
from testbed.discovery import Counts
from testbed.meter import CoresWatch, LoopLag, usage
from testbed.results import Findings, fit_line
from testbed.runs.control_group import (
    LATE_S,
    BalancerGroup,
    run_scenario,
    start_discovery,
    start_group,
    sum_counts,
)

_MIB = 1 << 20


class Plan(experiment.Plan):
    """Sizes count the entries of the list; there are as many balancers as entries, as the settings say."""

    span_s: Annotated[float, Field(gt=0)]
    """How long each is watched, in seconds."""
    settle_s: Annotated[float, Field(ge=0)]
    """From when all follow the list to the start of the watch, in seconds."""
    hollow: Annotated[int, Field(gt=0)]
    """Hollow balancers of each size, whose calls and bytes are counted."""


def play(plan: Plan, log: FilteringBoundLogger) -> Findings:
    """A real balancer of each size at rest, all sizes side by side; first pushed, then asked for."""
    return run_scenario(_rest(plan, log))


async def _rest(plan: Plan, log: FilteringBoundLogger) -> Findings:
    findings = Findings()
    for pushed in (True, False):
        async with AsyncExitStack() as stack:
            fleets = []
            for place, entries in enumerate(plan.sizes):
                discovery = start_discovery(stack)
                await discovery.start(f"127.32.{place}.1")
                discovery.set(settings.fleet(entries, seed=plan.seed))
                site = settings.site(balancers=entries, pushed=pushed)
                fleets.append(
                    await start_group(
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


async def _watch_rest(plan: Plan, pushed: bool, fleets: list[BalancerGroup], findings: Findings) -> None:
    lag, cores, began = LoopLag(asyncio.get_running_loop()), CoresWatch(), time.monotonic()

    def look(fleet: BalancerGroup) -> tuple[float, Counts, Counts]:
        spent = usage([fleet.real[0].pid]).processor_s
        parts = fleet.real_agents, fleet.hollow_agents
        real, hollow = (sum_counts(fleet.discovery, part) for part in parts)
        return spent, real, hollow

    before = [look(fleet) for fleet in fleets]
    await asyncio.sleep(plan.span_s)
    span_s = time.monotonic() - began
    for entries, fleet, (spent, real, hollow) in zip(plan.sizes, fleets, before, strict=True):
        now_spent, now_real, now_hollow = look(fleet)
        told, hollow_told = now_real.plus(real, -1), now_hollow.plus(hollow, -1)
        held = usage([fleet.real[0].pid])
        findings.rows.append(
            {
                "entries": entries,
                "mode": "push" if pushed else "ask",
                "core_percent": (now_spent - spent) / span_s * 100,
                "resident_mib": held.resident / _MIB,
                "descriptors": held.descriptors,
                "calls_per_s": told.calls / span_s,
                "bytes_per_s": (told.bytes_in + told.bytes_out) / span_s,
                "hollow_calls_per_s": hollow_told.calls / span_s / fleet.hollow,
                "hollow_bytes_per_s": (hollow_told.bytes_in + hollow_told.bytes_out) / span_s / fleet.hollow,
            }
        )
    late_s, _ = lag.take()
    lag.stop()
    stretch = f"at rest, {'pushed' if pushed else 'asked for'}"
    findings.doubts += cores.doubts(stretch)
    if late_s >= LATE_S:
        findings.doubts.append(f"{stretch}: the stand-in's loop was {late_s * 1000:.0f} ms late")
