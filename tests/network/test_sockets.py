"""Socket operations on transports whose socket has been closed."""

from __future__ import annotations

import asyncio
import socket

from loadbalancer.network.sockets import peek, shutdown_write


class TransportOfClosedSocket(asyncio.BaseTransport):
    """A transport after a cancelled connect: its socket is closed, and it is not closing itself."""

    def __init__(self) -> None:
        closed_socket = socket.socket()
        closed_socket.close()
        super().__init__({"socket": closed_socket})

    def is_closing(self) -> bool:
        return False


def test_closed_socket_counts_as_ended() -> None:
    """A ValueError here would make the attempt last until its whole time is over."""
    transport = TransportOfClosedSocket()
    shutdown_write(transport)
    assert peek(transport) == b""
