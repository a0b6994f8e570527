"""The time that a real balancer adds to a call, and its processor time, over the length of the list.

Calls go direct (on kept connections to a few of the upstreams) and through the balancer at the same time.
One load in one process counts both from when they were due; upstreams and balancer have theirs.
"""

from __future__ import annotations

import asyncio
import gc
from typing import Any

import uvloop
from structlog.typing import FilteringBoundLogger

from testbed import http_client, latency, load, settings
from testbed.discovery import Discovery
from testbed.meter import CoresWatch, usage
from testbed.real import SAME_PYTHON, RealBalancer, free_address
from testbed.results import Findings, fit_line
from testbed.runs import loaded
from testbed.upstream_group import UpstreamProcess

_AGENTS = "127.79.0.1"
_BALANCER = "127.78.0.1"
_FITTED = ("added_50_ms", "added_99_ms", "over_median_99_ms", "processor_us_a_call", "rest_us_a_s")


class Plan(loaded.Plan):
    """`sizes` count the entries of the list, which is also how many balancers the settings tell of."""

    service_ms: float
    """An upstream's time for a call."""
    direct_servers: int
    """So many upstreams get the direct calls, the first of the list."""
    rest_s: float
    """A stretch without load, for the processor time that calls don't cause."""
    measure_s: float
    """The measured stretch."""


def play(plan: Plan, log: FilteringBoundLogger) -> Findings:
    """One row for each size, and lines over all of them."""
    findings = Findings()
    for size in plan.sizes:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            row, doubts = runner.run(_measure(plan, size))
        findings.rows.append(row)
        findings.doubts += doubts
        log.info("measured", **row, doubts=doubts)
    if len(plan.sizes) > 1:
        findings.fits = [fit_line(findings.rows, y, "entries") for y in _FITTED]
    return findings


async def _measure(plan: Plan, size: int) -> tuple[dict[str, Any], list[str]]:
    apart = UpstreamProcess(size, plan.service_ms, plan.seed)
    discovery = Discovery()
    try:
        await discovery.start(_AGENTS)
        entries = settings.endpoint_entries(size, seed=plan.seed, addresses=apart.addresses)
        discovery.replace_entries(entries)
        site = settings.balancer_settings(balancers=size)
        text = settings.configuration_text(
            "n1",
            free_address(_BALANCER),
            discovery.agent_address(0),
            entries,
            site,
            seed=plan.seed,
            index=discovery.index,
        )
        balancer = await RealBalancer.start(text, SAME_PYTHON)
        try:
            await balancer.ready()
            return await _side_by_side(plan, size, apart, balancer)
        finally:
            await balancer.stop()
    finally:
        await discovery.stop()
        apart.stop()


async def _side_by_side(
    plan: Plan, size: int, apart: UpstreamProcess, balancer: RealBalancer
) -> tuple[dict[str, Any], list[str]]:
    near = [http_client.Client(address) for address in apart.addresses[: plan.direct_servers]]
    front = http_client.Client(balancer.address)
    streams = [
        load.Stream("direct", near, plan.per_s, plan.class_name, plan.deadline_ms),
        load.Stream("through", [front], plan.per_s, plan.class_name, plan.deadline_ms),
    ]
    await load.play_streams(streams, plan.warm_s, plan.seed + 1)
    at_rest = usage([balancer.pid])
    await asyncio.sleep(plan.rest_s)
    rest_us_a_s = (usage([balancer.pid]).processor_s - at_rest.processor_s) / plan.rest_s * 1e6
    gc.collect()
    gc.freeze()  # what the load has built needs no look while it measures
    cores, counted, before = CoresWatch(), apart.counts(), usage([balancer.pid])
    reports = await load.play_streams(streams, plan.measure_s, plan.seed)
    after, recounted = usage([balancer.pid]), apart.counts()
    gc.unfreeze()
    busy, doubts = cores.busy(), cores.doubts(f"{size} entries")
    direct, through = reports["direct"], reports["through"]
    for name, report in reports.items():
        doubts += report.doubts(f"{size} entries, {name}", plan.late_ms)
    processor_us = (after.processor_s - before.processor_s) * 1e6
    row = {
        "entries": size,
        "calls": through.sends,
        "served": through.served.count,
        **latency.added(direct.served, through.served),
        "processor_us_a_call": processor_us / through.sends,
        "rest_us_a_s": rest_us_a_s,
        "net_us_a_call": (processor_us - rest_us_a_s * plan.measure_s) / through.sends,
        "resident_mib": after.resident / 2**20,
        "attempts_a_call": (recounted.requests - counted.requests - direct.sends) / through.sends,
        "opened_a_call": (recounted.connections - counted.connections - direct.opened) / through.sends,
        "probes": recounted.health_checks - counted.health_checks,
        "late_99_ms": through.lateness.quantile_ms(0.99),
        "cores_busy": busy,
    }
    return row, doubts
