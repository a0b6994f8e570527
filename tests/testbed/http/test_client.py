"""The client of the testbed's load."""

import asyncio

from loadbalancer.configuration import read_address
from testbed.http.client import Client
from tests.support.http_messages import response
from tests.support.scripted_upstream import Upstream as Scripted
from tests.testbed.support.loads import send_request


async def test_a_client_opens_connections_when_busy_and_resends_once_if_a_reused_one_was_closed() -> None:
    more = asyncio.Event()

    async def wait(received: object, writer: asyncio.StreamWriter) -> None:
        if len(server.received) == 2:
            more.set()
        await more.wait()
        writer.write(response())

    async def drop(received: object, writer: asyncio.StreamWriter) -> None:
        writer.transport.abort()

    server = Scripted(wait, wait, drop, response())
    client = Client(read_address(await server.start()))
    assert tuple(await asyncio.gather(send_request(client), send_request(client))) == (200, 200)
    assert client.opened_connections == server.connections == 2
    assert await send_request(client) == 200
    assert (client.opened_connections, len(server.received)) == (3, 4)
    assert server.received[2].headers["x-request-id"] == server.received[3].headers["x-request-id"]
    client.close()
