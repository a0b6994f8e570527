"""Closes client connections that are slow or idle: at intervals, and sooner in favour of new connections."""

from __future__ import annotations

import math
import time
from typing import TYPE_CHECKING

from loadbalancer.network.client import timeouts

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Collection

    from loadbalancer.network.client.connection import ClientConnection

EVICTION_DIVISOR = 4
"""One eviction closes idle connections until it has closed 1/4 of all connections.

Connections whose request did not arrive in time are all closed. They count towards the 1/4, but are not
limited by it.
"""


class ConnectionEviction:
    """Applies the time limits to all connections of a listener."""

    def __init__(self, loop: asyncio.AbstractEventLoop, connections: Collection[ClientConnection]) -> None:
        self._loop = loop
        self._connections = connections
        self._last_eviction_at = -math.inf

    def sweep(self) -> None:
        """Close connections that are slow or idle for too long, now and from now on at intervals.

        The time is counted from connecting, so that it includes the time in the kernel's queue.
        """
        self._loop.call_later(timeouts.SWEEP_INTERVAL_S, self.sweep)
        now = time.monotonic()
        for connection in list(self._connections):
            connection.close_if_timed_out(now, timeouts.REQUEST_TIMEOUT_S, timeouts.KEEP_ALIVE_TIMEOUT_S)

    def evict(self) -> None:
        """Close connections in favour of new ones, with shorter time limits than `sweep`.

        All connections whose request did not arrive in time are closed, then the longest idle ones. A
        connection whose request is open is never closed. A call within `MIN_EVICTION_INTERVAL_S` of the last
        eviction has no effect. Guards against floods of connections that bring no request.
        """
        now = time.monotonic()
        if now - self._last_eviction_at < timeouts.MIN_EVICTION_INTERVAL_S:
            return
        self._last_eviction_at = now
        remaining_evictions = max(len(self._connections) // EVICTION_DIVISOR, 1)
        for connection in sorted(self._connections, key=_eviction_order):
            if not connection.is_awaiting_request() and remaining_evictions <= 0:
                break
            remaining_evictions -= connection.close_if_timed_out(
                now,
                timeouts.REQUEST_TIMEOUT_UNDER_PRESSURE_S,
                timeouts.IDLE_TIMEOUT_UNDER_PRESSURE_S,
            )


def _eviction_order(connection: ClientConnection) -> tuple[bool, float]:
    """Return the sort key: connections whose request has not arrived first, then the longest idle ones."""
    return not connection.is_awaiting_request(), connection.idle_since
