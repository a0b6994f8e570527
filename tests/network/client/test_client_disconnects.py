"""A client that closes, resets or half-closes its connection has disconnected: no attempt begins after that.

Where it matters, idle connections to the upstreams are opened first: a request is written to an idle one in
the same turn of the event loop, so that only a look at the client's socket can keep it back.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import pytest

from loadbalancer.actions import Action, SetTimer, StartAttempt
from loadbalancer.events import AttemptFinished, ClientDisconnected, Event, RequestReceived, TimerFired
from loadbalancer.network.client import request_reader, timeouts
from loadbalancer.network.headers import MAX_BODY_BYTES
from loadbalancer.network.upstream.connection import UpstreamConnection
from loadbalancer.timers import HedgeTimer
from tests.support.configurations import entry
from tests.support.disconnecting_clients import (
    HEDGING_LIMITS,
    request_bytes,
    skip_reuse_delay,
    wait_until_disconnected,
    wait_until_idle,
)
from tests.support.http_messages import ReceivedMessage, response, status
from tests.support.policy_hooks import before_event, replace_policy
from tests.support.scripted_upstream import Upstream, never_respond, reset_connection
from tests.support.waiting import wait_until

if TYPE_CHECKING:
    from tests.support.fixture_types import StartProxy
    from tests.support.proxy_harness import ProxyHarness

Disconnect = Callable[[socket.socket], None]
NOT_RUN = response(503, b"", "X-Not-Run: 1")


def close(client: socket.socket) -> None:
    client.close()


def half_close(client: socket.socket) -> None:
    client.shutdown(socket.SHUT_WR)


def reset_by_client(client: socket.socket) -> None:
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


def close_behind_bytes(client: socket.socket) -> None:
    client.send(b"GET /re")  # peeking at one byte does not show the disconnect after it
    client.close()


WAYS_TO_DISCONNECT = pytest.mark.parametrize(
    "disconnect", [close, half_close, reset_by_client, close_behind_bytes]
)


def idempotent_request(number: int) -> bytes:
    return request_bytes("/put", number, b"keyed").replace(b"\r\n\r\n", b"\r\nIdempotency-Key: k1\r\n\r\n", 1)


def for_first_request(script: Any) -> Any:
    """Apply a script to the request with the id 1; all others succeed."""

    async def by_id(received: ReceivedMessage, writer: Any) -> None:
        if received.headers["x-request-id"] != "1":
            writer.write(response())
        elif isinstance(script, bytes):
            writer.write(script)
        else:
            await script(received, writer)

    return by_id


async def open_idle_connections(harness: ProxyHarness, monkeypatch: pytest.MonkeyPatch) -> None:
    """Open an idle connection to each upstream, for first attempts and retries."""
    while not all(upstream.received for upstream in harness.upstreams):
        assert status(await harness.send_request()) == 200
    monkeypatch.setattr(harness.proxy.upstream_pools, "close_idle_connections", lambda server: None)
    skip_reuse_delay(harness)


def ids_of_attempts(harness: ProxyHarness) -> list[str]:
    """Return the id of each request that an upstream has received, in no particular order."""
    return [
        request.headers["x-request-id"] for upstream in harness.upstreams for request in upstream.received
    ]


async def ids_received(harness: ProxyHarness) -> list[str]:
    """Return the ids of the test's own requests that upstreams received, once all in flight have arrived."""
    skip_reuse_delay(harness)
    assert status(await harness.send_request()) == 200
    ids = ids_of_attempts(harness)
    return sorted(name for name in ids if len(name) < 8)


@WAYS_TO_DISCONNECT
async def test_not_sent_when_the_client_disconnects_before_its_connection_is_accepted(
    start_proxy: StartProxy, disconnect: Disconnect, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The event loop is busy until the kernel holds connection, request and disconnect."""
    harness = await start_proxy(Upstream())
    await open_idle_connections(harness, monkeypatch)
    client = harness.connect_socket()
    client.sendall(request_bytes("/read", 1))
    disconnect(client)
    await harness.send_request()  # its connection was opened later
    await wait_until_disconnected(harness)
    assert await ids_received(harness) == []


@WAYS_TO_DISCONNECT
async def test_not_sent_when_the_client_disconnects_while_the_policy_delays_the_request(
    start_proxy: StartProxy, disconnect: Disconnect, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The disconnect arrives while the event loop is busy, and is unread as the policy's timer fires."""
    harness = await start_proxy(Upstream())
    await open_idle_connections(harness, monkeypatch)
    client, disconnected = harness.connect_socket(), asyncio.Event()

    def hold(event: Event, now: float) -> list[Action]:
        if isinstance(event, RequestReceived):
            return [SetTimer(now, HedgeTimer(event.request_id))]
        if isinstance(event, TimerFired) and isinstance(event.timer, HedgeTimer):
            disconnect(client)
            return [StartAttempt(event.timer.request_id, "s0", 1_000.0)]
        if isinstance(event, ClientDisconnected):
            disconnected.set()
        return []

    handle = replace_policy(harness, hold)
    client.sendall(request_bytes("/read", 1))
    await disconnected.wait()
    await wait_until_idle(harness)
    replace_policy(harness, handle)
    assert await ids_received(harness) == []


@WAYS_TO_DISCONNECT
@pytest.mark.parametrize(
    ("request_bytes", "script"),
    [
        (request_bytes("/pay", 1, b"debit"), NOT_RUN),
        (request_bytes("/read", 1), response(500)),
        (request_bytes("/read", 1), reset_connection),
        (idempotent_request(1), response(500)),  # a retry with an idempotency key
        (idempotent_request(1), reset_connection),
    ],
    ids=["503", "500", "reset", "keyed 500", "keyed reset"],
)
async def test_not_retried_when_the_client_disconnects_as_its_attempt_fails(
    start_proxy: StartProxy,
    request_bytes: bytes,
    script: Any,
    disconnect: Disconnect,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The client disconnects as its first attempt fails, when a retry would be written immediately."""
    harness = await start_proxy(Upstream(for_first_request(script)), Upstream(for_first_request(script)))
    await open_idle_connections(harness, monkeypatch)
    client, ends = harness.connect_socket(), list[AttemptFinished]()

    def disconnect_once(event: AttemptFinished) -> None:
        ends.append(event)
        if len(ends) == 1:
            disconnect(client)

    before_event(harness, AttemptFinished, disconnect_once)
    client.sendall(request_bytes)
    await wait_until(lambda: ends, "the client has disconnected")
    await wait_until_idle(harness)
    assert await ids_received(harness) == ["1"]


async def test_the_same_failures_are_retried_while_the_client_stays(
    start_proxy: StartProxy, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Shows that in the test above only the disconnect prevents the retry."""
    script = for_first_request(response(500))
    harness = await start_proxy(Upstream(script), Upstream(script))
    await open_idle_connections(harness, monkeypatch)
    client = harness.connect_socket()
    client.sendall(request_bytes("/read", 1))
    await wait_until(
        lambda: ids_of_attempts(harness).count("1") >= 2,
        "the request is hedged",
        state=lambda: ids_of_attempts(harness),
    )
    client.close()


def record_hedge_timers(harness: ProxyHarness) -> list[HedgeTimer]:
    """Return a list to which every hedge timer that the policy sets is appended."""
    timers = list[HedgeTimer]()

    def record_and_handle(event: Event, now: float) -> list[Action]:
        actions = handle(event, now)
        timers.extend(a.timer for a in actions if isinstance(a, SetTimer) and isinstance(a.timer, HedgeTimer))
        return actions

    handle = replace_policy(harness, record_and_handle)
    return timers


@pytest.mark.parametrize("disconnect", [None, close, half_close, reset_by_client, close_behind_bytes])
async def test_hedged_request_is_sent_only_while_the_client_is_connected(
    start_proxy: StartProxy, disconnect: Disconnect | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The hedge timer fires before the event loop has read the disconnect."""
    script = for_first_request(never_respond)
    harness = await start_proxy(Upstream(script), Upstream(script), limits=HEDGING_LIMITS)
    await open_idle_connections(harness, monkeypatch)
    client, timers = harness.connect_socket(), record_hedge_timers(harness)
    client.sendall(request_bytes("/read", 1))
    await wait_until(lambda: timers, "the policy has set a hedge timer")
    if disconnect is not None:
        disconnect(client)
    harness.proxy.dispatcher.dispatch(TimerFired(timers[0]))
    assert await ids_received(harness) == ["1"] * (1 if disconnect else 2)


async def test_no_hedged_request_after_a_disconnect_where_attempts_must_not_be_cancelled(
    start_proxy: StartProxy,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The request stays open until its first attempt ends, and meanwhile its hedge timer fires."""
    script = for_first_request(never_respond)
    harness = await start_proxy(
        Upstream(script), Upstream(script), limits=HEDGING_LIMITS | {"mayCancel": False}
    )
    await open_idle_connections(harness, monkeypatch)
    client, timers, disconnected = harness.connect_socket(), record_hedge_timers(harness), asyncio.Event()
    before_event(harness, ClientDisconnected, lambda event: disconnected.set())
    client.sendall(request_bytes("/read", 1))
    await wait_until(lambda: timers, "the policy has set a hedge timer")
    client.close()
    await disconnected.wait()
    harness.proxy.dispatcher.dispatch(TimerFired(timers[0]))
    assert harness.proxy.open_requests, "the first attempt is still in progress"
    assert await ids_received(harness) == ["1"]


@WAYS_TO_DISCONNECT
@pytest.mark.parametrize("may_cancel", [True, False])
async def test_pipelined_requests_are_not_sent_after_a_disconnect(
    start_proxy: StartProxy, disconnect: Disconnect, monkeypatch: pytest.MonkeyPatch, *, may_cancel: bool
) -> None:
    """If the first attempt continues, its response must not start the next request."""
    upstream = Upstream(for_first_request(never_respond))
    harness = await start_proxy(upstream, limits=HEDGING_LIMITS | {"mayCancel": may_cancel})
    await open_idle_connections(harness, monkeypatch)
    disconnected = asyncio.Event()
    before_event(harness, ClientDisconnected, lambda event: disconnected.set())
    client = harness.connect_socket()
    client.sendall(request_bytes("/read", 1) + request_bytes("/read", 2) + request_bytes("/read", 3))
    await wait_until(
        lambda: upstream.received[-1].headers["x-request-id"] == "1",
        "the upstream has received the first request",
    )
    disconnect(client)
    await disconnected.wait()
    for writer in upstream.writers:
        writer.write(response())
    await wait_until_idle(harness)
    assert await ids_received(harness) == ["1"]


@WAYS_TO_DISCONNECT
async def test_not_retried_after_a_disconnect_while_reading_is_paused(
    start_proxy: StartProxy, disconnect: Disconnect, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The disconnect follows unread requests, and the sweep has not checked the connection."""
    monkeypatch.setattr(timeouts, "SWEEP_INTERVAL_S", 3_600.0)

    async def fail_later(received: ReceivedMessage, writer: Any) -> None:
        failing.append(writer)

    failing = list[Any]()
    harness = await start_proxy(
        Upstream(for_first_request(fail_later)), Upstream(for_first_request(fail_later)), tier=1
    )
    await open_idle_connections(harness, monkeypatch)
    client = harness.connect_socket()
    many = 2 * request_reader.MAX_PIPELINED_REQUESTS + request_reader.SLICE_BYTES // 50
    client.sendall(b"".join(request_bytes("/read", number) for number in range(1, many)))
    await wait_until(
        lambda: failing and any(c.is_reading_paused for c in harness.proxy.listener.connections),
        "an attempt is in progress and the balancer pauses reading",
        state=lambda: failing,
    )
    before_event(harness, AttemptFinished, lambda event: None if client.fileno() < 0 else disconnect(client))
    failing[0].write(response(500))
    await wait_until_idle(harness)
    await wait_until_disconnected(harness)
    assert await ids_received(harness) == ["1"]


@pytest.mark.parametrize("may_cancel", [True, False])
async def test_request_is_withdrawn_when_the_client_disconnects_while_its_body_is_written(
    start_proxy: StartProxy, monkeypatch: pytest.MonkeyPatch, *, may_cancel: bool
) -> None:
    """The upstream does not get the last byte, so it does not process the request."""
    made, connection_made = list[UpstreamConnection](), UpstreamConnection.connection_made

    def connect_with_small_buffer(connection: UpstreamConnection, transport: asyncio.BaseTransport) -> None:
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
        made.append(connection)
        connection_made(connection, transport)

    monkeypatch.setattr(UpstreamConnection, "connection_made", connect_with_small_buffer)

    loop = asyncio.get_running_loop()
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        listener.settimeout(0.0)
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        harness = await start_proxy(
            extra_entries=[entry("s0", address)], limits=HEDGING_LIMITS | {"mayCancel": may_cancel}
        )
        client, disconnected = harness.connect_socket(), asyncio.Event()
        before_event(harness, ClientDisconnected, lambda event: disconnected.set())
        client.settimeout(0.0)
        await loop.sock_sendall(client, request_bytes("/pay", 1, b"x" * MAX_BODY_BYTES))
        await wait_until(lambda: made and made[0].unsent_bytes, "a part of the body waits to be sent")
        client.close()
        await disconnected.wait()
        upstream, got = (await loop.sock_accept(listener))[0], b""
        with upstream:
            while part := await loop.sock_recv(upstream, MAX_BODY_BYTES):
                got += part
        head, _, body = got.partition(b"\r\n\r\n")
        assert head.startswith(b"POST /pay ")
        assert len(body) < MAX_BODY_BYTES
        assert not harness.proxy.open_requests
