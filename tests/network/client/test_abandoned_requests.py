"""Requests that are delayed, queued or waiting for a connection are not sent once the client disconnects."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING, Any

import pytest

from loadbalancer.actions import Action, SetTimer, StartAttempt
from loadbalancer.events import ClientDisconnected, Event, RequestReceived, TimerFired
from loadbalancer.network.client.context import READ_BYTES
from loadbalancer.timers import HedgeTimer
from tests.support.disconnecting_clients import (
    HEDGING_LIMITS,
    DelayedConnects,
    request_bytes,
    skip_reuse_delay,
    wait_until_idle,
)
from tests.support.http_messages import ReceivedMessage, response, status
from tests.support.policy_hooks import before_event, replace_policy
from tests.support.scripted_upstream import Upstream, never_respond
from tests.support.waiting import wait_until

if TYPE_CHECKING:
    from tests.support.fixture_types import StartProxy
    from tests.support.proxy_harness import ProxyHarness


async def test_disconnect_during_policy_delay_prevents_connect(
    start_proxy: StartProxy,
) -> None:
    """The policy's timer starts the attempt before the event loop has read the disconnect."""
    upstream = Upstream()
    harness = await start_proxy(upstream)
    client = harness.connect_socket()

    def delay_attempt(event: Event, now: float) -> list[Action]:
        if isinstance(event, RequestReceived):
            return [SetTimer(now, HedgeTimer(event.request_id))]
        if isinstance(event, TimerFired) and isinstance(event.timer, HedgeTimer):
            client.close()
            return [StartAttempt(event.timer.request_id, "s0", 1_000.0)]
        return []

    replace_policy(harness, delay_attempt)
    client.sendall(request_bytes("/read", 1))
    await wait_until(lambda: client.fileno() < 0, "the client has disconnected")
    await wait_until_idle(harness)
    assert not upstream.connection_count


async def test_disconnect_while_retry_connects_prevents_retry(
    start_proxy: StartProxy,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The client disconnects as the connection of the retry is established."""

    async def respond_by_class(received: ReceivedMessage, writer: Any) -> None:
        is_rejected = received.headers["x-class"] == "pay"
        writer.write(response(503, b"", "X-Not-Run: 1") if is_rejected else response())

    upstreams = Upstream(respond_by_class), Upstream(respond_by_class)
    harness = await start_proxy(*upstreams)
    while not all(upstream.received for upstream in upstreams):
        assert status(await harness.send_request()) == 200
    skip_reuse_delay(harness)
    client, connects = harness.connect_socket(), DelayedConnects(monkeypatch)
    connects.on_established = client.close
    connects.allowed.set()
    client.sendall(request_bytes("/pay", 1, b"debit"))
    await wait_until(lambda: client.fileno() < 0, "the client has disconnected")
    await wait_until_idle(harness)
    assert status(await harness.send_request()) == 200  # every earlier request has arrived by now
    received = [request.headers["x-class"] for upstream in upstreams for request in upstream.received]
    assert received.count("pay") == 1


async def test_disconnect_before_pipelined_request_prevents_attempt(
    start_proxy: StartProxy,
) -> None:
    upstream = Upstream()
    harness = await start_proxy(upstream)
    client = harness.connect_socket()
    arrived_ids = list[int]()

    def disconnect_at_second_request(event: RequestReceived) -> None:
        arrived_ids.append(event.request_id)
        if len(arrived_ids) == 2:
            skip_reuse_delay(harness)
            client.close()

    before_event(harness, RequestReceived, disconnect_at_second_request)
    client.sendall(request_bytes("/read", 1) + request_bytes("/read", 2))
    await wait_until(
        lambda: len(arrived_ids) >= 2, "the policy has received both requests", state=lambda: arrived_ids
    )
    await wait_until_idle(harness)
    assert status(await harness.send_request()) == 200  # every earlier request has arrived by now
    assert [request.headers["x-request-id"] for request in upstream.received].count("2") == 0


async def connect_without_reading_response(harness: ProxyHarness) -> socket.socket:
    """Return a client that has sent two requests and has not read the response to the first."""
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    client.connect(harness.proxy.listener.address[:2])
    (connection,) = await wait_until(lambda: harness.proxy.listener.connections, "the client is accepted")
    transport = await wait_until(lambda: connection.transport, "the connection is set up")
    transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
    client.sendall(request_bytes("/read", 1) + request_bytes("/read", 2))
    await wait_until(transport.get_write_buffer_size, "part of the response is in the write buffer")
    client.settimeout(0.0)
    return client


async def test_pipelined_request_starts_once_previous_response_is_read(
    start_proxy: StartProxy,
) -> None:
    """The next request must be sent to the upstream without further bytes from the client."""
    upstream = Upstream(response(200, b"x" * 60_000), response(200, b"the second"))
    harness = await start_proxy(upstream)
    client, received_bytes = await connect_without_reading_response(harness), b""
    while not received_bytes.endswith(b"the second"):
        received_bytes += await asyncio.get_running_loop().sock_recv(client, 65_536)
    client.close()


async def test_disconnect_with_unread_response_drops_pipelined_request(
    start_proxy: StartProxy,
) -> None:
    """If the disconnect did not drop the queued request, it would be sent once the response is read."""
    upstream = Upstream(response(200, b"x" * 60_000))
    harness = await start_proxy(upstream)
    client = await connect_without_reading_response(harness)
    (connection,) = harness.proxy.listener.connections
    client.shutdown(socket.SHUT_WR)
    await wait_until(
        lambda: connection.transport and connection.transport.is_closing(), "the connection closes"
    )
    while await asyncio.get_running_loop().sock_recv(client, 65_536):
        pass
    client.close()
    assert status(await harness.send_request()) == 200  # every earlier request has arrived by now
    assert [request.headers["x-request-id"] for request in upstream.received].count("2") == 0


async def test_disconnect_is_detected_behind_much_input(start_proxy: StartProxy) -> None:
    """The end of the connection follows more input than is parsed, or read at once."""
    upstream = Upstream(never_respond, response())
    harness = await start_proxy(upstream, tier=1)
    client = harness.connect_socket()
    request_count = 4 * READ_BYTES // 75
    client.sendall(b"".join(request_bytes("/read", number) for number in range(request_count)))
    await upstream.request_received.wait()
    client.close()
    await wait_until_idle(harness)  # although the upstream has not responded
    await upstream.connection_closed.wait()
    assert len(upstream.received) == 1


@pytest.mark.parametrize("may_cancel", [True, False])
async def test_disconnect_while_connecting_prevents_attempt(
    start_proxy: StartProxy, monkeypatch: pytest.MonkeyPatch, *, may_cancel: bool
) -> None:
    """An attempt whose request has not been sent is dropped even if attempts must not be cancelled."""
    connects, upstream = DelayedConnects(monkeypatch), Upstream()
    harness = await start_proxy(upstream, limits=HEDGING_LIMITS | {"mayCancel": may_cancel})
    disconnected = asyncio.Event()
    before_event(harness, ClientDisconnected, lambda event: disconnected.set())
    client = harness.connect_socket()
    client.sendall(request_bytes("/pay", 1, b"debit"))
    await connects.connect_pending.wait()
    client.close()
    await disconnected.wait()
    connects.allowed.set()
    await wait_until_idle(harness)
    assert status(await harness.send_request()) == 200
    assert len(upstream.received) == 1


async def test_upstream_connection_outlives_client_disconnect(
    start_proxy: StartProxy,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    connects, upstream = DelayedConnects(monkeypatch), Upstream()
    harness = await start_proxy(upstream)
    client = harness.connect_socket()
    client.sendall(request_bytes("/pay", 1, b"debit"))
    await connects.connect_pending.wait()
    connects.on_established = client.close
    connects.allowed.set()
    await wait_until_idle(harness)
    connects.on_established = lambda: None
    skip_reuse_delay(harness)
    assert status(await harness.send_request()) == 200
    assert len(upstream.received) == 1
    assert upstream.connection_count == 1, "the connection carries the next request"


async def test_disconnect_prevents_retry_of_uncancellable_attempt(
    start_proxy: StartProxy,
) -> None:
    """The first attempt stays in progress, and its failure causes no retry."""

    async def record_writer(received: ReceivedMessage, writer: Any) -> None:
        writers.append(writer)
        request_received.set()

    writers, request_received = list[Any](), asyncio.Event()
    upstreams = Upstream(record_writer), Upstream(record_writer)
    harness = await start_proxy(*upstreams, limits=HEDGING_LIMITS | {"mayCancel": False})
    disconnected = asyncio.Event()
    before_event(harness, ClientDisconnected, lambda event: disconnected.set())
    client = harness.connect_socket()
    client.sendall(request_bytes("/pay", 1, b"debit"))
    await request_received.wait()
    client.close()
    await disconnected.wait()
    writers[0].write(response(503, b"", "X-Not-Run: 1"))
    await wait_until_idle(harness)
    assert sum(len(upstream.received) for upstream in upstreams) == 1


async def test_connecting_hedged_request_is_dropped_after_response(
    start_proxy: StartProxy,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The first attempt succeeds before the hedged request has a connection."""
    connects = DelayedConnects(monkeypatch, undelayed_count=1)
    upstreams = Upstream(never_respond), Upstream(never_respond)
    harness = await start_proxy(*upstreams, limits=HEDGING_LIMITS | {"mayCancel": False})
    client = await harness.connect_client()
    client.send(deadline="1200m")
    await connects.connect_pending.wait()  # the hedged request is connecting
    first_upstream = next(upstream for upstream in upstreams if upstream.received)
    first_upstream.writers[0].write(response(200, b"first"))
    assert (await client.read_response()).body == b"first"
    connects.allowed.set()
    await wait_until_idle(harness)
    other = await harness.connect_client()
    other.send(deadline="400m")
    await other.read_response()  # every earlier request has arrived by now
    received = [request.headers["x-request-id"] for upstream in upstreams for request in upstream.received]
    assert received.count(first_upstream.received[0].headers["x-request-id"]) == 1
