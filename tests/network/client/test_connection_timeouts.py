"""Idle connections and connections without a complete request are closed after a timeout."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from loadbalancer.network.client import connection_table, timeouts
from loadbalancer.network.client.accept_queue import QueueAges, measure_queue_ages
from loadbalancer.network.counters import CloseReason
from loadbalancer.network.memory_budget import HeldKind
from tests.support.busy_event_loop import block_event_loop
from tests.support.disconnecting_clients import request_bytes, wait_until_disconnected
from tests.support.http_messages import response, status
from tests.support.scripted_upstream import Upstream, never_respond
from tests.support.waiting import wait_until

if TYPE_CHECKING:
    import socket

    from tests.support.fixture_types import StartProxy


@pytest.mark.parametrize(
    ("sent", "expected_prefix"),
    [
        (b"", b""),
        (b"GET /read HT", b"HTTP/1.1 408"),
        (
            b"POST /pay HTTP/1.1\r\nX-Class: pay\r\nX-Request-Id: a1\r\nX-Deadline: 900m\r\n"
            b"Content-Length: 9\r\n\r\nx",
            b"HTTP/1.1 408",
        ),
    ],
)
async def test_connection_without_complete_request_times_out(
    start_proxy: StartProxy, sent: bytes, expected_prefix: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Clients that send no complete request are disconnected within 3 s."""
    max_duration_s = timeouts.REQUEST_TIMEOUT_S + timeouts.SWEEP_INTERVAL_S
    assert max_duration_s + timeouts.LINGER_TIMEOUT_S < 2.8
    monkeypatch.setattr(timeouts, "REQUEST_TIMEOUT_S", 0.1)

    harness = await start_proxy(Upstream())
    client = await harness.connect_client()
    client.writer.write(sent)
    assert (await client.reader.read())[:12] == expected_prefix
    client.writer.close()


@pytest.mark.parametrize("empty_lines", [b"\r\n", b"\r\n\r\n", b"\n"])
async def test_empty_line_does_not_begin_a_request(
    start_proxy: StartProxy, monkeypatch: pytest.MonkeyPatch, empty_lines: bytes
) -> None:
    """Guards against the 408 of a request that has not begun, which would answer the next one."""
    monkeypatch.setattr(timeouts, "REQUEST_TIMEOUT_S", 0.1)
    monkeypatch.setattr(timeouts, "KEEP_ALIVE_TIMEOUT_S", 0.5)
    harness = await start_proxy(Upstream())
    client = await harness.connect_client()
    client.send()
    assert status(await client.read_response()) == 200
    client.writer.write(empty_lines)
    assert await client.reader.read() == b""
    assert harness.proxy.listener.context.counters.closes[CloseReason.REQUEST_TIMEOUT] == 0
    assert harness.proxy.listener.context.counters.responses[408] == 0


async def test_request_behind_empty_line_is_served(
    start_proxy: StartProxy, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(timeouts, "REQUEST_TIMEOUT_S", 0.1)
    harness = await start_proxy(Upstream())
    client = await harness.connect_client()
    client.send()
    assert status(await client.read_response()) == 200
    client.writer.write(b"\r\n")
    for _ in range(3):
        await asyncio.sleep(0.1)
        harness.proxy.listener.eviction.sweep()
    client.send()
    assert status(await client.read_response()) == 200


async def test_time_in_accept_queue_is_measured(
    start_proxy: StartProxy, monkeypatch: pytest.MonkeyPatch
) -> None:
    harness = await start_proxy(Upstream())
    recorded = list[QueueAges]()

    def record_queue_ages(accepted: socket.socket) -> QueueAges:
        recorded.append(measure_queue_ages(accepted))
        return recorded[-1]

    monkeypatch.setattr(connection_table, "measure_queue_ages", record_queue_ages)
    client = harness.connect_socket()
    client.sendall(b"x")
    block_event_loop(0.1)
    (ages,) = await wait_until(lambda: recorded, "the client is accepted")
    assert ages.connection_age_s >= 0.05
    assert ages.request_age_s >= 0.05


async def test_open_requests_are_exempt_from_idle_timeout(
    start_proxy: StartProxy,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(timeouts, "KEEP_ALIVE_TIMEOUT_S", 0.1)
    monkeypatch.setattr(timeouts, "REQUEST_TIMEOUT_S", 0.1)

    upstream = Upstream(response(), never_respond)
    harness = await start_proxy(upstream)
    idle = await harness.connect_client()
    idle.send()
    assert status(await idle.read_response()) == 200
    upstream.request_received.clear()
    busy = await harness.connect_client()
    busy.send("/pay/x", b"debit")
    await upstream.request_received.wait()
    assert await idle.reader.read() == b""
    for _ in range(3):
        harness.proxy.listener.eviction.sweep()
        await asyncio.sleep(0.1)
    for writer in upstream.writers:
        writer.write(response(200, b"at last"))
    assert (await busy.read_response()).body == b"at last"


@pytest.mark.parametrize("spare_bytes", [1_000, 10_000_000])
async def test_client_that_reads_no_response_is_disconnected(
    start_proxy: StartProxy, monkeypatch: pytest.MonkeyPatch, spare_bytes: int
) -> None:
    """Its further requests can't be handled; if memory is short, most of them stay in the kernel."""
    loop = asyncio.get_running_loop()
    harness = await start_proxy(Upstream(response(200, b"x" * 60_000)))
    budget, listener = harness.proxy.budget, harness.proxy.listener
    client = harness.connect_socket()
    client.setblocking(False)  # noqa: FBT003  the only parameter of the method
    first_requests = [request_bytes("/read", number) for number in range(300)]
    await loop.sock_sendall(client, b"".join(first_requests))
    await wait_until(lambda: budget.held_bytes[HeldKind.UNSENT], "a response is unread")
    budget.limit_bytes = budget.used_bytes + spare_bytes
    monkeypatch.setattr(timeouts, "WRITE_STALL_TIMEOUT_S", 0.3)
    further_requests = [request_bytes("/read", number) for number in range(300, 1_000)]
    await loop.sock_sendall(client, b"".join(further_requests))
    await wait_until_disconnected(harness)
    assert listener.context.counters.closes[CloseReason.UNREAD_RESPONSE] == 1


async def test_each_connection_counts_once_with_its_first_reason(
    start_proxy: StartProxy, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A client usually closes its side too, and the response to an incomplete request is final."""
    monkeypatch.setattr(timeouts, "REQUEST_TIMEOUT_S", 0.1)
    harness = await start_proxy(Upstream())
    for sent in (b"GET /read HT", b"GET /unknown HTTP/1.1\r\n\r\n"):
        client = await harness.connect_client()
        client.writer.write(sent)
        assert await client.reader.read()
        client.writer.close()
    await wait_until_disconnected(harness)
    monkeypatch.setattr(timeouts, "REQUEST_TIMEOUT_S", 3_600.0)
    leaving_client = harness.connect_socket()
    await wait_until(lambda: harness.proxy.listener.connections, "the connection is accepted")
    leaving_client.close()
    await wait_until_disconnected(harness)
    assert harness.proxy.listener.context.counters.closes == {
        CloseReason.REQUEST_TIMEOUT: 1,
        CloseReason.FINAL_RESPONSE: 1,
        CloseReason.BY_CLIENT: 1,
    }
