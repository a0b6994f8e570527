"""One connection to discovery: which bytes belong to the response of a request."""

from __future__ import annotations

import asyncio

import pytest

from loadbalancer.network.discovery.connection import DiscoveryConnection, DiscoveryDisconnectedError
from tests.support.http_messages import response
from tests.support.scripted_discovery import DiscoveryServer
from tests.support.waiting import wait_until

REQUEST = b"GET /v1/servers HTTP/1.1\r\nHost: discovery\r\n\r\n"
TIMEOUT_S = 5.0


async def connect(server: DiscoveryServer) -> DiscoveryConnection:
    host, port = (await server.start()).rsplit(":", 1)
    _, connection = await asyncio.get_running_loop().create_connection(DiscoveryConnection, host, int(port))
    return connection


@pytest.mark.parametrize("extra_bytes", [response(200, b"stale"), b"HTTP/1.1 200 OK\r\nContent-Le"])
async def test_bytes_without_request_end_the_connection(extra_bytes: bytes) -> None:
    """Guards against a list that no request asked for being taken for the response to the next request."""
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
