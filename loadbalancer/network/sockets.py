"""Socket operations that asyncio transports do not offer, and the number of reserved file descriptors."""

from __future__ import annotations

import contextlib
import fcntl
import socket
import struct
import termios
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

_INT = struct.Struct("i")

RESERVED_DESCRIPTORS = 24
"""Number of descriptors that the limits on client connections and on upstream connections each leave free.

These descriptors are for the event loop, the log, the connection to discovery and connections that are being
closed.
"""


class _BorrowedSocket(socket.socket):
    """A socket object on the descriptor of a transport; leaving the context does not close the descriptor."""

    __slots__ = ()

    def __init__(self, transport: asyncio.BaseTransport) -> None:
        original = transport.get_extra_info("socket")
        super().__init__(original.family, original.type, original.proto, original.fileno())

    def __exit__(self, *_: object) -> None:
        self.detach()


def set_no_delay(transport: asyncio.BaseTransport) -> None:
    """Set TCP_NODELAY, so that small messages are sent without delay."""
    transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def peek(transport: asyncio.BaseTransport) -> bytes | None:
    """Return the next byte that the kernel has received, without removing it from the receive buffer.

    Returns:
        The byte; `b""` if the connection has ended; None if it is open and the receive buffer is empty.
    """
    if _is_socket_closed(transport):
        return b""
    with _BorrowedSocket(transport) as borrowed:
        try:
            return borrowed.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return None
        except OSError:
            return b""


def count_unread_bytes(transport: asyncio.BaseTransport) -> int | None:
    """Return the number of bytes that the kernel has received and the loop has not read; None if unknown."""
    descriptor = transport.get_extra_info("socket").fileno()
    try:
        return int(_INT.unpack(fcntl.ioctl(descriptor, termios.FIONREAD, bytes(_INT.size)))[0])
    except (OSError, ValueError):
        return None


def shutdown_write(transport: asyncio.BaseTransport) -> None:
    """Shut down the sending side of a connection at once; `transport.abort` closes the socket only later.

    The write buffer of the transport must be empty. Has no effect on a transport that is closing.
    """
    if transport.is_closing() or _is_socket_closed(transport):
        return
    # The kernel reports an error for a connection that has ended already.
    with _BorrowedSocket(transport) as borrowed, contextlib.suppress(OSError):
        borrowed.shutdown(socket.SHUT_WR)


def _is_socket_closed(transport: asyncio.BaseTransport) -> bool:
    """Return whether the socket is closed; after a cancelled connect it is, before the transport knows."""
    return bool(transport.get_extra_info("socket").fileno() < 0)
