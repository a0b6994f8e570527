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

_FAMILY = int(socket.AF_INET)
_TYPE = int(socket.SOCK_STREAM)
_PEEK_FLAGS = int(socket.MSG_PEEK | socket.MSG_DONTWAIT)


def set_no_delay(transport: asyncio.BaseTransport) -> None:
    """Set TCP_NODELAY, so that small messages are sent without delay."""
    transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def peek(transport: asyncio.BaseTransport) -> bytes | None:
    """Return the next byte that the kernel has received, without removing it from the receive buffer.

    Returns:
        The byte; `b""` if the connection has ended; None if it is open and the receive buffer is empty.
    """
    descriptor = _descriptor(transport)
    if descriptor < 0:
        return b""
    borrowed = _borrow_socket(descriptor)
    try:
        return borrowed.recv(1, _PEEK_FLAGS)
    except BlockingIOError:
        return None
    except OSError:
        return b""
    finally:
        borrowed.detach()


def count_unread_bytes(transport: asyncio.BaseTransport) -> int | None:
    """Return the number of bytes that the kernel has received and the loop has not read; None if unknown."""
    descriptor = _descriptor(transport)
    try:
        return int(_INT.unpack(fcntl.ioctl(descriptor, termios.FIONREAD, bytes(_INT.size)))[0])
    except (OSError, ValueError):
        return None


def shutdown_write(transport: asyncio.BaseTransport) -> None:
    """Shut down the sending side of a connection at once; `transport.abort` closes the socket only later.

    The write buffer of the transport must be empty. Has no effect on a transport that is closing.
    """
    descriptor = _descriptor(transport)
    if transport.is_closing() or descriptor < 0:
        return
    borrowed = _borrow_socket(descriptor)
    try:
        # The kernel reports an error for a connection that has ended already.
        with contextlib.suppress(OSError):
            borrowed.shutdown(socket.SHUT_WR)
    finally:
        borrowed.detach()


def _descriptor(transport: asyncio.BaseTransport) -> int:
    """Return the descriptor of a transport; below 0 if closed, which may be before the transport knows."""
    return int(transport.get_extra_info("socket").fileno())


def _borrow_socket(descriptor: int) -> socket.SocketType:
    """Return a socket object on a descriptor; it must be detached, or it would close the descriptor.

    `SocketType` is the base class of `socket.socket`, without the cost of its enumerations. The family does
    not matter to calls without an address.
    """
    return socket.SocketType(_FAMILY, _TYPE, 0, descriptor)
