"""The request of a client that has disconnected is not sent, whether it was delayed, queued or connecting."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING, Any

import pytest

from loadbalancer.actions import Action, SetTimer, StartAttempt
from loadbalancer.events import ClientDisconnected, Event, RequestReceived, TimerFired
from loadbalancer.network.client import request_reader
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


async def test_not_sent_when_the_client_disconnects_while_the_policy_delays_the_request(
    start_proxy: StartProxy,
) -> None:
    """The policy starts the attempt from a timer, before the event loop has read the disconnect."""
    upstream = Upstream()
    harness = await start_proxy(upstream)
    client = harness.connect_socket()

    def hold(event: Event, now: float) -> list[Action]:
        if isinstance(event, RequestReceived):
            return [SetTimer(now, HedgeTimer(event.request_id))]
        if isinstance(event, TimerFired) and isinstance(event.timer, HedgeTimer):
            client.close()
            return [StartAttempt(event.timer.request_id, "s0", 1_000.0)]
        return []

    replace_policy(harness, hold)
    client.sendall(request_bytes("/read", 1))
    await wait_until(lambda: client.fileno() < 0, "the client has disconnected")
    await wait_until_idle(harness)
    assert not upstream.connections


async def test_not_retried_when_the_client_disconnects_while_the_retry_connects(
    start_proxy: StartProxy,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The client disconnects as the connection of the retry is established."""

    async def by_class(received: ReceivedMessage, writer: Any) -> None:
        is_rejected = received.headers["x-class"] == "pay"
        writer.write(response(503, b"", "X-Not-Run: 1") if is_rejected else response())

    upstreams = Upstream(by_class), Upstream(by_class)
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
    assert status(await harness.send_request()) == 200  # all that was in flight has arrived
    received = [one.headers["x-class"] for upstream in upstreams for one in upstream.received]
    assert received.count("pay") == 1


async def test_pipelined_request_is_not_sent_when_the_client_disconnects_before_it(
    start_proxy: StartProxy,
) -> None:
    upstream = Upstream()
    harness = await start_proxy(upstream)
    client = harness.connect_socket()
    arrived = list[int]()

    def disconnect_at_the_second(event: RequestReceived) -> None:
        arrived.append(event.request_id)
        if len(arrived) == 2:
            skip_reuse_delay(harness)
            client.close()

    before_event(harness, RequestReceived, disconnect_at_the_second)
    client.sendall(request_bytes("/read", 1) + request_bytes("/read", 2))
    await wait_until(lambda: len(arrived) >= 2, "the policy has got both requests", state=lambda: arrived)
    await wait_until_idle(harness)
    assert status(await harness.send_request()) == 200  # all that was in flight has arrived
    assert [one.headers["x-request-id"] for one in upstream.received].count("2") == 0


async def client_with_unread_response(harness: ProxyHarness) -> socket.socket:
    """Return a client that has sent two requests and has not read the response to the first."""
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    client.connect(harness.proxy.listener.address[:2])
    (connection,) = await wait_until(lambda: harness.proxy.listener.connections, "the client is accepted")
    transport = await wait_until(lambda: connection.transport, "the connection is set up")
    transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
    client.sendall(request_bytes("/read", 1) + request_bytes("/read", 2))
    await wait_until(transport.get_write_buffer_size, "a part of the response waits for the client")
    client.settimeout(0.0)
    return client


async def test_pipelined_request_is_processed_once_the_response_before_it_is_read(
    start_proxy: StartProxy,
) -> None:
    """Guards against a pipelined request that waits for further bytes after the response is sent."""
    upstream = Upstream(response(200, b"x" * 60_000), response(200, b"the second"))
    harness = await start_proxy(upstream)
    client, got = await client_with_unread_response(harness), b""
    while not got.endswith(b"the second"):
        got += await asyncio.get_running_loop().sock_recv(client, 65_536)
    client.close()


async def test_pipelined_request_is_not_sent_when_the_client_disconnects_behind_an_unread_response(
    start_proxy: StartProxy,
) -> None:
    """Guards against sending it once the client has read the response, although the disconnect was read."""
    upstream = Upstream(response(200, b"x" * 60_000))
    harness = await start_proxy(upstream)
    client = await client_with_unread_response(harness)
    (connection,) = harness.proxy.listener.connections
    client.shutdown(socket.SHUT_WR)
    await wait_until(
        lambda: connection.transport and connection.transport.is_closing(), "the connection closes"
    )
    while await asyncio.get_running_loop().sock_recv(client, 65_536):
        pass
    client.close()
    assert status(await harness.send_request()) == 200  # all that was in flight has arrived
    assert [one.headers["x-request-id"] for one in upstream.received].count("2") == 0


async def test_disconnect_is_noticed_while_reading_is_paused(start_proxy: StartProxy) -> None:
    """Guards against a socket that is not polled while reading is paused."""
    upstream = Upstream(never_respond, response())
    harness = await start_proxy(upstream, tier=1)
    client = harness.connect_socket()
    many = 2 * request_reader.MAX_PIPELINED_REQUESTS + request_reader.SLICE_BYTES // 50
    client.sendall(b"".join(request_bytes("/read", number) for number in range(many)))
    await upstream.request_received.wait()
    (connection,) = harness.proxy.listener.connections
    await wait_until(lambda: connection.is_reading_paused, "the balancer pauses reading")
    client.close()
    await wait_until_idle(harness)  # although the request has no response yet
    await upstream.connection_closed.wait()
    assert len(upstream.received) == 1


@pytest.mark.parametrize("may_cancel", [True, False])
async def test_not_sent_when_the_client_disconnects_while_an_upstream_connection_opens(
    start_proxy: StartProxy, monkeypatch: pytest.MonkeyPatch, *, may_cancel: bool
) -> None:
    """Guards against sending it where attempts must not be cancelled."""
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


async def test_connection_is_reused_when_the_client_disconnects_as_it_is_established(
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
    assert upstream.connections == 1, "the connection carries the next request"


async def test_not_retried_after_a_disconnect_where_attempts_must_not_be_cancelled(
    start_proxy: StartProxy,
) -> None:
    """The first attempt stays in progress, and its failure causes no retry."""

    async def fail_later(received: ReceivedMessage, writer: Any) -> None:
        failing.append(writer)
        seen.set()

    failing, seen = list[Any](), asyncio.Event()
    upstreams = Upstream(fail_later), Upstream(fail_later)
    harness = await start_proxy(*upstreams, limits=HEDGING_LIMITS | {"mayCancel": False})
    disconnected = asyncio.Event()
    before_event(harness, ClientDisconnected, lambda event: disconnected.set())
    client = harness.connect_socket()
    client.sendall(request_bytes("/pay", 1, b"debit"))
    await seen.wait()
    client.close()
    await disconnected.wait()
    failing[0].write(response(503, b"", "X-Not-Run: 1"))
    await wait_until_idle(harness)
    assert sum(len(upstream.received) for upstream in upstreams) == 1


async def test_hedged_request_that_is_still_connecting_is_not_sent_after_the_response(
    start_proxy: StartProxy,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against sending it after the other attempt has brought the response."""
    connects = DelayedConnects(monkeypatch, undelayed=1)
    upstreams = Upstream(never_respond), Upstream(never_respond)
    harness = await start_proxy(*upstreams, limits=HEDGING_LIMITS | {"mayCancel": False})
    client = await harness.client()
    client.send(deadline="1200m")
    await connects.connect_pending.wait()  # the hedged request is connecting
    first = next(upstream for upstream in upstreams if upstream.received)
    first.writers[0].write(response(200, b"first"))
    assert (await client.read_response()).body == b"first"
    connects.allowed.set()
    await wait_until_idle(harness)
    other = await harness.client()
    other.send(deadline="400m")
    await other.read_response()  # all that was in flight has arrived
    received = [one.headers["x-request-id"] for upstream in upstreams for one in upstream.received]
    assert received.count(first.received[0].headers["x-request-id"]) == 1
