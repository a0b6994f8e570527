"""Graceful shutdown after SIGTERM: respond to requests that still arrive, then close all connections."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from loadbalancer.network.client.connection import ClientConnection
    from loadbalancer.network.client.context import ConnectionContext

SHUTDOWN_MAX_DEADLINE_S = 3.0
"""Upper limit on the time that the shutdown allows for responses.

The shutdown allows the longest deadline of any request class, up to this limit. The platform that runs the
process waits for responses no longer than the limit, even if a deadline is longer.
"""

SHUTDOWN_ACCEPT_S = 0.5
"""How long to accept connections after SIGTERM: clients may still open new ones."""

SHUTDOWN_KEEP_ALIVE_S = 1.5
"""How long to keep connections open after SIGTERM: another balancer may still be restarting."""

SHUTDOWN_NEW_CONNECTION_GRACE_S = 0.1
"""How long to wait for a request on a connection before it is closed.

The time starts when the client connects, and again after each response.
"""

SHUTDOWN_POLL_INTERVAL_S = 0.01
"""Interval between checks of the accept queue and of the connections."""

SHUTDOWN_REJECT_WAITING_S = 0.3
"""How long before the open requests are aborted those that wait behind them are refused."""

SHUTDOWN_KILL_S = 0.7
"""How long after the longest deadline, counted from SIGTERM, the platform may kill the process."""

SHUTDOWN_KILL_MARGIN_S = 0.05
"""How long before that time the process ends, even if requests are open."""

SHUTDOWN_FINAL_ITERATIONS = 5
"""Minimum number of event loop iterations after the open requests have been aborted."""

SHUTDOWN_FINAL_ITERATION_S = 0.01
"""Duration of each sleep that lets the event loop run one of the final iterations."""


class DrainableListener(Protocol):
    """The part of the listener that the shutdown uses."""

    max_deadline_s: float

    @property
    def connections(self) -> Collection[ClientConnection]:
        """The connections that are open now."""

    def accept_pending(self) -> bool:
        """Accept the connections in the accept queue; return whether the queue is empty."""

    def close(self) -> None:
        """Close the listening socket."""


class GracefulShutdown:
    """Shuts a listener down.

    New connections are accepted for a short time. The listening socket is then closed as soon as its accept
    queue is empty, since the kernel resets connections that are still queued. Connections are kept open
    while there is time to respond to further requests on them; after that, each response closes its
    connection.
    """

    def __init__(self, listener: DrainableListener, context: ConnectionContext) -> None:
        self._listener = listener
        self._context = context
        self._started_at = time.monotonic()
        # The platform waits for responses this long; half of the time is reserved for the last responses.
        self._max_deadline_s = min(listener.max_deadline_s, SHUTDOWN_MAX_DEADLINE_S)

    async def run(self) -> None:
        """Shut down; return when all connections are closed, or after the open requests have been aborted."""
        self._context.is_shutting_down = True
        await self._accept_last_connections()
        self._listener.close()
        await self._serve_open_connections()
        self._context.closes_connections = True
        await self._close_idle_connections()
        if self._listener.connections:
            await self._abort_open_requests()

    async def _accept_last_connections(self) -> None:
        await asyncio.sleep(SHUTDOWN_ACCEPT_S)
        # At the connection limit, the queue cannot be emptied until some connections close.
        max_elapsed_s = SHUTDOWN_ACCEPT_S + self._max_deadline_s / 2
        await self._poll_until(self._listener.accept_pending, max_elapsed_s)

    async def _serve_open_connections(self) -> None:
        max_elapsed_s = min(SHUTDOWN_KEEP_ALIVE_S, self._max_deadline_s / 2)
        await self._poll_until(lambda: not self._listener.connections, max_elapsed_s)

    async def _close_idle_connections(self) -> None:
        max_elapsed_s = SHUTDOWN_ACCEPT_S + self._max_deadline_s
        while self._listener.connections and self._elapsed_s() < max_elapsed_s:
            if self._elapsed_s() >= max_elapsed_s - SHUTDOWN_REJECT_WAITING_S:
                self._reject_waiting_requests()
            for connection in self._listener.connections:
                is_recently_active = (
                    connection.idle_since >= time.monotonic() - SHUTDOWN_NEW_CONNECTION_GRACE_S
                )
                if (
                    not is_recently_active
                    and not connection.is_abort_scheduled
                    and connection.can_close_without_loss()
                ):
                    connection.close_gracefully()
            await asyncio.sleep(SHUTDOWN_POLL_INTERVAL_S)

    def _reject_waiting_requests(self) -> None:
        if self._context.rejects_waiting_requests:
            return
        self._context.rejects_waiting_requests = True  # which applies to input that is yet to come, too
        for connection in self._listener.connections:
            if connection.has_unanswered_input():
                connection.handle_waiting_input()

    async def _abort_open_requests(self) -> None:
        self._reject_waiting_requests()
        self._context.handler.abort_open_requests()
        # On a busy loop a sleep of any length may take a single iteration. A connection that has just been
        # accepted needs several iterations until it is set up, its request read and the response written.
        for _ in range(SHUTDOWN_FINAL_ITERATIONS):
            await asyncio.sleep(SHUTDOWN_FINAL_ITERATION_S)
        await self._poll_until(
            lambda: not any(connection.has_unanswered_input() for connection in self._listener.connections),
            self._max_deadline_s + SHUTDOWN_KILL_S - SHUTDOWN_KILL_MARGIN_S,
        )

    async def _poll_until(self, is_satisfied: Callable[[], bool], max_elapsed_s: float) -> None:
        """Wait until a condition holds, or until `max_elapsed_s` seconds after the shutdown started."""
        while True:
            if is_satisfied() or self._elapsed_s() >= max_elapsed_s:
                return
            await asyncio.sleep(SHUTDOWN_POLL_INTERVAL_S)

    def _elapsed_s(self) -> float:
        return time.monotonic() - self._started_at
