"""The listening socket: accepts client connections, up to a limit on their number."""

from __future__ import annotations

import errno
import socket
from typing import TYPE_CHECKING

from loadbalancer.network.client import timeouts
from loadbalancer.network.client.connection_table import ConnectionTable
from loadbalancer.network.client.context import ConnectionContext
from loadbalancer.network.client.eviction import ConnectionEviction
from loadbalancer.network.client.graceful_shutdown import GracefulShutdown
from loadbalancer.network.counters import ClientCounters
from loadbalancer.network.memory_budget import CONNECTION_BYTES
from loadbalancer.network.sockets import RESERVED_DESCRIPTORS
from loadbalancer.network.turn_scheduler import TurnScheduler

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from loadbalancer.configuration import Configuration
    from loadbalancer.network.client.requests.incoming_request import RequestHandler
    from loadbalancer.network.memory_budget import MemoryBudget

ACCEPT_BACKLOG = 2_048
"""Length of the kernel's accept queue, where clients wait instead of being refused while the loop is busy."""

ACCEPTS_PER_TURN = 16
"""Maximum number of connections that are accepted, or fail to be, in one turn of the event loop."""

CONNECTIONS_MEMORY_FRACTION = 0.6
"""Fraction of the memory budget that client connections without any input may occupy."""

MIN_CONNECTION_LIMIT = 4
"""Lower bound of the connection limit, however few descriptors the configuration allows."""

MS_PER_S = 1000
_RESOURCE_SHORTAGE_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


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
        budget: MemoryBudget,
    ) -> None:
        """Bind the socket; nothing is accepted before `start`.

        Args:
            configuration: The configuration of the balancer.
            loop: The event loop.
            handler: Receives the requests.
            log_exception: Logs a message together with the exception that is being handled.
            budget: Counts the memory that is held for peers.
        """
        self.loop = loop
        self.context = ConnectionContext(
            loop,
            handler,
            log_exception,
            classes={c.name: c for c in configuration.settings.classes},
            budget=budget,
            counters=ClientCounters(),
            turns=TurnScheduler(loop),
            release_input=self._release_input,
        )
        self.max_deadline_s = max(c.deadline_ms for c in configuration.settings.classes) / MS_PER_S
        self.connection_limit = _connection_limit(configuration, budget)
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

        At most `ACCEPTS_PER_TURN` are accepted; the loop calls this again in the next turn.

        Returns:
            Whether the queue is empty.
        """
        for _ in range(ACCEPTS_PER_TURN):
            if len(self.connections) >= self.connection_limit:
                break
            try:
                accepted, _ = self._socket.accept()
            except BlockingIOError:
                return True
            except OSError as error:
                if error.errno in _RESOURCE_SHORTAGE_ERRNOS:
                    break
                continue
            self.connections.add(accepted)
        else:
            return False
        # The socket stays readable: an immediate retry would spin at the limit, or fail again.
        self.eviction.evict()
        self._stop_accepting()
        self.loop.call_later(timeouts.ACCEPT_RETRY_INTERVAL_S, self._resume_accepting)
        return False

    def _release_input(self) -> None:
        self.eviction.release_input(self.context.budget)

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


def _connection_limit(configuration: Configuration, budget: MemoryBudget) -> int:
    """Return how many client connections may be open, as far as descriptors and memory reach."""
    by_descriptors = configuration.descriptor_limit // 2 - RESERVED_DESCRIPTORS
    by_memory = int(budget.limit_bytes * CONNECTIONS_MEMORY_FRACTION / CONNECTION_BYTES)
    return max(min(by_descriptors, by_memory), MIN_CONNECTION_LIMIT)


def _bind(address: tuple[str, int]) -> socket.socket:
    """Return a non-blocking TCP socket that is bound to an address and does not listen yet."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    listening_socket = socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listening_socket.bind(address)
    return listening_socket
