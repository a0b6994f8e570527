"""Clients that disconnect at a chosen moment, and waiting until nothing of their requests is left."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

import pytest

from loadbalancer.network.upstream.connection import UpstreamConnection
from loadbalancer.network.upstream.pool import UpstreamPool
from tests.support.loopback import Rig
from tests.support.waiting import wait_until

HEDGING_LIMITS = {
    "attemptsCap": 3,
    "connIdle": 60_000.0,
    "connectTimeout": 5_000.0,
    "mayDuplicate": True,
}
"""Limits that allow hedged requests, and connects that take as long as a test likes."""


def request_bytes(path: str, number: int, body: bytes = b"") -> bytes:
    """A request of the class that its path names."""
    method = "POST" if body else "GET"
    head = (
        f"{method} {path} HTTP/1.1\r\nX-Class: {path[1:]}\r\nX-Request-Id: {number}\r\nX-Deadline: 4000m\r\n"
    )
    return head.encode() + b"Content-Length: %d\r\n\r\n" % len(body) + body


def connect_client(rig: Rig) -> socket.socket:
    """A client outside the event loop: all that it does takes effect at once."""
    return socket.create_connection(rig.proxy.listener.address[:2])


async def until_idle(rig: Rig) -> None:
    """Wait until no request is open and no attempt in progress."""
    await wait_until(
        lambda: not rig.proxy.open_requests, "no request is open", state=lambda: rig.proxy.open_requests
    )


async def until_disconnected(rig: Rig) -> None:
    """Wait until the proxy has no connection to a client."""
    listener = rig.proxy.listener
    await wait_until(
        lambda: not listener.connections, "no client is connected", state=lambda: listener.connections
    )


def pass_reuse_delay(rig: Rig) -> None:
    """Let idle connections to upstreams carry a further request at once."""
    pools = rig.proxy.upstreams
    for name in pools.endpoint_names:
        for connection in pools.pool(name).idle_connections:
            connection.idle_since -= 1.0


class DelayedConnects:
    """Connections to upstreams that are established only when the test allows it.

    Args:
        monkeypatch: Undoes the change at the end of the test.
        first: How many connections are established without delay before that.

    Attributes:
        is_waiting: Set once a connection waits to be allowed.
        allowed: To be set by the test.
        on_established: Called as a delayed connection is established.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch, first: int = 0) -> None:
        self.is_waiting = asyncio.Event()
        self.allowed = asyncio.Event()
        self.on_established: Callable[[], None] = lambda: None
        connect = UpstreamPool.connect
        connects = list[UpstreamPool]()

        async def delayed_connect(pool: UpstreamPool) -> UpstreamConnection:
            connection = await connect(pool)
            connects.append(pool)
            if len(connects) > first:
                self.is_waiting.set()
                await self.allowed.wait()
                self.on_established()
            return connection

        monkeypatch.setattr(UpstreamPool, "connect", delayed_connect)
