"""Real balancers in a deep chain: what they add, which deadline reaches the end, what faults there cause.

Beside the chain stands the same one without balancers, one upstream a tier: its calls are the direct ones,
and the difference is what the balancers add.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field

import uvloop
from structlog.typing import FilteringBoundLogger

from testbed.load import streams as load
from testbed.measurement.latency import Latencies
from testbed.measurement.meter import CoresWatch, Usage, usage
from testbed.results import OMITTED_IF_NONE, Measured, Row, RunResult, fit_columns
from testbed.runs import loaded
from testbed.runs.real_depth.chain import Chain
from testbed.upstream.behaviour import Behaviour, UpstreamMode

_CALM = Behaviour()
_CALM_PHASE = "calm"
_PHASES = (
    (_CALM_PHASE, _CALM),
    ("fails 0.1", Behaviour(UpstreamMode.FAIL, 0.1)),
    ("fails 0.5", Behaviour(UpstreamMode.FAIL, 0.5)),
    ("fails all", Behaviour(UpstreamMode.FAIL)),
    ("back after failing", _CALM),
    ("hangs", Behaviour(UpstreamMode.HANG)),
    ("back after hanging", _CALM),
)


_FITTED = ("added_50_ms", "bottom_deadline_50_ms", "processor_us_a_call")
_OK = 200
_REJECTED = (503, 429)
_MIB = 2**20


class Plan(loaded.Plan):
    """`sizes` count the tiers, which are also the balancers on a call's way."""

    faults_at: tuple[int, ...]
    """The sizes at which the bottom tier fails, hangs and comes back; at the others all is calm."""
    phase_s: float
    """The length of each phase."""


@dataclass(frozen=True, slots=True, kw_only=True)
class TimeColumns(Row):
    """Quantiles of both ways in milliseconds, over calls with response 200; `added` is the difference."""

    direct_50_ms: float
    through_50_ms: float
    through_90_ms: float
    added_50_ms: float
    added_90_ms: float


@dataclass(frozen=True, slots=True, kw_only=True)
class DeadlineColumns(Row):
    """The deadlines of the requests that reached the last tier, in milliseconds."""

    bottom_deadline_50_ms: float
    bottom_deadline_least_ms: float


@dataclass(frozen=True, slots=True, kw_only=True)
class RealDepthRow(Row):
    """A chain of one depth in one phase."""

    depth: int
    """The tiers, which are also the balancers on a call's way."""
    phase: str
    calls: int
    """Calls through the balancers."""
    served: int
    """Those with response 200."""
    refused: int
    """Those with response 503 or 429."""
    failed: int
    """All others."""
    last_unserved_s: float
    """When the last call was due that was not served, from the start of the phase; 0 if all were."""
    times: TimeColumns | None = field(default=None, metadata=OMITTED_IF_NONE)
    """Left out where no call was served one way or the other."""
    deadlines: DeadlineColumns | None = field(default=None, metadata=OMITTED_IF_NONE)
    """Left out where nothing reached the last tier."""
    attempts_top: float
    """Attempts at the first tier by call."""
    attempts_bottom: float
    """Attempts at the last tier by call."""
    attempts_by_tier: list[int]
    processor_us_a_call: float
    """Processor time of all balancers by call."""
    resident_mib: float
    """Resident memory of all balancers at the end."""
    cores_busy: float
    """The busy part of all cores' time, from 0 to 1."""


def play(plan: Plan, log: FilteringBoundLogger) -> RunResult[RealDepthRow]:
    """Measure each size and phase, and fit lines over the calm phases."""
    result: RunResult[RealDepthRow] = RunResult()
    for depth in plan.sizes:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(_play_depth(plan, depth, result, log))
    calm = [row for row in result.rows if row.phase == _CALM_PHASE]
    if len(calm) > 1:
        result.fits = [fit_columns(calm, y, "depth") for y in _FITTED]
    return result


async def _play_depth(
    plan: Plan, depth: int, result: RunResult[RealDepthRow], log: FilteringBoundLogger
) -> None:
    """Start a chain and play its phases."""
    chain = Chain(plan.seed, depth)
    try:
        await chain.start()
        await load.play_streams(_streams(plan, chain), plan.warm_s, plan.seed)
        for number, (phase, behaviour) in enumerate(_PHASES if depth in plan.faults_at else _PHASES[:1]):
            for upstream in chain.tiers[-1]:
                await upstream.set_behaviour(behaviour)
            measured = await _play_phase(plan, chain, phase, plan.seed + 1 + number)
            result.rows.append(measured.row)
            result.invalid_reasons += [
                f"depth {depth}, {phase}: {reason}" for reason in measured.invalid_reasons
            ]
            log.info("measured", **measured.row.columns(), doubts=measured.invalid_reasons)
    finally:
        await chain.stop()


def _streams(plan: Plan, chain: Chain) -> list[load.Stream]:
    clients = {"direct": [chain.direct], "through": chain.fronts}
    return [
        load.Stream(name, clients_of, plan.per_s, plan.class_name, plan.deadline_ms)
        for name, clients_of in clients.items()
    ]


@dataclass(frozen=True, slots=True)
class _Readings:
    """What was read around a phase."""

    usage_before: Usage
    usage_after: Usage
    cores_busy: float
    attempts: list[int]
    """At each tier."""
    reports: dict[str, load.StreamReport]


async def _play_phase(plan: Plan, chain: Chain, phase: str, seed: int) -> Measured[RealDepthRow]:
    """Play the load of one phase."""
    chain.deadlines_ms.clear()
    pids = [balancer.pid for balancer in chain.balancers]
    cores = CoresWatch()
    usage_before = usage(pids)
    attempts_before = chain.attempts()
    reports = await load.play_streams(_streams(plan, chain), plan.phase_s, seed)
    usage_after = usage(pids)
    busy = cores.busy()
    attempts = [after - before for before, after in zip(attempts_before, chain.attempts(), strict=True)]
    reasons = cores.doubts("the phase")
    for name, report in reports.items():
        reasons += report.doubts(name, plan.late_ms)
    readings = _Readings(usage_before, usage_after, busy, attempts, reports)
    return Measured(_row(chain, phase, readings), reasons)


def _row(chain: Chain, phase: str, readings: _Readings) -> RealDepthRow:
    through = readings.reports["through"]
    calls = through.sends
    served = through.statuses[_OK]
    rejected = sum(through.statuses[status] for status in _REJECTED)
    processor_s = readings.usage_after.processor_s - readings.usage_before.processor_s
    return RealDepthRow(
        depth=len(chain.tiers),
        phase=phase,
        calls=calls,
        served=served,
        refused=rejected,
        failed=calls - served - rejected,
        last_unserved_s=max(through.unserved, default=0.0),
        times=_times(readings.reports["direct"].served, through.served),
        deadlines=_deadlines(chain.deadlines_ms),
        attempts_top=readings.attempts[0] / calls,
        attempts_bottom=readings.attempts[-1] / calls,
        attempts_by_tier=readings.attempts,
        processor_us_a_call=processor_s * 1e6 / calls,
        resident_mib=readings.usage_after.resident / _MIB,
        cores_busy=readings.cores_busy,
    )


def _times(direct: Latencies, through: Latencies) -> TimeColumns | None:
    """Compare the two ways; None where no call was served one way or the other."""
    if not through.count or not direct.count:
        return None
    return TimeColumns(
        direct_50_ms=direct.quantile_ms(0.5),
        through_50_ms=through.quantile_ms(0.5),
        through_90_ms=through.quantile_ms(0.9),
        added_50_ms=through.quantile_ms(0.5) - direct.quantile_ms(0.5),
        added_90_ms=through.quantile_ms(0.9) - direct.quantile_ms(0.9),
    )


def _deadlines(deadlines_ms: Sequence[float]) -> DeadlineColumns | None:
    """The median and the shortest of the deadlines; None where there are none."""
    if not deadlines_ms:
        return None
    ordered = sorted(deadlines_ms)
    return DeadlineColumns(
        bottom_deadline_50_ms=ordered[len(ordered) // 2], bottom_deadline_least_ms=ordered[0]
    )
