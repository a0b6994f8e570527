"""Measures the latency that a real balancer adds, and its processor time, by length of the endpoint list.

Requests go through the balancer and, at the same time, directly to a few of the upstreams on persistent
connections. One process sends all requests and measures their latency from the scheduled time; the upstreams
run in a second process, and the balancer in a third.
"""

from __future__ import annotations

import asyncio
import gc
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

from testbed.balancer.real import SOURCE_TREE_COMMAND, RealBalancer
from testbed.http import client as http_client
from testbed.load import streams as load
from testbed.measurement import latency
from testbed.measurement.resource_usage import CoreMonitor, ResourceUsage, measure_usage
from testbed.results import MeasuredRow, Row, RunResult, fit_columns, stored_as
from testbed.runs import load_plan
from testbed.runs.single_balancer import measure_sizes, single_balancer_setup

if TYPE_CHECKING:
    from structlog.typing import FilteringBoundLogger

    from testbed.upstream.behaviour import UpstreamCounts
    from testbed.upstream.group import UpstreamProcess

_MIB = 2**20
_FITTED_COLUMNS = ("added_50_ms", "added_99_ms", "over_median_99_ms", "processor_us_a_call", "rest_us_a_s")
"""The stored columns for which a line is fitted against the length of the list."""


class Plan(load_plan.Plan):
    """The load; each size is the length of the endpoint list and the value of the `balancers` setting."""

    service_ms: float
    """The service time of an upstream in milliseconds."""
    direct_servers: int
    """The number of upstreams that receive direct requests: the first ones in the list."""
    rest_s: float
    """The time in seconds for which the processor time of an idle balancer is measured."""
    measure_s: float
    """The duration of the measured load in seconds."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AddedTimeRow(Row):
    """The measurements of a balancer under load, for one length of the endpoint list.

    In the names of latencies, `direct` is for requests sent directly to the upstreams, `through` for requests
    through the balancer, and the number is the percentile (999 means 99.9). `added` is the percentile through
    the balancer minus the same percentile of direct requests; `over_median` is the percentile through the
    balancer minus the median of direct requests.
    """

    entries: int
    """The length of the list."""
    requests: int = stored_as("calls")
    """Requests through the balancer."""
    served: int
    """Requests through the balancer with a 200 response."""
    direct_50_ms: float
    direct_99_ms: float
    through_50_ms: float
    through_99_ms: float
    added_50_ms: float
    added_99_ms: float
    over_median_90_ms: float
    over_median_99_ms: float
    over_median_999_ms: float
    processor_us_per_request: float = stored_as("processor_us_a_call")
    """The balancer's processor time per request."""
    idle_us_per_s: float = stored_as("rest_us_a_s")
    """The balancer's processor time per second without load, in microseconds."""
    net_us_per_request: float = stored_as("net_us_a_call")
    """The balancer's processor time per request, excluding the processor time that it uses without load."""
    resident_mib: float
    """The balancer's resident memory after the load."""
    attempts_per_request: float = stored_as("attempts_a_call")
    opened_connections_per_request: float = stored_as("opened_a_call")
    """Connections opened to upstreams per request."""
    health_checks: int = stored_as("probes")
    """Health checks that the upstreams received."""
    p99_lateness_ms: float = stored_as("late_99_ms")
    """The 99th percentile of the lateness with which requests through the balancer were sent."""
    cores_busy: float
    """The fraction of core time that was busy, from 0 to 1."""


def measure(plan: Plan, log: FilteringBoundLogger) -> RunResult[AddedTimeRow]:
    """Measure a balancer for each length of the list, and fit lines against the length."""
    result = measure_sizes(plan.sizes, partial(_measure_size, plan), log)
    if len(plan.sizes) > 1:
        result.fits = [fit_columns(result.rows, y, "entries") for y in _FITTED_COLUMNS]
    return result


async def _measure_size(plan: Plan, size: int) -> MeasuredRow[AddedTimeRow]:
    """Start upstreams, a discovery service and a balancer, and measure the balancer."""
    async with single_balancer_setup(size, plan.service_ms, plan.seed, balancers=size) as setup:
        balancer = await RealBalancer.start(setup.configuration_text, SOURCE_TREE_COMMAND)
        try:
            await balancer.wait_until_ready()
            return await _Measurement(plan, size, setup.upstreams, balancer).run()
        finally:
            await balancer.stop()


@dataclass(frozen=True, slots=True)
class _Readings:
    """The readings before and after the measured load."""

    idle_us_per_s: float
    usage_before: ResourceUsage
    usage_after: ResourceUsage
    counts_before: UpstreamCounts
    counts_after: UpstreamCounts
    cores_busy: float
    reports: dict[str, load.StreamReport]


class _Measurement:
    """Measures direct requests, requests through a balancer, and the balancer's resource usage."""

    def __init__(self, plan: Plan, size: int, upstreams: UpstreamProcess, balancer: RealBalancer) -> None:
        self._plan, self._size = plan, size
        self._upstreams, self._balancer = upstreams, balancer
        direct_clients = [
            http_client.Client(address) for address in upstreams.addresses[: plan.direct_servers]
        ]
        balancer_client = http_client.Client(balancer.address)
        self._streams = [
            load.Stream("direct", direct_clients, plan.per_s, plan.class_name, plan.deadline_ms),
            load.Stream("through", [balancer_client], plan.per_s, plan.class_name, plan.deadline_ms),
        ]

    async def run(self) -> MeasuredRow[AddedTimeRow]:
        """Warm up, measure without load, and measure under load."""
        plan = self._plan
        await load.run_streams(self._streams, plan.warm_s, plan.seed + 1)
        idle_us_per_s = await self._measure_idle_us_per_s()
        gc.collect()
        gc.freeze()  # shortens garbage collections during the measurement
        cores = CoreMonitor()
        counts_before = self._upstreams.counts()
        usage_before = self._usage()
        reports = await load.run_streams(self._streams, plan.measure_s, plan.seed)
        usage_after = self._usage()
        counts_after = self._upstreams.counts()
        gc.unfreeze()
        busy, reasons = cores.busy_fraction(), cores.invalidity_reasons(f"{self._size} entries")
        for name, report in reports.items():
            reasons += report.invalidity_reasons(f"{self._size} entries, {name}", plan.late_ms)
        readings = _Readings(
            idle_us_per_s, usage_before, usage_after, counts_before, counts_after, busy, reports
        )
        return MeasuredRow(self._row(readings), reasons)

    async def _measure_idle_us_per_s(self) -> float:
        """Measure the balancer's processor time per second without load, in microseconds."""
        before = self._usage()
        await asyncio.sleep(self._plan.rest_s)
        return (self._usage().processor_s - before.processor_s) / self._plan.rest_s * 1e6

    def _usage(self) -> ResourceUsage:
        return measure_usage([self._balancer.pid])

    def _row(self, readings: _Readings) -> AddedTimeRow:
        direct, through = readings.reports["direct"], readings.reports["through"]
        before, after = readings.counts_before, readings.counts_after
        processor_us = (readings.usage_after.processor_s - readings.usage_before.processor_s) * 1e6
        idle_us = readings.idle_us_per_s * self._plan.measure_s
        return AddedTimeRow(
            entries=self._size,
            requests=through.sent,
            served=through.served_latencies.count,
            **latency.compare_latencies(direct.served_latencies, through.served_latencies),
            processor_us_per_request=processor_us / through.sent,
            idle_us_per_s=readings.idle_us_per_s,
            net_us_per_request=(processor_us - idle_us) / through.sent,
            resident_mib=readings.usage_after.resident_bytes / _MIB,
            attempts_per_request=(after.requests - before.requests - direct.sent) / through.sent,
            opened_connections_per_request=(
                after.connections - before.connections - direct.opened_connections
            )
            / through.sent,
            health_checks=after.health_checks - before.health_checks,
            p99_lateness_ms=through.lateness.quantile_ms(0.99),
            cores_busy=readings.cores_busy,
        )
