"""State and services shared by all client connections of a listener."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from loadbalancer.network.client.incoming_request import RequestHandler
    from loadbalancer.settings import RequestClass


class BufferAccount:
    """Counts the bytes buffered for all clients together, and compares them with a limit.

    Attributes:
        used_bytes: The number of bytes buffered now.
        limit_bytes: The limit on `used_bytes`. Above it, the pipeline rejects the input of connections that
            buffer more than `GUARANTEED_BUFFER_BYTES`.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.used_bytes = 0
        self.limit_bytes = limit_bytes

    def adjust(self, change_bytes: int) -> None:
        """Change the number of buffered bytes; a negative change reduces it."""
        self.used_bytes += change_bytes

    def is_limit_exceeded(self) -> bool:
        """Return whether more bytes are buffered than the limit allows."""
        return self.used_bytes > self.limit_bytes


@dataclass(slots=True, eq=False, repr=False)
class ConnectionContext:
    """The state and services that a listener shares with its connections.

    Attributes:
        loop: The event loop.
        handler: Receives the requests.
        log_exception: Logs a message together with the exception that is being handled.
        classes: The request classes of the settings, by name.
        buffers: Counts the bytes that are buffered for all connections.
        is_shutting_down: Whether the listener is shutting down; health checks then fail, so that clients use
            another balancer.
        closes_connections: Whether each response closes the connection that it is sent on.
    """

    loop: asyncio.AbstractEventLoop
    handler: RequestHandler
    log_exception: Callable[[str], None]
    classes: dict[str, RequestClass]
    buffers: BufferAccount
    is_shutting_down: bool = False
    closes_connections: bool = False
