"""One connection to discovery: which bytes belong to the response of a request."""

from __future__ import annotations

import asyncio
import socket
import struct
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

import pytest

from loadbalancer.network.discovery import connection as discovery_connection
from loadbalancer.network.discovery.connection import DiscoveryConnection, DiscoveryDisconnectedError
from tests.support.http_messages import response
from tests.support.scripted_discovery import DiscoveryServer
from tests.support.waiting import wait_until

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from loadbalancer.network.response_parser import Response

REQUEST = b"GET /v1/servers HTTP/1.1\r\nHost: discovery\r\n\r\n"
TIMEOUT_S = 5.0


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset the connection of a writer."""
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


async def connect(server: DiscoveryServer) -> DiscoveryConnection:
    host, port = (await server.start()).rsplit(":", 1)
    _, connection = await asyncio.get_running_loop().create_connection(DiscoveryConnection, host, int(port))
    return connection


@dataclass(frozen=True)
class OpenRequest:
    """A request that discovery has received.

    Attributes:
        connection: The connection that carries it.
        response: The response, once it is complete.
        writer: Writes the response.
    """

    connection: DiscoveryConnection
    response: asyncio.Future[Response]
    writer: asyncio.StreamWriter


@asynccontextmanager
async def open_request(timeout_s: float = TIMEOUT_S) -> AsyncIterator[OpenRequest]:
    """Send a request to a discovery service that does not respond by itself."""
    server = DiscoveryServer()
    connection = await connect(server)
    try:
        pending = asyncio.ensure_future(connection.send_request(REQUEST, timeout_s))
        await server.requests.get()
        yield OpenRequest(connection, pending, server.writers[0])
    finally:
        connection.close()
        server.stop()


async def send_in_pieces(
    writer: asyncio.StreamWriter, data: bytes, piece_count: int, interval_s: float
) -> None:
    size = len(data) // piece_count + 1
    for start in range(0, len(data), size):
        writer.write(data[start : start + size])
        await asyncio.sleep(interval_s)


@pytest.mark.parametrize("begins_late", [False, True])
async def test_response_is_awaited_while_bytes_arrive(
    monkeypatch: pytest.MonkeyPatch, *, begins_late: bool
) -> None:
    """Guards against lists that are never taken, since they need longer than a fixed time (case 10)."""
    monkeypatch.setattr(discovery_connection, "STALL_TIMEOUT_S", 1.0)
    async with open_request(timeout_s=0.3 if begins_late else TIMEOUT_S) as request:
        # Longer than the stall timeout in all, and than the timeout of a request that begins late.
        await send_in_pieces(request.writer, response(200, b"list" * 100), 12, 0.1)
        assert (await request.response).body == b"list" * 100


@pytest.mark.parametrize("limit", ["STALL_TIMEOUT_S", "BODY_TIMEOUT_S"])
async def test_response_that_does_not_end_times_out(monkeypatch: pytest.MonkeyPatch, limit: str) -> None:
    monkeypatch.setattr(discovery_connection, limit, 0.2)
    async with open_request() as request:
        request.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n")
        if limit == "BODY_TIMEOUT_S":
            sending = asyncio.ensure_future(send_in_pieces(request.writer, b"x" * 200, 200, 0.05))
        with pytest.raises(TimeoutError):
            await request.response
        if limit == "BODY_TIMEOUT_S":
            assert not sending.done()
            sending.cancel()


async def test_orderly_end_completes_response_without_length() -> None:
    async with open_request() as request:
        request.writer.write(b"HTTP/1.1 200 OK\r\n\r\nlist")
        request.writer.write_eof()
        assert (await request.response).body == b"list"
        assert request.connection.is_closed


async def test_orderly_end_completes_no_response_with_length() -> None:
    async with open_request() as request:
        request.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\nlist")
        request.writer.write_eof()
        with pytest.raises(DiscoveryDisconnectedError):
            await request.response


@pytest.mark.parametrize("framing", [b"", b"Content-Length: 4\r\n"])
async def test_reset_completes_no_response(framing: bytes) -> None:
    async with open_request() as request:
        request.writer.write(b"HTTP/1.1 200 OK\r\n" + framing + b"\r\nli")
        await wait_until(lambda: request.connection.is_receiving, "the response has begun")
        reset(request.writer)
        with pytest.raises((OSError, DiscoveryDisconnectedError)):
            await request.response


@pytest.mark.parametrize("extra_bytes", [response(200, b"stale"), b"HTTP/1.1 200 OK\r\nContent-Le"])
async def test_bytes_without_request_end_the_connection(extra_bytes: bytes) -> None:
    """Guards against a list without a request being taken for the response to the next request."""
    server = DiscoveryServer()
    connection = await connect(server)
    try:
        server.responses.put_nowait(response(200, b"list"))
        assert (await connection.send_request(REQUEST, TIMEOUT_S)).body == b"list"
        assert not connection.is_closed
        server.writers[0].write(extra_bytes)
        await wait_until(lambda: connection.is_closed, "the connection is closed")
        await server.connection_closed.wait()
        with pytest.raises(DiscoveryDisconnectedError):
            await connection.send_request(REQUEST, TIMEOUT_S)
    finally:
        connection.close()
        server.stop()
