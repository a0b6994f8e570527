"""The listening socket: accepts client connections, up to a limit on their number."""

from __future__ import annotations

import errno
import socket
from typing import TYPE_CHECKING

from loadbalancer.network.client import timeouts
from loadbalancer.network.client.connection_table import ConnectionTable
from loadbalancer.network.client.context import BufferAccount, ConnectionContext
from loadbalancer.network.client.eviction import ConnectionEviction
from loadbalancer.network.client.graceful_shutdown import GracefulShutdown
from loadbalancer.network.sockets import RESERVED_DESCRIPTORS

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from loadbalancer.configuration import Configuration
    from loadbalancer.network.client.incoming_request import RequestHandler

ACCEPT_BACKLOG = 2_048
"""Length of the kernel's accept queue, where clients wait instead of being refused while the loop is busy."""

CLIENT_MEMORY_FRACTION = 1 / 12
"""Fraction of the memory limit that may be used to buffer client input."""

MIN_CONNECTION_LIMIT = 4
"""Lower bound of the connection limit, however few descriptors the configuration allows."""

BYTES_PER_MB = 1 << 20
MS_PER_S = 1000
_OUT_OF_RESOURCES = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class Listener:
    """The listening socket and the connections that were accepted on it.

    Attributes:
        loop: The event loop.
        context: State and services shared by the connections.
        connections: The connections that are open now.
        eviction: Closes slow and idle connections.
        address: The address that the socket is bound to.
        connection_limit: The maximum number of open connections.
        max_deadline_s: The longest deadline of any request class.
    """

    def __init__(
        self,
        configuration: Configuration,
        loop: asyncio.AbstractEventLoop,
        handler: RequestHandler,
        log_exception: Callable[[str], None],
    ) -> None:
        """Bind the socket; nothing is accepted before `start`.

        Args:
            configuration: The configuration of the balancer.
            loop: The event loop.
            handler: Receives the requests.
            log_exception: Logs a message together with the exception that is being handled.
        """
        self.loop = loop
        self.context = _create_context(configuration, loop, handler, log_exception)
        self.max_deadline_s = max(c.deadline_ms for c in configuration.settings.classes) / MS_PER_S
        self.connection_limit = max(
            configuration.descriptor_limit // 2 - RESERVED_DESCRIPTORS, MIN_CONNECTION_LIMIT
        )
        self.connections = ConnectionTable(self.context, self._on_connection_closed)
        self.eviction = ConnectionEviction(loop, self.connections)
        self._is_accepting = False
        self._socket = _bind(configuration.listen)
        self.address = self._socket.getsockname()

    @property
    def is_closed(self) -> bool:
        """Whether the listening socket is closed."""
        return self._socket.fileno() < 0

    def start(self) -> None:
        """Listen, and close slow and idle connections from now on."""
        self._socket.listen(ACCEPT_BACKLOG)
        self._resume_accepting()
        self.eviction.sweep()

    async def shut_down(self) -> None:
        """Respond to requests that still arrive after SIGTERM, then close all connections."""
        await GracefulShutdown(self, self.context).run()

    def close(self) -> None:
        """Close the listening socket; the kernel resets connections that are still in its accept queue."""
        self._stop_accepting()
        self._socket.close()

    def accept_pending(self) -> bool:
        """Accept the connections in the kernel's accept queue, up to the connection limit.

        Returns:
            Whether the queue is empty.
        """
        while len(self.connections) < self.connection_limit:
            try:
                accepted, _ = self._socket.accept()
            except BlockingIOError:
                return True
            except OSError as error:
                if error.errno in _OUT_OF_RESOURCES:
                    break
                continue
            self.connections.add(accepted)
        # The socket stays readable: an immediate retry would spin at the limit, or fail again.
        self.eviction.evict()
        self._stop_accepting()
        self.loop.call_later(timeouts.ACCEPT_RETRY_INTERVAL_S, self._resume_accepting)
        return False

    def _on_connection_closed(self) -> None:
        if not self._is_accepting:
            self._resume_accepting()

    def _resume_accepting(self) -> None:
        if not self._is_accepting and not self.is_closed:
            self._is_accepting = True
            self.loop.add_reader(self._socket, self.accept_pending)

    def _stop_accepting(self) -> None:
        if self._is_accepting:
            self._is_accepting = False
            self.loop.remove_reader(self._socket)


def _create_context(
    configuration: Configuration,
    loop: asyncio.AbstractEventLoop,
    handler: RequestHandler,
    log_exception: Callable[[str], None],
) -> ConnectionContext:
    limit_bytes = int(configuration.memory_limit_mb * CLIENT_MEMORY_FRACTION * BYTES_PER_MB)
    return ConnectionContext(
        loop,
        handler,
        log_exception,
        classes={c.name: c for c in configuration.settings.classes},
        buffers=BufferAccount(limit_bytes),
    )


def _bind(address: tuple[str, int]) -> socket.socket:
    """Return a non-blocking TCP socket that is bound to an address and does not listen yet."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    listening_socket = socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listening_socket.bind(address)
    return listening_socket
