"""Real balancers in a deep chain: what all of them add, what reaches the bottom, and what faults there cause.

Each tier has two hollow upstreams, each with a real balancer of its own that sends to the next tier; two
more balancers are the clients' front. Beside it stands the same chain without balancers, one upstream a tier:
its calls are the direct ones, and the difference is what the balancers add.
"""

from __future__ import annotations

import asyncio
import itertools
from typing import Any

import uvloop
from structlog.typing import FilteringBoundLogger

from testbed import http_client, load, settings
from testbed.discovery import Discovery
from testbed.latency import Latencies
from testbed.meter import CoresWatch, usage
from testbed.real import SAME_PYTHON, RealBalancer, free_address
from testbed.results import Findings, fit_line
from testbed.runs import loaded
from testbed.upstream import Upstream, forward_through
from testbed.upstream_behaviour import Behaviour, UpstreamMode
from testbed.upstream_connection import ReceivedRequest
from testbed.upstream_group import UpstreamGroup

_WIDTH = 2
_AT_ONCE = 8  # balancers that start at the same time
_CALM = Behaviour()
_PHASES = (
    ("calm", _CALM),
    ("fails 0.1", Behaviour(UpstreamMode.FAIL, 0.1)),
    ("fails 0.5", Behaviour(UpstreamMode.FAIL, 0.5)),
    ("fails all", Behaviour(UpstreamMode.FAIL)),
    ("back after failing", _CALM),
    ("hangs", Behaviour(UpstreamMode.HANG)),
    ("back after hanging", _CALM),
)


class Plan(loaded.Plan):
    """`sizes` count the tiers, which are also the balancers on a call's way."""

    faults_at: tuple[int, ...]
    """The sizes at which the bottom tier fails, hangs and comes back; at the others all is calm."""
    phase_s: float
    """The length of each phase."""


def play(plan: Plan, log: FilteringBoundLogger) -> Findings:
    """One row for each size and phase, and a line over the calm ones."""
    findings = Findings()
    for depth in plan.sizes:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(_measure(plan, depth, findings, log))
    calm = [row for row in findings.rows if row["phase"] == "calm"]
    if len(calm) > 1:
        columns = ("added_50_ms", "bottom_deadline_50_ms", "processor_us_a_call")
        findings.fits = [fit_line(calm, y, "depth") for y in columns]
    return findings


class _Chain:
    """Tiers of upstreams, joined by real balancers or directly."""

    def __init__(self, plan: Plan, depth: int) -> None:
        self._plan, self._depth = plan, depth
        self._upstreams = UpstreamGroup(plan.seed)
        self._lists: list[Discovery] = []
        self.tiers: list[list[Upstream]] = []
        self.balancers: list[RealBalancer] = []
        self.fronts: list[http_client.Client] = []
        self.direct: http_client.Client
        self.deadlines_ms: list[float] = []
        """What the requests that reached the bottom said."""

    async def start(self) -> None:
        """Start all of it, the bottom first: a balancer is put to use once it is ready."""
        seeds = itertools.count(self._plan.seed * 1_000)
        bare = await self._upstreams.start(self._depth)
        for upper, lower in itertools.pairwise(bare):
            upper.forward = forward_through(
                http_client.Client(lower.address), http_client.request_ids(next(seeds))
            )
        self.direct = http_client.Client(bare[0].address)
        for tier in range(self._depth):
            self.tiers.append(await self._upstreams.start(_WIDTH))
            self._lists.append(Discovery())
            await self._lists[tier].start(f"127.79.{tier}.1")
            entries = [
                settings.endpoint_entry(f"s-{tier:04x}{i:04x}", u.address)
                for i, u in enumerate(self.tiers[tier])
            ]
            self._lists[tier].replace_entries(entries)
        texts = [
            settings.configuration_text(
                f"n{tier}-{i}",
                free_address(f"127.78.{tier}.{i + 1}"),
                self._lists[tier].agent_address(i),
                self._lists[tier].entries,
                settings.balancer_settings(balancers=_WIDTH, tier=tier, familyInfo={"passesDeadline": True}),
                seed=next(seeds),
                index=self._lists[tier].index,
            )
            for tier in range(self._depth)
            for i in range(_WIDTH)
        ]
        for first in range(0, len(texts), _AT_ONCE):
            for text in texts[first : first + _AT_ONCE]:
                self.balancers.append(await RealBalancer.start(text, SAME_PYTHON))
            await asyncio.gather(*(balancer.ready() for balancer in self.balancers[first:]))
        callers = [http_client.Client(balancer.address) for balancer in self.balancers]
        self.fronts = callers[:_WIDTH]
        above = [upstream for tier in self.tiers[:-1] for upstream in tier]
        for upstream, caller in zip(above, callers[_WIDTH:], strict=True):
            upstream.forward = forward_through(caller, http_client.request_ids(next(seeds)))
        for upstream in self.tiers[-1]:
            upstream.on_request = self._saw

    def _saw(self, asked: ReceivedRequest) -> None:
        self.deadlines_ms.append(asked.deadline_ms)

    def asked(self) -> list[int]:
        """By tier: the attempts that came so far."""
        return [sum(upstream.counts.requests for upstream in tier) for tier in self.tiers]

    async def stop(self) -> None:
        """End all of it."""
        await asyncio.gather(*(balancer.stop() for balancer in self.balancers))
        for each in self._lists:
            await each.stop()
        self._upstreams.close()


async def _measure(plan: Plan, depth: int, findings: Findings, log: FilteringBoundLogger) -> None:
    chain = _Chain(plan, depth)
    try:
        await chain.start()
        await load.play_streams(_streams(plan, chain), plan.warm_s, plan.seed)
        for number, (phase, behaviour) in enumerate(_PHASES if depth in plan.faults_at else _PHASES[:1]):
            for upstream in chain.tiers[-1]:
                await upstream.set_behaviour(behaviour)
            row, doubts = await _phase(plan, chain, plan.seed + 1 + number)
            findings.rows.append({"depth": depth, "phase": phase} | row)
            findings.doubts += [f"depth {depth}, {phase}: {doubt}" for doubt in doubts]
            log.info("measured", depth=depth, phase=phase, **row, doubts=doubts)
    finally:
        await chain.stop()


def _streams(plan: Plan, chain: _Chain) -> list[load.Stream]:
    ways = {"direct": [chain.direct], "through": chain.fronts}
    return [load.Stream(n, c, plan.per_s, plan.class_name, plan.deadline_ms) for n, c in ways.items()]


async def _phase(plan: Plan, chain: _Chain, seed: int) -> tuple[dict[str, Any], list[str]]:
    chain.deadlines_ms.clear()
    pids = [balancer.pid for balancer in chain.balancers]
    cores, before, asked = CoresWatch(), usage(pids), chain.asked()
    reports = await load.play_streams(_streams(plan, chain), plan.phase_s, seed)
    after = usage(pids)
    busy, attempts = cores.busy(), [b - a for a, b in zip(asked, chain.asked(), strict=True)]
    direct, through = reports["direct"], reports["through"]
    calls = through.sends
    doubts = cores.doubts("the phase")
    for name, report in reports.items():
        doubts += report.doubts(name, plan.late_ms)
    row: dict[str, Any] = {
        "calls": calls,
        "served": through.statuses[200],
        "refused": through.statuses[503] + through.statuses[429],
        "failed": calls - through.statuses[200] - through.statuses[503] - through.statuses[429],
        "last_unserved_s": max(through.unserved, default=0.0),
        **_times(direct.served, through.served),
        **_spread(chain.deadlines_ms),
        "attempts_top": attempts[0] / calls,
        "attempts_bottom": attempts[-1] / calls,
        "attempts_by_tier": attempts,
        "processor_us_a_call": (after.processor_s - before.processor_s) * 1e6 / calls,
        "resident_mib": after.resident / 2**20,
        "cores_busy": busy,
    }
    return row, doubts


def _times(direct: Latencies, through: Latencies) -> dict[str, float]:
    """Milliseconds of the two ways; none where no call was served."""
    if not through.count or not direct.count:
        return {}
    return {
        "direct_50_ms": direct.quantile_ms(0.5),
        "through_50_ms": through.quantile_ms(0.5),
        "through_90_ms": through.quantile_ms(0.9),
        "added_50_ms": through.quantile_ms(0.5) - direct.quantile_ms(0.5),
        "added_90_ms": through.quantile_ms(0.9) - direct.quantile_ms(0.9),
    }


def _spread(deadlines_ms: list[float]) -> dict[str, float]:
    """The median and the shortest of the deadlines; none where nothing reached the bottom."""
    if not deadlines_ms:
        return {}
    ordered = sorted(deadlines_ms)
    return {
        "bottom_deadline_50_ms": ordered[len(ordered) // 2],
        "bottom_deadline_least_ms": ordered[0],
    }
