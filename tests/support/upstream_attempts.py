"""Runs attempts and connection pools without a proxy."""

from __future__ import annotations

import asyncio
import socket
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

from loadbalancer.configuration import EndpointList, read_configuration, read_endpoint_list
from loadbalancer.network.memory_budget import MemoryBudget
from loadbalancer.network.upstream.attempt_factory import UpstreamAttemptFactory
from loadbalancer.network.upstream.pool import UpstreamPools
from tests.support.configurations import config_text, entry

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from loadbalancer.events import Outcome
    from loadbalancer.network.response_parser import Response
    from loadbalancer.network.upstream.attempt import UpstreamAttempt

BUDGET_BYTES = 10_000_000
REQUEST = b"GET /read HTTP/1.1\r\nX-Request-Id: 1\r\n\r\n"


def endpoint_list(*entries: dict[str, Any], is_complete: bool = False) -> EndpointList:
    """Return an endpoint list as read from discovery: the complete list, or only changed entries."""
    return read_endpoint_list({"index": 1, "snapshot": is_complete, "endpoints": list(entries)})


def make_pools(address: str, **limits: Any) -> UpstreamPools:
    """Return pools with one endpoint `s0` at the address; `limits` overrides the default limits."""
    default_limits = {"attemptsCap": 3, "connIdle": 60_000.0, "connectTimeout": 200.0}
    text = config_text("127.0.0.1:9", [], limits=default_limits | limits)
    configuration = read_configuration(text, lambda warning: None)
    pools = UpstreamPools(configuration, asyncio.get_running_loop(), MemoryBudget(BUDGET_BYTES))
    pools.update_endpoints(endpoint_list(entry("s0", address)))
    return pools


class ObservedAttempt:
    """An attempt at `s0`, and every outcome reported for it."""

    def __init__(self, pools: UpstreamPools, request: bytes = REQUEST, timeout_s: float = 5.0) -> None:
        self.outcomes: list[Outcome] = []
        self.finished = asyncio.Event()
        attempt_factory = UpstreamAttemptFactory(asyncio.get_running_loop(), pools)
        attempt = attempt_factory.start_attempt("s0", timeout_s, lambda: request, self._record)
        assert attempt is not None
        self.attempt: UpstreamAttempt = attempt

    def _record(self, outcome: Outcome, response: Response | None) -> None:
        self.outcomes.append(outcome)
        self.finished.set()

    async def wait_for_outcome(self) -> Outcome:
        """Wait for the outcome, which must be the only one reported."""
        await self.finished.wait()
        (outcome,) = self.outcomes
        return outcome


@asynccontextmanager
async def full_backlog() -> AsyncIterator[str]:
    """Yield the address of a listener whose backlog is full, so that no further connect completes."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        with socket.socket() as first, socket.socket() as second:
            for filler in (first, second):
                filler.settimeout(0.0)
                filler.connect_ex(listener.getsockname())
            yield f"127.0.0.1:{listener.getsockname()[1]}"
