"""Closes slow and idle client connections: periodically, and sooner while new connections wait."""

from __future__ import annotations

import math
import time
from enum import IntEnum
from typing import TYPE_CHECKING

from loadbalancer.network.client import timeouts
from loadbalancer.network.memory_budget import HIGH_FRACTION

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Collection

    from loadbalancer.network.client.connection import ClientConnection
    from loadbalancer.network.memory_budget import MemoryBudget

EVICTION_DIVISOR = 4
"""An eviction closes connections that have exceeded a timeout until it has closed 1/4 of all connections.

It first closes all connections whose request did not arrive in time, even if they are more than 1/4, and then
the longest idle ones.
"""

RELEASE_TARGET_FRACTION = HIGH_FRACTION - 0.05
"""Used fraction of the memory budget down to which incomplete requests are given up."""

KEPT_REQUEST_BYTES = 512
"""Incomplete requests up to this size are not given up: that would free hardly anything."""

MIN_RELEASE_INTERVAL_S = 0.01
"""Minimum time between two searches for incomplete requests, each of which looks at all connections."""


class ConnectionEviction:
    """Closes the connections of a listener that have exceeded a timeout."""

    def __init__(self, loop: asyncio.AbstractEventLoop, connections: Collection[ClientConnection]) -> None:
        self._loop = loop
        self._connections = connections
        self._last_eviction_at = -math.inf
        self._next_release_at = -math.inf

    def sweep(self) -> None:
        """Close connections that have exceeded a timeout; repeat this every `SWEEP_INTERVAL_S` seconds.

        The timeout of the first request starts when the client connects, so it includes the time in the
        accept queue.
        """
        self._loop.call_later(timeouts.SWEEP_INTERVAL_S, self.sweep)
        now, limits = time.monotonic(), timeouts.default_timeouts()
        for connection in list(self._connections):
            connection.close_if_timed_out(now, limits)

    def evict(self) -> None:
        """Close connections to free capacity for new ones, with shorter timeouts than `sweep`.

        All connections whose client has stopped reading responses are closed, and all whose request did not
        arrive in time, then the longest idle ones, so that a flood of connections without requests cannot
        block new clients. A connection with an open request is closed only if its client has stopped reading
        responses, or has disconnected while reading from the connection was paused. A call within
        `MIN_EVICTION_INTERVAL_S` of the last eviction has no effect.
        """
        now = time.monotonic()
        if now - self._last_eviction_at < timeouts.MIN_EVICTION_INTERVAL_S:
            return
        self._last_eviction_at = now
        limits = timeouts.timeouts_under_pressure()
        remaining_evictions = max(len(self._connections) // EVICTION_DIVISOR, 1)
        ranks = {connection: _eviction_rank(connection, now) for connection in self._connections}
        # Within a rank, the longest idle ones come first.
        for connection in sorted(ranks, key=lambda connection: (ranks[connection], connection.idle_since)):
            if ranks[connection] is EvictionRank.OTHER and remaining_evictions <= 0:
                break
            remaining_evictions -= connection.close_if_timed_out(now, limits)

    def release_input(self, budget: MemoryBudget) -> None:
        """Give up incomplete requests, the largest first, until less of the budget is used.

        Only connections are chosen on which no request is open. A call within `MIN_RELEASE_INTERVAL_S` of one
        that freed too little has no effect.
        """
        now = time.monotonic()
        if now < self._next_release_at:
            return
        held = [(connection.partial_request_bytes, connection) for connection in self._connections]
        held.sort(key=lambda pair: pair[0], reverse=True)
        for partial_bytes, connection in held:
            if budget.used_fraction < RELEASE_TARGET_FRACTION or partial_bytes <= KEPT_REQUEST_BYTES:
                break
            connection.give_up_partial_request()
        if budget.used_fraction >= RELEASE_TARGET_FRACTION:
            self._next_release_at = now + MIN_RELEASE_INTERVAL_S


class EvictionRank(IntEnum):
    """The order in which connections are evicted."""

    STALLED = 0
    """The client reads nothing of a response."""

    AWAITING_REQUEST = 1
    """No request is open, and one is arriving or none has arrived yet."""

    OTHER = 2
    """Any other connection."""


def _eviction_rank(connection: ClientConnection, now: float) -> EvictionRank:
    if connection.is_stalled(now, timeouts.WRITE_STALL_TIMEOUT_UNDER_PRESSURE_S):
        return EvictionRank.STALLED
    return EvictionRank.AWAITING_REQUEST if connection.is_awaiting_request() else EvictionRank.OTHER
