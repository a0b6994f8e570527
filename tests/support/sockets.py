"""Helpers for loopback sockets."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio


def socket_address(server: asyncio.Server) -> str:
    """Return the address of a server in the form `host:port`."""
    host, port = server.sockets[0].getsockname()[:2]
    return f"{host}:{port}"


def free_port() -> int:
    """Return a port that is currently free on 127.0.0.1, for configurations that must name a port."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def connect_if_listening(port: int) -> socket.socket | None:
    """Return a non-blocking socket connected to a port, or None if the connection is refused."""
    try:
        client = socket.create_connection(("127.0.0.1", port))
    except ConnectionRefusedError:
        return None
    client.settimeout(0.0)
    return client
