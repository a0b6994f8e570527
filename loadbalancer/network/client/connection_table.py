"""The open client connections of a listener, and the setup of new ones."""

from __future__ import annotations

import time
from collections.abc import Callable, Collection, Iterator
from typing import TYPE_CHECKING

from loadbalancer.network.client.accept_queue import measure_queue_ages
from loadbalancer.network.client.connection import ClientConnection
from loadbalancer.network.memory_budget import CONNECTION_BYTES, HeldKind

if TYPE_CHECKING:
    import asyncio
    import socket

    from loadbalancer.network.client.context import ConnectionContext


class ConnectionTable(Collection[ClientConnection]):
    """The connections that have been accepted and are not closed."""

    def __init__(self, context: ConnectionContext, on_closed: Callable[[], None]) -> None:
        """Create an empty table.

        Args:
            context: State and services shared by the connections.
            on_closed: Called after a connection was closed and removed.
        """
        self._context = context
        self._on_closed = on_closed
        self._connections: set[ClientConnection] = set()
        self._setup_tasks: set[asyncio.Task[None]] = set()

    def __len__(self) -> int:
        return len(self._connections)

    def __iter__(self) -> Iterator[ClientConnection]:
        return iter(self._connections)

    def __contains__(self, connection: object) -> bool:
        return connection in self._connections

    def states(self) -> Iterator[str]:
        """Yield the state of each connection, for the log."""
        return (connection.state for connection in self._connections)

    def add(self, accepted: socket.socket) -> None:
        """Add a connection for a newly accepted socket, and start to set it up."""
        accepted.settimeout(0.0)  # non-blocking
        now = time.monotonic()
        ages = measure_queue_ages(accepted)
        request_received_at = now - ages.request_age_s if ages.request_age_s else None
        connection = ClientConnection(
            self._context, self._remove, now - ages.connection_age_s, request_received_at
        )
        self._connections.add(connection)
        self._context.budget.adjust(HeldKind.CONNECTIONS, CONNECTION_BYTES)
        task = self._context.loop.create_task(self.set_up_connection(connection, accepted))
        self._setup_tasks.add(task)
        task.add_done_callback(self._setup_tasks.discard)

    async def set_up_connection(self, connection: ClientConnection, accepted: socket.socket) -> None:
        """Create the transport of a connection; from then on, the event loop reads its socket."""
        try:
            await self._context.loop.connect_accepted_socket(lambda: connection, accepted)
        except OSError:
            accepted.close()
            self._remove(connection)

    def _remove(self, connection: ClientConnection) -> None:
        if connection in self._connections:
            self._connections.remove(connection)
            self._context.budget.adjust(HeldKind.CONNECTIONS, -CONNECTION_BYTES)
        self._on_closed()
