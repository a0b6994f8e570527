"""The graceful shutdown after SIGTERM: respond to all that was sent, and close without losing any of it."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Collection
from typing import Protocol

from loadbalancer.network.client.connection import ClientConnection
from loadbalancer.network.client.context import ConnectionContext

# The platform waits no longer than this, whatever the deadlines are.
SHUTDOWN_MAX_DEADLINE_S = 3.0
# New connections still arrive for a while after SIGTERM.
SHUTDOWN_ACCEPT_S = 0.5
# Clients may use their connections for so long after SIGTERM: another balancer may not be back yet.
SHUTDOWN_KEEP_ALIVE_S = 1.5
# A connection is opened for a request, which follows within this time.
SHUTDOWN_NEW_CONNECTION_GRACE_S = 0.1
# Between two looks at what is left.
SHUTDOWN_POLL_INTERVAL_S = 0.01
# Iterations of the event loop after the last responses, and the time that each may take to begin.
SHUTDOWN_FINAL_ITERATIONS = 5
SHUTDOWN_FINAL_ITERATION_S = 0.01


class DrainableListener(Protocol):
    """What the shutdown needs of the listener."""

    max_deadline_s: float

    @property
    def connections(self) -> Collection[ClientConnection]:
        """The connections that are open now."""

    def accept_pending(self) -> bool:
        """Accept what waits in the kernel's queue; return whether the queue is empty."""

    def close(self) -> None:
        """Close the listening socket."""


class GracefulShutdown:
    """Shuts a listener down.

    The listening socket closes when nothing new arrives any more, right after its queue has been emptied:
    what waits there would be reset. Clients keep their connections for a while, as long as there is time
    to respond to what arrives on them; then responses close their connections.
    """

    def __init__(self, listener: DrainableListener, context: ConnectionContext) -> None:
        self._listener = listener
        self._context = context
        self._started_at = time.monotonic()
        # The platform waits as long as the longest deadline; half of it is left for the last responses.
        self._max_deadline_s = min(listener.max_deadline_s, SHUTDOWN_MAX_DEADLINE_S)

    async def run(self) -> None:
        """Shut down; returns when all connections are closed or the time is up."""
        self._context.is_shutting_down = True
        await self._accept_last_connections()
        self._listener.close()
        await self._keep_connections_open()
        self._context.closes_connections = True
        await self._close_idle_connections()
        if self._listener.connections:
            await self._abort_open_requests()

    async def _accept_last_connections(self) -> None:
        await asyncio.sleep(SHUTDOWN_ACCEPT_S)
        # While the connections are at their limit the queue isn't empty: some have to close first.
        latest_s = SHUTDOWN_ACCEPT_S + self._max_deadline_s / 2
        while not self._listener.accept_pending() and self._elapsed_s() < latest_s:
            await asyncio.sleep(SHUTDOWN_POLL_INTERVAL_S)

    async def _keep_connections_open(self) -> None:
        while self._listener.connections and self._elapsed_s() < min(
            SHUTDOWN_KEEP_ALIVE_S, self._max_deadline_s / 2
        ):
            await asyncio.sleep(SHUTDOWN_POLL_INTERVAL_S)

    async def _close_idle_connections(self) -> None:
        latest_s = SHUTDOWN_ACCEPT_S + self._max_deadline_s
        while self._listener.connections and self._elapsed_s() < latest_s:
            for connection in self._listener.connections:
                is_new = connection.idle_since >= time.monotonic() - SHUTDOWN_NEW_CONNECTION_GRACE_S
                if not is_new and not connection.is_lingering and connection.may_close():
                    connection.close_gracefully()
            await asyncio.sleep(SHUTDOWN_POLL_INTERVAL_S)

    async def _abort_open_requests(self) -> None:
        self._context.handler.abort_open_requests()
        # Guards against a busy loop, which uses up any pause: what was accepted just before is set up,
        # read and responded to within some turns.
        for _ in range(SHUTDOWN_FINAL_ITERATIONS):
            await asyncio.sleep(SHUTDOWN_FINAL_ITERATION_S)

    def _elapsed_s(self) -> float:
        return time.monotonic() - self._started_at
