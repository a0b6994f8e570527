"""What runs with one real balancer in front of stub upstreams share: a row for each size, and the setup."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, TypeVar

import uvloop

from testbed import settings
from testbed.balancer.real import find_free_address
from testbed.discovery.service import Discovery
from testbed.results import MeasuredRow, Row, RunResult
from testbed.upstream.group import UpstreamProcess

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Coroutine, Iterable

    from structlog.typing import FilteringBoundLogger

_FIRST_AGENT_HOST = "127.79.0.1"
_BALANCER_HOST = "127.78.0.1"

RowT = TypeVar("RowT", bound=Row)


def measure_sizes(
    sizes: Iterable[int],
    measure_size: Callable[[int], Coroutine[Any, Any, MeasuredRow[RowT]]],
    log: FilteringBoundLogger,
) -> RunResult[RowT]:
    """Measure one row for each size, each on a new event loop, and log it."""
    result: RunResult[RowT] = RunResult()
    for size in sizes:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            measured_row = runner.run(measure_size(size))
        result.add(measured_row)
        log.info("measured", **measured_row.row.columns(), doubts=measured_row.invalidity_reasons)
    return result


@dataclass(frozen=True, slots=True)
class SingleBalancerSetup:
    """The upstreams and the configuration of one balancer, which is not started yet."""

    upstreams: UpstreamProcess
    configuration_text: str


@asynccontextmanager
async def single_balancer_setup(
    upstream_count: int,
    service_ms: float,
    seed: int,
    *,
    balancers: int,
    resource_limits: dict[str, Any] = settings.RESOURCE_LIMITS,
) -> AsyncIterator[SingleBalancerSetup]:
    """Start upstreams and a discovery service, and stop them afterwards.

    Args:
        upstream_count: The number of upstreams, all of which are on the endpoint list.
        service_ms: The service time of an upstream in milliseconds.
        seed: The seed of all random numbers.
        balancers: The value of the `balancers` setting.
        resource_limits: The resource limits of the balancer.
    """
    upstreams = UpstreamProcess(upstream_count, service_ms, seed)
    discovery = Discovery()
    try:
        await discovery.set_first_host(_FIRST_AGENT_HOST)
        entries = settings.endpoint_entries(upstream_count, seed=seed, addresses=upstreams.addresses)
        discovery.replace_entries(entries)
        text = settings.configuration_text(
            "n1",
            find_free_address(_BALANCER_HOST),
            discovery.agent_address(0),
            entries,
            settings.balancer_settings(balancers=balancers),
            seed=seed,
            list_version=discovery.version,
            resource_limits=resource_limits,
        )
        yield SingleBalancerSetup(upstreams, text)
    finally:
        await discovery.stop()
        upstreams.stop()
