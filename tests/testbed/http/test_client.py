"""The testbed's HTTP client."""

import asyncio

import pytest

from loadbalancer.configuration import read_address
from testbed.http.client import Client
from tests.support.http_messages import response
from tests.support.scripted_upstream import Upstream as ScriptedUpstream
from tests.testbed.support.loads import send_request


async def test_request_is_resent_if_reused_connection_closes() -> None:
    both_received = asyncio.Event()

    async def wait_for_both_requests(received: object, writer: asyncio.StreamWriter) -> None:
        if len(upstream.received) == 2:
            both_received.set()
        await both_received.wait()
        writer.write(response())

    async def abort(received: object, writer: asyncio.StreamWriter) -> None:
        writer.transport.abort()

    upstream = ScriptedUpstream(wait_for_both_requests, wait_for_both_requests, abort, response())
    client = Client(read_address(await upstream.start()))
    assert tuple(await asyncio.gather(send_request(client), send_request(client))) == (200, 200)
    assert client.opened_connections == upstream.connection_count == 2
    assert await send_request(client) == 200
    assert (client.opened_connections, len(upstream.received)) == (3, 4)
    assert upstream.received[2].headers["x-request-id"] == upstream.received[3].headers["x-request-id"]
    client.close()


@pytest.mark.parametrize("extra_bytes", [response(200, b"second"), b"HTTP/1.1 200 OK\r\nContent-Le"])
async def test_second_response_is_not_that_of_the_next_request(extra_bytes: bytes) -> None:
    """Guards against counting a response for a request that it does not belong to."""
    upstream = ScriptedUpstream(response() + extra_bytes, response(503), response(500))
    client = Client(read_address(await upstream.start()))
    assert [await send_request(client) for _ in range(3)] == [200, 503, 500]
    assert client.opened_connections == 2
    client.close()


async def test_interim_response_is_not_final() -> None:
    upstream = ScriptedUpstream(b"HTTP/1.1 103 Early Hints\r\n\r\n" + response(503))
    client = Client(read_address(await upstream.start()))
    assert await send_request(client) == 503
    client.close()
