"""Connection pools: open connections to the upstreams, and reuse the idle ones."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, NamedTuple

from loadbalancer.endpoints import EndpointState
from loadbalancer.network.memory_budget import ENDPOINT_BYTES, HeldKind
from loadbalancer.network.upstream.connection import UpstreamConnection
from loadbalancer.network.upstream.connection_limit import ConnectionLimit
from loadbalancer.network.upstream.response_gate import ResponseGate

if TYPE_CHECKING:
    import asyncio

    from loadbalancer.configuration import Address, Configuration, EndpointList, EndpointListEntry
    from loadbalancer.network.memory_budget import MemoryBudget

IDLE_TIMEOUT_FRACTION = 0.8
"""Fraction of the upstream's idle timeout after which the balancer closes an idle connection.

If a request were sent while the upstream closes the connection, it would end with a reset.
"""

REUSE_DELAY_S = 0.02
"""Minimum time between a response and the next request on the same connection.

Stray bytes may arrive some milliseconds after a response.
"""

DRAIN_GRACE_FRACTION = 0.5
"""Fraction of the drain grace during which a request may still be sent on a new connection.

The grace period of the upstream began before this process received the endpoint list, which may have been
delayed in a buffer.
"""


class PoolTimeouts(NamedTuple):
    """The time limits that all pools share.

    Attributes:
        connect_s: Time limit for opening a connection.
        idle_s: Maximum time for which a connection may be idle.
        send_while_draining_s: Period after the start of draining in which a request may still be sent on a
            new connection.
    """

    connect_s: float
    idle_s: float
    send_while_draining_s: float

    @classmethod
    def from_configuration(cls, configuration: Configuration) -> PoolTimeouts:
        """Derive the limits from the timeouts of the upstreams."""
        return cls(
            connect_s=configuration.connect_timeout_ms / 1000,
            idle_s=IDLE_TIMEOUT_FRACTION * configuration.idle_timeout_ms / 1000,
            send_while_draining_s=DRAIN_GRACE_FRACTION * configuration.drain_grace_ms / 1000,
        )


class UpstreamPool:
    """The connections to one upstream process.

    Args:
        address: The address at which the upstream listens.
        started_at_ms: When the upstream's process started, according to the endpoint list.
        loop: The event loop.
        limit: Counts and limits the connections of all pools.
        gate: Pauses connections while the memory budget is exceeded.
        timeouts: The time limits.

    Attributes:
        connect_timeout_s: Time limit for opening a connection.
        draining_since: When this process learned that the upstream is draining, or that it was removed, moved
            or restarted, in seconds of `time.monotonic`; None otherwise.
    """

    def __init__(
        self,
        address: Address,
        started_at_ms: float,
        loop: asyncio.AbstractEventLoop,
        limit: ConnectionLimit,
        gate: ResponseGate,
        timeouts: PoolTimeouts,
    ) -> None:
        self.address = address
        self.started_at_ms = started_at_ms
        self.connect_timeout_s = timeouts.connect_s
        self.draining_since: float | None = None
        self._loop = loop
        self._limit = limit
        self._gate = gate
        self._timeouts = timeouts
        self._idle_connections: list[UpstreamConnection] = []  # in the order of their last use
        self._is_retired = False

    @property
    def idle_connections(self) -> tuple[UpstreamConnection, ...]:
        """The idle connections in the order of their last use."""
        return tuple(self._idle_connections)

    @property
    def oldest_idle_connection(self) -> UpstreamConnection | None:
        """The connection that has been idle for the longest time."""
        return self._idle_connections[0] if self._idle_connections else None

    def take_idle_connection(self) -> UpstreamConnection | None:
        """Remove and return the most recently used idle connection that may be reused.

        Connections that have ended or have exceeded the idle time limit are closed. A connection is not
        reused until `REUSE_DELAY_S` has passed since its last response: stray bytes that follow the response
        arrive in this time, and must not be parsed as the response to the next request.
        """
        now = time.monotonic()
        for connection in reversed(self._idle_connections[:]):
            idle_s = now - connection.idle_since
            if idle_s < REUSE_DELAY_S:
                continue
            if idle_s < self._timeouts.idle_s and connection.is_alive():
                self._idle_connections.remove(connection)
                return connection
            connection.close()
        return None

    async def connect(self) -> UpstreamConnection:
        """Open a connection.

        Raises:
            ConnectionLimitError: The limit on open connections is reached, and none of them is idle.
            OSError: The upstream cannot be reached, or this process lacks a resource.
        """
        # The connection is counted before it is established. If it were counted later, attempts that start in
        # one iteration of the event loop could together exceed the limit, and use descriptors that are
        # reserved, for example for the connection to discovery.
        self._limit.acquire()
        connection = UpstreamConnection(self._gate, self.add_idle_connection, self._on_connection_closed)
        try:
            await self._loop.create_connection(lambda: connection, *self.address)
        except BaseException:
            connection.close()
            raise
        return connection

    def add_idle_connection(self, connection: UpstreamConnection) -> None:
        """Add a connection to the idle ones; close it if the upstream is draining or the pool is retired."""
        if self._is_retired or self.draining_since is not None:
            connection.close()
            return
        connection.mark_idle()
        self._idle_connections.append(connection)

    def may_send(self) -> bool:
        """Return whether the upstream is ready, or its drain grace leaves enough time for a request."""
        if self.draining_since is None:
            return True
        return time.monotonic() < self.draining_since + self._timeouts.send_while_draining_s

    def stop_draining(self) -> None:
        """Allow connections to be reused again: the upstream is ready."""
        self.draining_since = None

    def start_draining(self) -> None:
        """Close the idle connections, and prevent the reuse of the others: the upstream is draining."""
        if self.draining_since is None:
            self.draining_since = time.monotonic()
            self.close_idle_connections()

    def retire(self) -> None:
        """Close the idle connections, and forbid reuse: the upstream was removed, moved or restarted."""
        self._is_retired = True
        if self.draining_since is None:
            self.draining_since = time.monotonic()
        self.close_idle_connections()

    def close_idle_connections(self) -> None:
        """Close all connections that carry no request."""
        for connection in self._idle_connections[:]:
            connection.close()

    def close_idle_before(self, cutoff: float) -> None:
        """Close the connections that became idle before `cutoff`, in seconds of `time.monotonic`."""
        while self._idle_connections and self._idle_connections[0].idle_since < cutoff:
            self._idle_connections[0].close()

    def _on_connection_closed(self, connection: UpstreamConnection) -> None:
        self._limit.release()
        if connection in self._idle_connections:
            self._idle_connections.remove(connection)


class UpstreamPools:
    """The pools of all upstreams on the endpoint list.

    Attributes:
        connection_limit: Counts and limits the connections of all pools.
    """

    def __init__(
        self, configuration: Configuration, loop: asyncio.AbstractEventLoop, budget: MemoryBudget
    ) -> None:
        """Create the pools of no endpoints.

        Args:
            configuration: The configuration of the balancer.
            loop: The event loop.
            budget: Counts the memory that is held for peers.
        """
        self.connection_limit = ConnectionLimit(
            configuration.descriptor_limit, budget, self._close_oldest_idle_connection
        )
        self._budget = budget
        self._gate = ResponseGate(budget)
        self._loop = loop
        self._timeouts = PoolTimeouts.from_configuration(configuration)
        self._pools: dict[str, UpstreamPool] = {}

    @property
    def endpoint_names(self) -> set[str]:
        """The names of the endpoints that have a pool."""
        return set(self._pools)

    @property
    def open_connection_count(self) -> int:
        """The number of connections that are open or being opened."""
        return self.connection_limit.open_connection_count

    def pool(self, endpoint: str) -> UpstreamPool:
        """Return the pool of an endpoint, which must be on the endpoint list."""
        return self._pools[endpoint]

    def get(self, endpoint: str) -> UpstreamPool | None:
        """Return the pool of an endpoint; None if the endpoint is not on the endpoint list."""
        return self._pools.get(endpoint)

    def update_endpoints(self, endpoint_list: EndpointList) -> None:
        """Create the pools of new upstreams, and drain or retire pools, as an endpoint list requires.

        A pool is retired if its upstream was removed, moved or restarted.
        """
        if endpoint_list.is_complete:
            names = {entry.endpoint.name for entry in endpoint_list.endpoints}
            for name in self._pools.keys() - names:
                self._retire(name)
        for entry in endpoint_list.endpoints:
            self._update_endpoint(entry)
        self._budget.set_held(HeldKind.ENDPOINTS, len(self._pools) * ENDPOINT_BYTES)

    def _update_endpoint(self, entry: EndpointListEntry) -> None:
        endpoint = entry.endpoint
        if endpoint.state is EndpointState.REMOVED:
            self._retire(endpoint.name)
            return
        pool = self._pools.get(endpoint.name)
        if pool and (pool.address, pool.started_at_ms) != (entry.address, endpoint.started_at_ms):
            self._retire(endpoint.name)
            pool = None
        if pool is None:
            pool = UpstreamPool(
                entry.address,
                endpoint.started_at_ms,
                self._loop,
                self.connection_limit,
                self._gate,
                self._timeouts,
            )
            self._pools[endpoint.name] = pool
        if endpoint.state is EndpointState.READY:
            pool.stop_draining()
        else:
            pool.start_draining()

    def _retire(self, name: str) -> None:
        pool = self._pools.pop(name, None)
        if pool is not None:
            pool.retire()

    def close_idle_connections(self, endpoint: str) -> None:
        """Close the idle connections to one endpoint."""
        if pool := self._pools.get(endpoint):
            pool.close_idle_connections()

    def close_expired(self) -> None:
        """Close the connections that have exceeded the idle time limit, before the upstreams close them."""
        cutoff = time.monotonic() - self._timeouts.idle_s
        for pool in self._pools.values():
            pool.close_idle_before(cutoff)

    def _close_oldest_idle_connection(self) -> bool:
        """Close the connection that has been idle for the longest time; return false if there is none."""
        candidates = (pool.oldest_idle_connection for pool in self._pools.values())
        idle_connections = (connection for connection in candidates if connection is not None)
        oldest = min(idle_connections, key=lambda connection: connection.idle_since, default=None)
        if oldest is None:
            return False
        oldest.close()
        return True
