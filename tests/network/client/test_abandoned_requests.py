"""A client that has disconnected: its request is not sent to an upstream, wherever it was waiting."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

import pytest

from loadbalancer.actions import Action, SetTimer, StartAttempt
from loadbalancer.events import ClientDisconnected, Event, RequestReceived, TimerFired
from loadbalancer.network.client import request_reader
from loadbalancer.timers import HedgeTimer
from tests.support.disconnecting_clients import (
    HEDGING_LIMITS,
    DelayedConnects,
    connect_client,
    pass_reuse_delay,
    request_bytes,
    until_idle,
)
from tests.support.loopback import ReceivedMessage, Rig, Upstream, never_respond, response, status
from tests.support.policy_hooks import before_event, replace_policy
from tests.support.waiting import wait_until


async def test_not_sent_when_the_client_disconnects_while_the_policy_delays_the_request() -> None:
    """The policy sends a moment later; the event loop has not read the disconnect yet."""
    upstream = Upstream()
    async with Rig(upstream) as rig:
        client = connect_client(rig)

        def hold(event: Event, now: float) -> list[Action]:
            if isinstance(event, RequestReceived):
                return [SetTimer(now, HedgeTimer(event.request_id))]
            if isinstance(event, TimerFired) and isinstance(event.timer, HedgeTimer):
                client.close()
                return [StartAttempt(event.timer.request_id, "s0", 1_000.0)]
            return []

        replace_policy(rig, hold)
        client.sendall(request_bytes("/read", 1))
        await wait_until(lambda: client.fileno() < 0, "the client has disconnected")
        await until_idle(rig)
        assert not upstream.connections


async def test_not_retried_when_the_client_disconnects_while_the_retry_connects(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The retry opens a connection of its own; the client disconnects as that is established."""

    async def by_class(received: ReceivedMessage, writer: Any) -> None:
        is_rejected = received.headers["x-class"] == "pay"
        writer.write(response(503, b"", "X-Not-Run: 1") if is_rejected else response())

    upstreams = Upstream(by_class), Upstream(by_class)
    async with Rig(*upstreams) as rig:
        while not all(upstream.received for upstream in upstreams):
            assert status(await rig.send_request()) == 200
        pass_reuse_delay(rig)
        client, connects = connect_client(rig), DelayedConnects(monkeypatch)
        connects.on_established = client.close
        connects.allowed.set()
        client.sendall(request_bytes("/pay", 1, b"debit"))
        await wait_until(lambda: client.fileno() < 0, "the client has disconnected")
        await until_idle(rig)
        assert status(await rig.send_request()) == 200  # whatever was in flight has arrived by now
        received = [one.headers["x-class"] for upstream in upstreams for one in upstream.received]
        assert received.count("pay") == 1


async def test_pipelined_request_is_not_sent_when_the_client_disconnects_before_it() -> None:
    upstream = Upstream()
    async with Rig(upstream) as rig:
        client = connect_client(rig)
        arrived = list[int]()

        def disconnect_at_the_second(event: RequestReceived) -> None:
            arrived.append(event.request_id)
            if len(arrived) == 2:
                pass_reuse_delay(rig)
                client.close()

        before_event(rig, RequestReceived, disconnect_at_the_second)
        client.sendall(request_bytes("/read", 1) + request_bytes("/read", 2))
        await wait_until(lambda: len(arrived) >= 2, "the policy has got both requests", state=lambda: arrived)
        await until_idle(rig)
        assert status(await rig.send_request()) == 200  # whatever was in flight has arrived by now
        assert [one.headers["x-request-id"] for one in upstream.received].count("2") == 0


async def client_with_unread_response(rig: Rig) -> socket.socket:
    """A client that has sent two requests and has not read the response to the first."""
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    client.connect(rig.proxy.listener.address[:2])
    (connection,) = await wait_until(lambda: rig.proxy.listener.connections, "the client is accepted")
    transport = await wait_until(lambda: connection.transport, "the connection is set up")
    transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
    client.sendall(request_bytes("/read", 1) + request_bytes("/read", 2))
    await wait_until(transport.get_write_buffer_size, "a part of the response waits for the client")
    client.setblocking(False)
    return client


async def test_pipelined_request_is_processed_once_the_response_before_it_is_read() -> None:
    """Nothing reported that the rest of the response had left: the next request waited for further bytes."""
    upstream = Upstream(response(200, b"x" * 60_000), response(200, b"the second"))
    async with Rig(upstream) as rig:
        client, got = await client_with_unread_response(rig), b""
        while not got.endswith(b"the second"):
            got += await asyncio.get_running_loop().sock_recv(client, 65_536)
        client.close()


async def test_pipelined_request_is_not_sent_when_the_client_disconnects_behind_an_unread_response() -> None:
    """The end was read, but the connection stayed until the response had left; then the next one was sent."""
    upstream = Upstream(response(200, b"x" * 60_000))
    async with Rig(upstream) as rig:
        client = await client_with_unread_response(rig)
        (connection,) = rig.proxy.listener.connections
        client.shutdown(socket.SHUT_WR)
        await wait_until(
            lambda: connection.transport and connection.transport.is_closing(), "the connection closes"
        )
        while await asyncio.get_running_loop().sock_recv(client, 65_536):
            pass
        client.close()
        assert status(await rig.send_request()) == 200  # whatever was in flight has arrived by now
        assert [one.headers["x-request-id"] for one in upstream.received].count("2") == 0


async def test_disconnect_is_noticed_while_reading_is_paused() -> None:
    """The socket was not polled any more, and all pipelined requests were sent, one after another."""
    upstream = Upstream(never_respond, response())
    async with Rig(upstream, tier=1) as rig:
        client = connect_client(rig)
        many = 2 * request_reader.MAX_PIPELINED_REQUESTS + request_reader.SLICE_BYTES // 50
        client.sendall(b"".join(request_bytes("/read", number) for number in range(many)))
        await upstream.seen.wait()
        (connection,) = rig.proxy.listener.connections
        await wait_until(lambda: connection.is_reading_paused, "the balancer pauses reading")
        client.close()
        await until_idle(rig)  # it is noticed, though its request has no response yet
        await upstream.connection_closed.wait()
        assert len(upstream.received) == 1


@pytest.mark.parametrize("may_cancel", [True, False])
async def test_not_sent_when_the_client_disconnects_while_an_upstream_connection_opens(
    may_cancel: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Where attempts must not be cancelled, it was written once the connection was established."""
    connects, upstream = DelayedConnects(monkeypatch), Upstream()
    async with Rig(upstream, limits=HEDGING_LIMITS | {"mayCancel": may_cancel}) as rig:
        left = asyncio.Event()
        before_event(rig, ClientDisconnected, lambda event: left.set())
        client = connect_client(rig)
        client.sendall(request_bytes("/pay", 1, b"debit"))
        await connects.is_waiting.wait()
        client.close()
        await left.wait()
        connects.allowed.set()
        await until_idle(rig)
        assert status(await rig.send_request()) == 200
        assert len(upstream.received) == 1


async def test_connection_is_kept_when_the_client_disconnects_as_it_is_established(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    connects, upstream = DelayedConnects(monkeypatch), Upstream()
    async with Rig(upstream) as rig:
        client = connect_client(rig)
        client.sendall(request_bytes("/pay", 1, b"debit"))
        await connects.is_waiting.wait()
        connects.on_established = client.close
        connects.allowed.set()
        await until_idle(rig)
        connects.on_established = lambda: None
        pass_reuse_delay(rig)
        assert status(await rig.send_request()) == 200
        assert len(upstream.received) == 1
        assert upstream.connections == 1, "the connection carries the next request"


async def test_not_retried_after_a_disconnect_where_attempts_must_not_be_cancelled() -> None:
    """The first attempt stays in progress; its failure causes no further one."""

    async def fail_later(received: ReceivedMessage, writer: Any) -> None:
        failing.append(writer)
        seen.set()

    failing, seen = list[Any](), asyncio.Event()
    upstreams = Upstream(fail_later), Upstream(fail_later)
    async with Rig(*upstreams, limits=HEDGING_LIMITS | {"mayCancel": False}) as rig:
        left = asyncio.Event()
        before_event(rig, ClientDisconnected, lambda event: left.set())
        client = connect_client(rig)
        client.sendall(request_bytes("/pay", 1, b"debit"))
        await seen.wait()
        client.close()
        await left.wait()
        failing[0].write(response(503, b"", "X-Not-Run: 1"))
        await until_idle(rig)
        assert sum(len(upstream.received) for upstream in upstreams) == 1


async def test_hedged_request_that_is_still_connecting_is_not_sent_after_the_response(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It was sent on after the final response, which the other attempt had brought meanwhile."""
    connects = DelayedConnects(monkeypatch, first=1)
    upstreams = Upstream(never_respond), Upstream(never_respond)
    async with Rig(*upstreams, limits=HEDGING_LIMITS | {"mayCancel": False}) as rig:
        client = await rig.client()
        client.send(deadline="1200m")
        await connects.is_waiting.wait()  # the hedged request connects
        first = next(upstream for upstream in upstreams if upstream.received)
        first.writers[0].write(response(200, b"first"))
        assert (await client.read_response()).body == b"first"
        connects.allowed.set()
        await until_idle(rig)
        other = await rig.client()
        other.send(deadline="400m")
        await other.read_response()  # whatever its outcome, all that was in flight has arrived by now
        received = [one.headers["x-request-id"] for upstream in upstreams for one in upstream.received]
        assert received.count(first.received[0].headers["x-request-id"]) == 1
