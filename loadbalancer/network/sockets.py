"""Socket operations that the transports of asyncio do not offer, and the reserve of file descriptors."""

from __future__ import annotations

import contextlib
import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

RESERVED_DESCRIPTORS = 24
"""Number of file descriptors that neither the connections of clients nor those to upstreams may use.

The event loop, the log, the connection to discovery and connections that are being closed need them.
"""


class _BorrowedSocket(socket.socket):
    """A socket on the descriptor of a transport; the descriptor stays open when the context ends."""

    __slots__ = ()

    def __init__(self, transport: asyncio.BaseTransport) -> None:
        owned = transport.get_extra_info("socket")
        super().__init__(owned.family, owned.type, owned.proto, owned.fileno())

    def __exit__(self, *_: object) -> None:
        self.detach()


def set_no_delay(transport: asyncio.BaseTransport) -> None:
    """Set TCP_NODELAY, so that small messages are sent at once."""
    transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def peek(transport: asyncio.BaseTransport) -> bytes | None:
    """Look at the next byte that the kernel has received and the event loop has not read.

    Returns:
        The byte; `b""` if the connection has ended; None if there is neither a byte nor an end.
    """
    with _BorrowedSocket(transport) as borrowed:
        try:
            return borrowed.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return None
        except OSError:
            return b""


def shutdown_write(transport: asyncio.BaseTransport) -> None:
    """End the sending side of a connection at once, before the event loop closes its socket.

    The write buffer of the transport must be empty. A transport that is closing is not affected.
    """
    if transport.is_closing():
        return
    # Guards against the error that the kernel reports for a connection that has ended already.
    with _BorrowedSocket(transport) as borrowed, contextlib.suppress(OSError):
        borrowed.shutdown(socket.SHUT_WR)
