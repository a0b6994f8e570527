"""Measures a balancer's peak memory and its service to honest clients beside hostile ones.

Each size is a number of hostile clients. For each size a new balancer first serves the honest clients alone
(the calm stretch), and then beside the hostile clients. The hostile clients, the upstreams and the balancer
run in processes of their own.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING, Annotated

from pydantic import Field

from testbed import experiment, settings
from testbed.balancer.real import SOURCE_TREE_COMMAND, RealBalancer
from testbed.http.client import request_ids
from testbed.load.honest_clients import TIMED_OUT, HonestClients, HonestReport
from testbed.load.hostile_clients import HostileClientProcess, HostileKind, HostileReport
from testbed.measurement.resource_usage import (
    CoreMonitor,
    LoopLagMonitor,
    measure_usage,
    peak_resident_bytes,
)
from testbed.results import MeasuredRow, Row, RunResult, fit_columns
from testbed.runs.single_balancer import measure_sizes, single_balancer_setup

if TYPE_CHECKING:
    from structlog.typing import FilteringBoundLogger

_MIB = 2**20
_MAX_STAND_IN_LAG_S = 0.1
_HOSTILE_SEED_OFFSET = 1
_CLASS_NAME = str(settings.REQUEST_CLASSES[0]["name"])
"""The class of the honest requests, which is safe to retry."""


class Plan(experiment.Plan):
    """The clients and the limits; each size is the number of hostile clients."""

    kinds: Annotated[tuple[HostileKind, ...], Field(min_length=1)]
    """The kinds of hostile clients, in equal shares."""
    memory_mb: int
    """The balancer's memory limit in MB."""
    descriptors: int
    """The balancer's limit on file descriptors."""
    upstreams: int
    service_ms: float
    """The service time of an upstream in milliseconds."""
    honest_clients: int
    deadline_ms: float
    """The deadline of the honest clients' requests."""
    interval_ms: float
    """The time between a response and the honest client's next request."""
    calm_s: float
    """The duration of the calm stretch in seconds."""
    hostile_s: float
    """The duration of the load with hostile clients in seconds."""
    starts_into_load: bool = False
    """Whether the hostile clients connect before the balancer listens; there is no calm stretch then."""


@dataclass(frozen=True, slots=True, kw_only=True)
class HostileClientsRow(Row):
    """The measurements of a balancer with one number of hostile clients.

    `calm` is for honest requests before the hostile clients start, and `honest` for those beside them.
    """

    hostile_clients: int
    hostile_connections: int
    """The number of connections that the hostile clients opened."""
    memory_limit_mib: int
    base_mib: float
    """Resident memory before the hostile clients start."""
    middle_mib: float
    """Resident memory in the middle of the load with hostile clients."""
    final_mib: float
    """Resident memory at the end of the load with hostile clients."""
    peak_mib: float
    calm_sent: int
    calm_served: float
    """The fraction of requests with a 200 response."""
    calm_99_ms: float
    honest_sent: int
    honest_served: float
    honest_50_ms: float
    honest_99_ms: float
    honest_timed_out: int
    honest_results: str
    """The number of honest requests by result."""
    hostile_lag_s: float
    """The longest lag of the event loop of the hostile clients; it delays only them."""
    honest_lag_s: float
    """The longest lag of the event loop of the honest clients."""


def measure(plan: Plan, log: FilteringBoundLogger) -> RunResult[HostileClientsRow]:
    """Measure a balancer for each number of hostile clients."""
    result = measure_sizes(plan.sizes, partial(_measure_size, plan), log)
    if len(plan.sizes) > 1:
        result.fits = [fit_columns(result.rows, "peak_mib", "hostile_clients")]
    return result


async def _measure_size(plan: Plan, size: int) -> MeasuredRow[HostileClientsRow]:
    """Start upstreams and a discovery service, and measure a balancer."""
    resource_limits = {"cores": 1.0, "memory_mb": plan.memory_mb, "sockets": plan.descriptors}
    async with single_balancer_setup(
        plan.upstreams, plan.service_ms, plan.seed, balancers=1, resource_limits=resource_limits
    ) as setup:
        return await _Measurement(plan, size, setup.configuration_text).run()


@dataclass(frozen=True, slots=True)
class _Memory:
    """Resident memory: before, in the middle and at the end of the hostile load, and at most."""

    base_bytes: int
    middle_bytes: int
    final_bytes: int
    peak_bytes: int


class _Measurement:
    """Measures one balancer, first with honest clients alone and then beside hostile ones."""

    def __init__(self, plan: Plan, size: int, configuration_text: str) -> None:
        self._plan, self._size = plan, size
        self._configuration_text = configuration_text
        self._ids = request_ids(plan.seed)
        self._hostile_clients: HostileClientProcess | None = None

    async def run(self) -> MeasuredRow[HostileClientsRow]:
        """Start the balancer, run both stretches and stop the balancer."""
        balancer = await RealBalancer.start(self._configuration_text, SOURCE_TREE_COMMAND)
        try:
            if self._plan.starts_into_load:
                self._start_hostile_clients(balancer)
            await balancer.wait_until_ready()
            return await self._measure(balancer)
        finally:
            if self._hostile_clients is not None:
                self._hostile_clients.stop()
            await balancer.stop()

    def _start_hostile_clients(self, balancer: RealBalancer) -> None:
        self._hostile_clients = HostileClientProcess(
            balancer.address, [*self._plan.kinds], self._size, self._plan.seed + _HOSTILE_SEED_OFFSET
        )

    async def _measure(self, balancer: RealBalancer) -> MeasuredRow[HostileClientsRow]:
        plan = self._plan
        honest_clients = HonestClients(
            balancer.address, self._ids, _CLASS_NAME, plan.deadline_ms, plan.interval_ms / 1000
        )
        calm = HonestReport()
        if not plan.starts_into_load:
            calm = await honest_clients.run(plan.honest_clients, plan.calm_s)
        base_bytes = measure_usage([balancer.pid]).resident_bytes
        if self._hostile_clients is None and self._size:
            self._start_hostile_clients(balancer)
        cores, lag = CoreMonitor(), LoopLagMonitor(asyncio.get_running_loop())
        honest_run = asyncio.ensure_future(honest_clients.run(plan.honest_clients, plan.hostile_s))
        await asyncio.sleep(plan.hostile_s / 2)
        middle_bytes = measure_usage([balancer.pid]).resident_bytes
        honest = await honest_run
        lag.stop()
        memory = _Memory(
            base_bytes,
            middle_bytes,
            measure_usage([balancer.pid]).resident_bytes,
            peak_resident_bytes(balancer.pid),
        )
        honest_lag_s = lag.take_lag().max_s
        reasons = cores.invalidity_reasons(f"{self._size} hostile clients")
        if honest_lag_s > _MAX_STAND_IN_LAG_S:
            reasons.append(f"{self._size} hostile clients: honest clients were {honest_lag_s:.3f} s late")
        return MeasuredRow(self._row(memory, calm, honest, honest_lag_s), reasons)

    def _row(
        self, memory: _Memory, calm: HonestReport, honest: HonestReport, honest_lag_s: float
    ) -> HostileClientsRow:
        hostile = HostileReport(0, 0.0)
        if self._hostile_clients is not None:
            hostile, self._hostile_clients = self._hostile_clients.stop(), None
        return HostileClientsRow(
            hostile_clients=self._size,
            hostile_connections=hostile.connections,
            memory_limit_mib=self._plan.memory_mb,
            base_mib=memory.base_bytes / _MIB,
            middle_mib=memory.middle_bytes / _MIB,
            final_mib=memory.final_bytes / _MIB,
            peak_mib=memory.peak_bytes / _MIB,
            calm_sent=calm.sent,
            calm_served=calm.served_fraction,
            calm_99_ms=calm.latency_ms(0.99),
            honest_sent=honest.sent,
            honest_served=honest.served_fraction,
            honest_50_ms=honest.latency_ms(0.5),
            honest_99_ms=honest.latency_ms(0.99),
            honest_timed_out=honest.results[TIMED_OUT],
            honest_results=", ".join(f"{result}: {n}" for result, n in sorted(honest.results.items())),
            hostile_lag_s=hostile.max_lag_s,
            honest_lag_s=honest_lag_s,
        )
