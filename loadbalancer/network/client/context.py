"""State and services shared by all client connections of a listener."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from loadbalancer.network.client.requests.incoming_request import RequestHandler
    from loadbalancer.network.counters import ClientCounters
    from loadbalancer.network.memory_budget import MemoryBudget
    from loadbalancer.network.turn_scheduler import TurnScheduler
    from loadbalancer.settings import RequestClass

READ_BYTES = 16_384
"""Maximum number of bytes that are read from a connection in one turn."""

MIN_READ_BYTES = 512
"""Number of bytes that are read from a connection in one turn if no memory is available."""

READ_FRACTION = 1 / 256
"""Fraction of the available budget that is read from a connection in one turn, up to `READ_BYTES`.

All connections may become readable in the same turn.
"""


@dataclass(slots=True, eq=False, repr=False)
class ConnectionContext:
    """The state and services that a listener shares with its connections.

    Attributes:
        loop: The event loop.
        handler: Receives the requests.
        log_exception: Logs a message together with the exception that is being handled.
        classes: The request classes of the settings, by name.
        budget: Counts the memory that is held for peers.
        counters: Counts what happens on client connections.
        turns: Shares each turn of the event loop between the connections.
        release_input: Gives up incomplete requests, the largest first, until the budget is less used.
        read_buffer: Receives the input of each connection, one after another.
        is_shutting_down: Whether the listener is shutting down; health checks then fail, so that clients use
            another balancer.
        closes_connections: Whether each response closes the connection that it is sent on.
        rejects_waiting_requests: Whether requests that wait behind others are refused.
    """

    loop: asyncio.AbstractEventLoop
    handler: RequestHandler
    log_exception: Callable[[str], None]
    classes: dict[str, RequestClass]
    budget: MemoryBudget
    counters: ClientCounters
    turns: TurnScheduler
    release_input: Callable[[], None]
    read_buffer: memoryview = field(default_factory=lambda: memoryview(bytearray(READ_BYTES)))
    is_shutting_down: bool = False
    closes_connections: bool = False
    rejects_waiting_requests: bool = False

    def next_read_buffer(self) -> memoryview:
        """Return the part of the read buffer into which the next input of a connection is read."""
        read_bytes = int(self.budget.available_bytes * READ_FRACTION)
        if read_bytes >= READ_BYTES:
            return self.read_buffer
        return self.read_buffer[: max(read_bytes, MIN_READ_BYTES)]
