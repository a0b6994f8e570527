"""Pipelined requests: each gets its response in time, and none is sent for a client that has closed."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

import pytest

from loadbalancer.network.client.context import READ_BYTES
from loadbalancer.network.client.input_limits import MAX_UNHANDLED_BYTES
from loadbalancer.network.memory_budget import HeldKind
from tests.support.disconnecting_clients import request_bytes
from tests.support.http_messages import ReceivedMessage, response, status
from tests.support.scripted_upstream import Upstream, never_respond

if TYPE_CHECKING:
    from tests.support.fixture_types import StartProxy

UNREAD_BYTES = 400_000

# No attempt may begin later than this after its client has closed the connection.
NOTICE_TIME_S = 0.1


async def test_pipelined_requests_are_answered_when_buffers_are_full(start_proxy: StartProxy) -> None:
    """Guards against whole requests that are dropped together with the input that exceeds the buffers."""
    client_count, request_count = 16, 20
    harness = await start_proxy(
        Upstream(), process_limits={"memory_mb": 32, "sockets": 1024}, limits={"attemptsCap": 3}
    )
    clients = [await harness.connect_client() for _ in range(client_count)]
    for client in clients:
        for _ in range(request_count):
            client.send("/pay/x", b"x" * 16_000)
    statuses = await asyncio.gather(*[client.read_statuses(request_count) for client in clients])
    assert {code for client_statuses in statuses for code in client_statuses} <= {200, 503}


@pytest.mark.parametrize("body", [b"", b"x" * 2_000])
async def test_time_of_pipelined_request_runs_from_its_arrival(start_proxy: StartProxy, body: bytes) -> None:
    """Guards against requests that get their whole time again when they are parsed."""
    request_count = 60
    upstream = Upstream(never_respond)
    harness = await start_proxy(upstream)
    client = await harness.connect_client()
    path = "/pay/x" if body else "/read/x"
    client.send(path, body, deadline="600m", x_request_id="first")
    for _ in range(request_count):
        client.send(path, body, deadline="300m")
    assert set(await client.read_statuses(1 + request_count)) <= {502, 503}
    assert {request.headers["x-request-id"] for request in upstream.received} == {"first"}


async def test_no_request_begins_after_client_left_with_unread_input(start_proxy: StartProxy) -> None:
    """Guards against requests of a client that has gone: the end of its input follows much unread input."""
    client_left = asyncio.Event()

    async def fail_once_client_left(_: ReceivedMessage, writer: asyncio.StreamWriter) -> None:
        await client_left.wait()
        writer.write(response(500))

    upstreams = [Upstream(fail_once_client_left) for _ in range(2)]
    harness = await start_proxy(*upstreams)
    client = harness.connect_socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2 * UNREAD_BYTES)
    requests = [request_bytes("/read", number) for number in range(UNREAD_BYTES // 75)]
    client.setblocking(False)  # noqa: FBT003  the only parameter of the method
    await asyncio.get_running_loop().sock_sendall(client, b"".join(requests))
    async with asyncio.timeout(5):
        await asyncio.wait(
            [asyncio.ensure_future(upstream.request_received.wait()) for upstream in upstreams],
            return_when=asyncio.FIRST_COMPLETED,
        )
    client.close()
    await asyncio.sleep(NOTICE_TIME_S)
    begun_count = sum(len(upstream.received) for upstream in upstreams)
    client_left.set()
    assert status(await harness.send_request("/pay/x", b"x", x_request_id="last")) in (200, 502)
    received = [request for upstream in upstreams for request in upstream.received]
    ids = [request.headers["x-request-id"] for request in received]
    assert len([request_id for request_id in ids if request_id != "last"]) == begun_count


async def test_input_behind_an_open_request_is_bounded(start_proxy: StartProxy) -> None:
    """Guards against unbounded work at a shutdown: beyond the bound requests are rejected."""
    upstream = Upstream(never_respond)
    harness = await start_proxy(upstream)
    budget = harness.proxy.budget
    client = await harness.connect_client()
    client.send()
    await upstream.request_received.wait()
    health_check = b"GET /healthz HTTP/1.1\r\n\r\n"
    count = 3 * MAX_UNHANDLED_BYTES // len(health_check)
    client.writer.write(health_check * count)
    peak_bytes = 0
    for _ in range(1_000):
        peak_bytes = max(peak_bytes, budget.held_bytes[HeldKind.INPUT])
        await asyncio.sleep(0)
    assert peak_bytes <= MAX_UNHANDLED_BYTES + READ_BYTES
    upstream.writers[0].write(response())
    assert status(await client.read_response()) == 200
    assert set(await client.read_statuses(count)) == {503}
