"""Connection pools: the idle connections to each upstream, and the limit on all open ones."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from loadbalancer.configuration import Address, Configuration, EndpointList, ListedEndpoint
from loadbalancer.endpoints import EndpointState
from loadbalancer.network.errors import ConnectionLimitError
from loadbalancer.network.sockets import RESERVED_DESCRIPTORS
from loadbalancer.network.upstream.attempt import OnAttemptEnd, UpstreamAttempt
from loadbalancer.network.upstream.connection import UpstreamConnection

IDLE_TIMEOUT_FRACTION = 0.8
"""Part of the upstream's idle timeout that is used: a request that crosses its closing ends as a reset."""

UPSTREAM_DESCRIPTORS_FRACTION = 0.5
"""Part of the descriptors for connections to upstreams; the rest is kept for those of clients."""

MIN_CONNECTION_LIMIT = 4
"""Connections to upstreams that may always be open, however few descriptors there are."""

REUSE_DELAY_S = 0.02
"""Pause of a connection between requests: stray bytes may lag behind a response by some milliseconds."""

DRAIN_GRACE_FRACTION = 0.5
"""Part of the drain grace in which a request may still be sent on a connection that is opened late.

The list may have waited in a buffer before it was read, and the grace has run meanwhile.
"""


class ConnectionBudget(Protocol):
    """The limit on the open connections of all pools."""

    def has_capacity(self) -> bool:
        """Whether one more connection may be opened."""

    def connection_opened(self) -> None:
        """Count a connection that is being opened."""

    def connection_closed(self) -> None:
        """Count a connection that has closed."""


@dataclass(frozen=True, slots=True)
class PoolTimes:
    """The time limits that all pools share."""

    idle_s: float
    """How long a connection may stay idle."""
    late_send_s: float
    """How long after the start of draining a request may still be sent on a new connection."""


class UpstreamPool:
    """The connections to one upstream at one address since one start.

    Args:
        address: Where the upstream listens.
        started_at_ms: When the upstream's process started, as the endpoint list says.
        budget: Counts and limits the connections of all pools.
    """

    def __init__(
        self,
        address: Address,
        started_at_ms: float,
        loop: asyncio.AbstractEventLoop,
        budget: ConnectionBudget,
        times: PoolTimes,
    ) -> None:
        self.address = address
        self.started_at_ms = started_at_ms
        self.draining_since: float | None = None
        """When the upstream was first seen to drain, in seconds of `time.monotonic`."""
        self._loop = loop
        self._budget = budget
        self._times = times
        self._idle_connections: list[UpstreamConnection] = []  # the most recently used last
        self._is_retired = False

    @property
    def idle_connections(self) -> tuple[UpstreamConnection, ...]:
        """The idle connections, the most recently used last."""
        return tuple(self._idle_connections)

    @property
    def longest_idle_connection(self) -> UpstreamConnection | None:
        """The connection that has been idle for the longest time."""
        return self._idle_connections[0] if self._idle_connections else None

    def take_idle_connection(self) -> UpstreamConnection | None:
        """Hand out the most recently used idle connection that is alive; dead ones are closed.

        Guards against bytes right behind a response that would be taken for the response to the next
        request: a connection carries no further request before the time in which they could show.
        """
        now = time.monotonic()
        for connection in reversed(self._idle_connections[:]):
            idle_s = now - connection.idle_since
            if idle_s < REUSE_DELAY_S:
                continue
            if idle_s < self._times.idle_s and connection.is_alive():
                self._idle_connections.remove(connection)
                return connection
            connection.close()
        return None

    async def connect(self) -> UpstreamConnection:
        """Open a connection.

        Raises:
            ConnectionLimitError: No further connection may be open.
            OSError: The upstream cannot be reached, or a resource is missing here.
        """
        # Guards against attempts that begin in one turn of the loop and all find capacity: asked here, each
        # is counted before the next asks. The descriptors above the limit belong to discovery.
        if not self._budget.has_capacity():
            raise ConnectionLimitError
        self._budget.connection_opened()
        connection = UpstreamConnection(self.keep, self._forget)
        try:
            await self._loop.create_connection(lambda: connection, *self.address)
        except BaseException:
            connection.close()
            raise
        return connection

    def keep(self, connection: UpstreamConnection) -> None:
        """Add a connection to the idle ones, unless the upstream has changed meanwhile."""
        if self._is_retired or self.draining_since is not None:
            connection.close()
            return
        connection.mark_idle()
        self._idle_connections.append(connection)

    def may_send(self) -> bool:
        """Whether the upstream does not drain, or its grace leaves time for a late request."""
        if self.draining_since is None:
            return True
        return time.monotonic() < self.draining_since + self._times.late_send_s

    def stop_draining(self) -> None:
        """The upstream is ready: connections are kept again."""
        self.draining_since = None

    def start_draining(self) -> None:
        """The upstream drains: connections are not kept any more."""
        if self.draining_since is None:
            self.draining_since = time.monotonic()
            self.close_idle_connections()

    def retire(self) -> None:
        """The upstream was removed, moved or restarted: its connections are not used again."""
        self._is_retired = True
        if self.draining_since is None:
            self.draining_since = time.monotonic()
        self.close_idle_connections()

    def close_idle_connections(self) -> None:
        """Close all connections that carry no request."""
        for connection in self._idle_connections[:]:
            connection.close()

    def close_idle_since_before(self, limit: float) -> None:
        """Close the connections that became idle before a time of `time.monotonic`."""
        while self._idle_connections and self._idle_connections[0].idle_since < limit:
            self._idle_connections[0].close()

    def _forget(self, connection: UpstreamConnection) -> None:
        self._budget.connection_closed()
        if connection in self._idle_connections:
            self._idle_connections.remove(connection)


class UpstreamPools:
    """The pools of all upstreams on the endpoint list; limits their connections together."""

    def __init__(self, configuration: Configuration, loop: asyncio.AbstractEventLoop) -> None:
        self.idle_s = IDLE_TIMEOUT_FRACTION * configuration.idle_timeout_ms / 1000
        """How long a connection may stay idle."""
        self.open_connections = 0
        """How many connections are open or being opened."""
        usable_descriptors = int(configuration.descriptor_limit * UPSTREAM_DESCRIPTORS_FRACTION)
        self.connection_limit = max(usable_descriptors - RESERVED_DESCRIPTORS, MIN_CONNECTION_LIMIT)
        """How many connections may be open at a time."""
        self._loop = loop
        self._connect_timeout_s = configuration.connect_timeout_ms / 1000
        late_send_s = DRAIN_GRACE_FRACTION * configuration.drain_grace_ms / 1000
        self._times = PoolTimes(self.idle_s, late_send_s)
        self._pools: dict[str, UpstreamPool] = {}

    @property
    def endpoint_names(self) -> set[str]:
        """The names of the endpoints that have a pool."""
        return set(self._pools)

    def pool(self, endpoint: str) -> UpstreamPool:
        """The pool of one endpoint; KeyError if the list does not name it."""
        return self._pools[endpoint]

    def update_endpoints(self, endpoints: EndpointList) -> None:
        """Follow the list: an upstream that was removed, moved or restarted loses its connections."""
        if endpoints.is_complete:
            listed_names = {listed.endpoint.name for listed in endpoints.endpoints}
            for name in self._pools.keys() - listed_names:
                self._retire(name)
        for listed in endpoints.endpoints:
            self._update_endpoint(listed)

    def _update_endpoint(self, listed: ListedEndpoint) -> None:
        endpoint = listed.endpoint
        if endpoint.state is EndpointState.REMOVED:
            self._retire(endpoint.name)
            return
        pool = self._pools.get(endpoint.name)
        if pool and (pool.address, pool.started_at_ms) != (listed.address, endpoint.started_at_ms):
            self._retire(endpoint.name)
            pool = None
        if pool is None:
            pool = UpstreamPool(listed.address, endpoint.started_at_ms, self._loop, self, self._times)
            self._pools[endpoint.name] = pool
        if endpoint.state is EndpointState.READY:
            pool.stop_draining()
        else:
            pool.start_draining()

    def _retire(self, name: str) -> None:
        pool = self._pools.pop(name, None)
        if pool is not None:
            pool.retire()

    def start_attempt(
        self,
        endpoint: str,
        timeout_s: float,
        compose: Callable[[], bytes],
        on_end: OnAttemptEnd,
        wanted: Callable[[], bool] = lambda: True,
    ) -> UpstreamAttempt | None:
        """Start an attempt at an endpoint.

        Args:
            endpoint: The endpoint's name.
            timeout_s: How long the attempt may take in all.
            compose: Returns the bytes of the request; called as they are written.
            on_end: Called exactly once with the outcome, after this has returned.
            wanted: Whether the client still waits for a response.

        Returns:
            The attempt, or None for an endpoint that the list does not name any more.
        """
        pool = self._pools.get(endpoint)
        if pool is None:
            return None
        attempt = UpstreamAttempt(self._loop, pool, self._connect_timeout_s, compose, on_end, wanted)
        attempt.start(timeout_s)
        return attempt

    def close_idle_connections(self, endpoint: str) -> None:
        """Close the idle connections to one endpoint."""
        if pool := self._pools.get(endpoint):
            pool.close_idle_connections()

    def close_expired(self) -> None:
        """Close the connections that have been idle for too long, before the upstreams do."""
        limit = time.monotonic() - self.idle_s
        for pool in self._pools.values():
            pool.close_idle_since_before(limit)

    def has_capacity(self) -> bool:
        """Whether one more connection may be opened; at the limit the longest idle one is closed for it."""
        if self.open_connections < self.connection_limit:
            return True
        candidates = (pool.longest_idle_connection for pool in self._pools.values())
        idle_connections = (connection for connection in candidates if connection is not None)
        longest_idle = min(idle_connections, key=lambda connection: connection.idle_since, default=None)
        if longest_idle is None:
            return False
        longest_idle.close()
        return True

    def connection_opened(self) -> None:
        """Count a connection that is being opened."""
        self.open_connections += 1

    def connection_closed(self) -> None:
        """Count a connection that has closed."""
        self.open_connections -= 1
