"""Helpers for clients that disconnect at a chosen time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from loadbalancer.network.upstream.pool import UpstreamPool
from tests.support.waiting import wait_until

if TYPE_CHECKING:
    from collections.abc import Callable

    import pytest

    from loadbalancer.network.upstream.connection import UpstreamConnection
    from tests.support.proxy_harness import ProxyHarness

# Limits that allow hedged requests; the connect timeout is longer than any delayed connect in the tests.
HEDGING_LIMITS = {
    "attemptsCap": 3,
    "connIdle": 60_000.0,
    "connectTimeout": 5_000.0,
    "mayDuplicate": True,
}


def request_bytes(path: str, number: int, body: bytes = b"") -> bytes:
    """Return an encoded request; the path is a slash and the name of the request class."""
    method = "POST" if body else "GET"
    head = (
        f"{method} {path} HTTP/1.1\r\nX-Class: {path[1:]}\r\nX-Request-Id: {number}\r\nX-Deadline: 4000m\r\n"
    )
    return head.encode() + b"Content-Length: %d\r\n\r\n" % len(body) + body


async def wait_until_idle(harness: ProxyHarness) -> None:
    """Wait until all requests are finished, with no attempt in flight."""
    await wait_until(
        lambda: not harness.proxy.open_requests,
        "no request is open",
        state=lambda: harness.proxy.open_requests,
    )


async def wait_until_disconnected(harness: ProxyHarness) -> None:
    """Wait until the proxy has no connection to a client."""
    listener = harness.proxy.listener
    await wait_until(
        lambda: not listener.connections, "no client is connected", state=lambda: listener.connections
    )


def skip_reuse_delay(harness: ProxyHarness) -> None:
    """Make idle connections to upstreams reusable immediately."""
    pools = harness.proxy.upstream_pools
    for name in pools.endpoint_names:
        for connection in pools.pool(name).idle_connections:
            connection.idle_since -= 1.0


class DelayedConnects:
    """Delays connections to upstreams until the test allows them.

    Args:
        monkeypatch: Replaces `UpstreamPool.connect` until the end of the test.
        undelayed_count: The number of connections that are established without delay before the first
            delayed one.

    Attributes:
        connect_pending: Set once a delayed connection waits for `allowed`.
        allowed: Set by the test to establish the delayed connections.
        on_established: Called when a delayed connection is established.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch, undelayed_count: int = 0) -> None:
        self.connect_pending = asyncio.Event()
        self.allowed = asyncio.Event()
        self.on_established: Callable[[], None] = lambda: None
        connect = UpstreamPool.connect
        connects = list[UpstreamPool]()

        async def delayed_connect(pool: UpstreamPool) -> UpstreamConnection:
            connection = await connect(pool)
            connects.append(pool)
            if len(connects) > undelayed_count:
                self.connect_pending.set()
                await self.allowed.wait()
                self.on_established()
            return connection

        monkeypatch.setattr(UpstreamPool, "connect", delayed_connect)
