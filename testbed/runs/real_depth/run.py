"""Measures real balancers in deep chains: added latency, deadlines and faults at the last tier.

Direct requests go through a chain of the same depth without balancers, with one upstream in each tier; the
difference in latency is what the balancers add.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import uvloop

from testbed.load import streams as load
from testbed.measurement.resource_usage import CoreMonitor, ResourceUsage, measure_usage
from testbed.results import OMITTED_IF_NONE, MeasuredRow, Row, RunResult, fit_columns, stored_as
from testbed.runs import load_plan
from testbed.runs.real_depth.chain import RealChain
from testbed.upstream.behaviour import Behaviour, UpstreamMode

if TYPE_CHECKING:
    from collections.abc import Sequence

    from structlog.typing import FilteringBoundLogger

    from testbed.measurement.latency import Latencies

_NO_FAULT = Behaviour()
_NO_FAULT_PHASE = "calm"
_PHASES = (
    (_NO_FAULT_PHASE, _NO_FAULT),
    ("fails 0.1", Behaviour(UpstreamMode.FAIL, 0.1)),
    ("fails 0.5", Behaviour(UpstreamMode.FAIL, 0.5)),
    ("fails all", Behaviour(UpstreamMode.FAIL)),
    ("back after failing", _NO_FAULT),
    ("hangs", Behaviour(UpstreamMode.HANG)),
    ("back after hanging", _NO_FAULT),
)
"""The name of each phase, and the behaviour of the last tier during the phase."""

_FITTED_COLUMNS = ("added_50_ms", "bottom_deadline_50_ms", "processor_us_a_call")
"""The stored columns for which a line is fitted against the depth."""
_OK = 200
_REJECTED_STATUSES = (503, 429)
_MIB = 2**20


class Plan(load_plan.Plan):
    """The load and the faults; `sizes` are numbers of tiers. A request passes one balancer per tier."""

    faults_at: tuple[int, ...]
    """The sizes for which the last tier fails, hangs and recovers; other sizes have no faults."""
    phase_s: float
    """The duration of each phase in seconds."""


@dataclass(frozen=True, slots=True, kw_only=True)
class LatencyColumns(Row):
    """Latency percentiles of requests with a 200 response; `added` is `through` minus `direct`."""

    direct_50_ms: float
    through_50_ms: float
    through_90_ms: float
    added_50_ms: float
    added_90_ms: float


@dataclass(frozen=True, slots=True, kw_only=True)
class DeadlineColumns(Row):
    """The deadlines of the requests that reached the last tier, in milliseconds."""

    median_last_tier_deadline_ms: float = stored_as("bottom_deadline_50_ms")
    min_last_tier_deadline_ms: float = stored_as("bottom_deadline_least_ms")


@dataclass(frozen=True, slots=True, kw_only=True)
class RealDepthRow(Row):
    """The measurements of a chain of one depth in one phase."""

    depth: int
    """The number of tiers; a request passes one balancer per tier."""
    phase: str
    requests: int = stored_as("calls")
    """Requests through the balancers."""
    served: int
    """Requests with a 200 response."""
    rejected: int = stored_as("refused")
    """Requests with a 503 or 429 response."""
    failed: int
    """All other requests."""
    last_unserved_s: float
    """When the last request without a 200 response was scheduled, in seconds from the start of the phase.

    It is 0 if every request was served.
    """
    times: LatencyColumns | None = field(default=None, metadata=OMITTED_IF_NONE)
    """Omitted if no direct request, or no request through the balancers, was served."""
    deadlines: DeadlineColumns | None = field(default=None, metadata=OMITTED_IF_NONE)
    """Omitted if no request reached the last tier."""
    first_tier_attempts_per_request: float = stored_as("attempts_top")
    """Attempts at the first tier per request."""
    last_tier_attempts_per_request: float = stored_as("attempts_bottom")
    """Attempts at the last tier per request."""
    attempts_by_tier: list[int]
    processor_us_per_request: float = stored_as("processor_us_a_call")
    """Processor time of all balancers per request, in microseconds."""
    resident_mib: float
    """Resident memory of all balancers after the phase."""
    cores_busy: float
    """The fraction of core time that was busy, from 0 to 1."""


def measure(plan: Plan, log: FilteringBoundLogger) -> RunResult[RealDepthRow]:
    """Measure each depth and phase, and fit lines against the depth for the phase without a fault."""
    result: RunResult[RealDepthRow] = RunResult()
    for depth in plan.sizes:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(_measure_depth(plan, depth, result, log))
    fault_free_rows = [row for row in result.rows if row.phase == _NO_FAULT_PHASE]
    if len(fault_free_rows) > 1:
        result.fits = [fit_columns(fault_free_rows, y, "depth") for y in _FITTED_COLUMNS]
    return result


async def _measure_depth(
    plan: Plan, depth: int, result: RunResult[RealDepthRow], log: FilteringBoundLogger
) -> None:
    """Start a chain and measure its phases one after another."""
    chain = RealChain(plan.seed, depth)
    try:
        await chain.start()
        await load.run_streams(_streams(plan, chain), plan.warm_s, plan.seed)
        for number, (phase, behaviour) in enumerate(_PHASES if depth in plan.faults_at else _PHASES[:1]):
            for upstream in chain.tiers[-1]:
                await upstream.set_behaviour(behaviour)
            measured = await _measure_phase(plan, chain, phase, plan.seed + 1 + number)
            result.rows.append(measured.row)
            result.invalidity_reasons += [
                f"depth {depth}, {phase}: {reason}" for reason in measured.invalidity_reasons
            ]
            log.info("measured", **measured.row.columns(), doubts=measured.invalidity_reasons)
    finally:
        await chain.stop()


def _streams(plan: Plan, chain: RealChain) -> list[load.Stream]:
    clients_by_stream = {"direct": [chain.direct_client], "through": chain.front_clients}
    return [
        load.Stream(name, clients, plan.per_s, plan.class_name, plan.deadline_ms)
        for name, clients in clients_by_stream.items()
    ]


@dataclass(frozen=True, slots=True)
class _Readings:
    """The readings before and after a phase."""

    usage_before: ResourceUsage
    usage_after: ResourceUsage
    cores_busy: float
    attempts: list[int]
    """The attempts at each tier."""
    reports: dict[str, load.StreamReport]


async def _measure_phase(plan: Plan, chain: RealChain, phase: str, seed: int) -> MeasuredRow[RealDepthRow]:
    """Run the load of one phase and return its row."""
    chain.deadlines_ms.clear()
    pids = [balancer.pid for balancer in chain.balancers]
    cores = CoreMonitor()
    usage_before = measure_usage(pids)
    attempts_before = chain.attempts_by_tier()
    reports = await load.run_streams(_streams(plan, chain), plan.phase_s, seed)
    usage_after = measure_usage(pids)
    busy = cores.busy_fraction()
    attempts = [
        after - before for before, after in zip(attempts_before, chain.attempts_by_tier(), strict=True)
    ]
    reasons = cores.invalidity_reasons("the phase")
    for name, report in reports.items():
        reasons += report.invalidity_reasons(name, plan.late_ms)
    readings = _Readings(usage_before, usage_after, busy, attempts, reports)
    return MeasuredRow(_row(chain, phase, readings), reasons)


def _row(chain: RealChain, phase: str, readings: _Readings) -> RealDepthRow:
    through = readings.reports["through"]
    requests = through.sent
    served = through.statuses[_OK]
    rejected = sum(through.statuses[status] for status in _REJECTED_STATUSES)
    processor_s = readings.usage_after.processor_s - readings.usage_before.processor_s
    return RealDepthRow(
        depth=len(chain.tiers),
        phase=phase,
        requests=requests,
        served=served,
        rejected=rejected,
        failed=requests - served - rejected,
        last_unserved_s=max(through.unserved_at_s, default=0.0),
        times=_latency_columns(readings.reports["direct"].served_latencies, through.served_latencies),
        deadlines=_deadline_columns(chain.deadlines_ms),
        first_tier_attempts_per_request=readings.attempts[0] / requests,
        last_tier_attempts_per_request=readings.attempts[-1] / requests,
        attempts_by_tier=readings.attempts,
        processor_us_per_request=processor_s * 1e6 / requests,
        resident_mib=readings.usage_after.resident_bytes / _MIB,
        cores_busy=readings.cores_busy,
    )


def _latency_columns(direct: Latencies, through: Latencies) -> LatencyColumns | None:
    """Compare direct latencies with latencies through the balancers; return None if either is empty."""
    if not through.count or not direct.count:
        return None
    return LatencyColumns(
        direct_50_ms=direct.quantile_ms(0.5),
        through_50_ms=through.quantile_ms(0.5),
        through_90_ms=through.quantile_ms(0.9),
        added_50_ms=through.quantile_ms(0.5) - direct.quantile_ms(0.5),
        added_90_ms=through.quantile_ms(0.9) - direct.quantile_ms(0.9),
    )


def _deadline_columns(deadlines_ms: Sequence[float]) -> DeadlineColumns | None:
    """Return the median and the minimum of the deadlines, or None if there are none."""
    if not deadlines_ms:
        return None
    ordered = sorted(deadlines_ms)
    return DeadlineColumns(
        median_last_tier_deadline_ms=ordered[len(ordered) // 2], min_last_tier_deadline_ms=ordered[0]
    )
