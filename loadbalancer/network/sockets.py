"""Socket operations that the transports of asyncio do not offer, and the descriptors kept in reserve."""

from __future__ import annotations

import contextlib
import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

RESERVED_DESCRIPTORS = 24
"""Descriptors left unused both by clients and by upstreams.

They are for the event loop, the log, discovery and connections that are just closing.
"""


class _BorrowedSocket(socket.socket):
    """A socket on the descriptor of a transport; at the end of the context that stays open, as it was."""

    __slots__ = ()

    def __init__(self, transport: asyncio.BaseTransport) -> None:
        owned = transport.get_extra_info("socket")
        super().__init__(owned.family, owned.type, owned.proto, owned.fileno())

    def __exit__(self, *_: object) -> None:
        self.detach()


def set_no_delay(transport: asyncio.BaseTransport) -> None:
    """Have small messages sent at once (TCP_NODELAY)."""
    transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def peek(transport: asyncio.BaseTransport) -> bytes | None:
    """Look at what the kernel has received and the event loop has not read yet.

    Returns:
        The first byte, `b""` if the connection has ended, or None if there is nothing.
    """
    with _BorrowedSocket(transport) as borrowed:
        try:
            return borrowed.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return None
        except OSError:
            return b""


def shutdown_write(transport: asyncio.BaseTransport) -> None:
    """Tell the peer at once that no more bytes come.

    Only for a transport with an empty write buffer; one that is closing is left alone.
    """
    if transport.is_closing():
        return
    # Guards against an error for a connection that has ended already.
    with _BorrowedSocket(transport) as borrowed, contextlib.suppress(OSError):
        borrowed.shutdown(socket.SHUT_WR)
