"""A client that closes, resets or half-closes its connection has disconnected: no attempt begins after that.

Where it matters, idle connections to the upstreams are opened first: a request is written to an idle one in
the same turn of the event loop, so that only a look at the client's socket can keep it back.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from typing import Any

import pytest

from loadbalancer.actions import Action, SetTimer, StartAttempt
from loadbalancer.events import AttemptFinished, ClientDisconnected, Event, RequestReceived, TimerFired
from loadbalancer.network.client import request_reader, timeouts
from loadbalancer.network.headers import MAX_BODY_BYTES
from loadbalancer.network.upstream.connection import UpstreamConnection
from loadbalancer.timers import HedgeTimer
from tests.support.disconnecting_clients import (
    HEDGING_LIMITS,
    connect_client,
    pass_reuse_delay,
    request_bytes,
    until_disconnected,
    until_idle,
)
from tests.support.loopback import (
    ReceivedMessage,
    Rig,
    Upstream,
    entry,
    never_respond,
    reset,
    response,
    status,
)
from tests.support.policy_hooks import before_event, replace_policy
from tests.support.waiting import wait_until

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
    client.send(b"GET /re")  # looking at the first byte alone does not show the end behind it
    client.close()


WAYS_TO_DISCONNECT = pytest.mark.parametrize(
    "disconnect", [close, half_close, reset_by_client, close_behind_bytes]
)


def idempotent_request(number: int) -> bytes:
    return request_bytes("/put", number, b"keyed").replace(b"\r\n\r\n", b"\r\nIdempotency-Key: k1\r\n\r\n", 1)


def for_first_request(script: Any) -> Any:
    """Applies a script to the request with the id 1; all others succeed."""

    async def by_id(received: ReceivedMessage, writer: Any) -> None:
        if received.headers["x-request-id"] != "1":
            writer.write(response())
        elif isinstance(script, bytes):
            writer.write(script)
        else:
            await script(received, writer)

    return by_id


async def open_idle_connections(rig: Rig, monkeypatch: pytest.MonkeyPatch) -> None:
    """Have an idle connection to each upstream, which retries use as well."""
    while not all(upstream.received for upstream in rig.upstreams):
        assert status(await rig.send_request()) == 200
    monkeypatch.setattr(rig.proxy.upstreams, "close_idle_connections", lambda server: None)
    pass_reuse_delay(rig)


def ids_of_attempts(rig: Rig) -> list[str]:
    """The id of each request that an upstream has received, in no particular order."""
    return [request.headers["x-request-id"] for upstream in rig.upstreams for request in upstream.received]


async def ids_received(rig: Rig) -> list[str]:
    """The ids of the test's own requests that reached upstreams, once all in flight have arrived."""
    pass_reuse_delay(rig)
    assert status(await rig.send_request()) == 200
    ids = ids_of_attempts(rig)
    return sorted(name for name in ids if len(name) < 8)


@WAYS_TO_DISCONNECT
async def test_not_sent_when_the_client_disconnects_before_its_connection_is_accepted(
    disconnect: Disconnect, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The event loop is busy: connection, request and end all wait in the kernel when it polls again."""
    async with Rig(Upstream()) as rig:
        await open_idle_connections(rig, monkeypatch)
        client = connect_client(rig)
        client.sendall(request_bytes("/read", 1))
        disconnect(client)
        await rig.send_request()  # its connection came later
        await until_disconnected(rig)
        assert await ids_received(rig) == []


@WAYS_TO_DISCONNECT
async def test_not_sent_when_the_client_disconnects_while_the_policy_delays_the_request(
    disconnect: Disconnect, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The end came while the event loop was busy: it has not been read when the policy's timer fires."""
    async with Rig(Upstream()) as rig:
        await open_idle_connections(rig, monkeypatch)
        client, left = connect_client(rig), asyncio.Event()

        def hold(event: Event, now: float) -> list[Action]:
            if isinstance(event, RequestReceived):
                return [SetTimer(now, HedgeTimer(event.request_id))]
            if isinstance(event, TimerFired) and isinstance(event.timer, HedgeTimer):
                disconnect(client)
                return [StartAttempt(event.timer.request_id, "s0", 1_000.0)]
            if isinstance(event, ClientDisconnected):
                left.set()
            return []

        handle = replace_policy(rig, hold)
        client.sendall(request_bytes("/read", 1))
        await left.wait()
        await until_idle(rig)
        replace_policy(rig, handle)
        assert await ids_received(rig) == []


@WAYS_TO_DISCONNECT
@pytest.mark.parametrize(
    ("request_bytes", "script"),
    [
        (request_bytes("/pay", 1, b"debit"), NOT_RUN),
        (request_bytes("/read", 1), response(500)),
        (request_bytes("/read", 1), reset),
        (idempotent_request(1), response(500)),  # a retry with an idempotency key
        (idempotent_request(1), reset),
    ],
    ids=["503", "500", "reset", "keyed 500", "keyed reset"],
)
async def test_not_retried_when_the_client_disconnects_as_its_attempt_fails(
    request_bytes: bytes, script: Any, disconnect: Disconnect, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The client disconnects as its first attempt fails; a retry would be written at once."""
    async with Rig(Upstream(for_first_request(script)), Upstream(for_first_request(script))) as rig:
        await open_idle_connections(rig, monkeypatch)
        client, ends = connect_client(rig), list[AttemptFinished]()

        def disconnect_once(event: AttemptFinished) -> None:
            ends.append(event)
            if len(ends) == 1:
                disconnect(client)

        before_event(rig, AttemptFinished, disconnect_once)
        client.sendall(request_bytes)
        await wait_until(lambda: ends, "the client has disconnected")
        await until_idle(rig)
        assert await ids_received(rig) == ["1"]


async def test_the_same_failures_are_retried_while_the_client_stays(monkeypatch: pytest.MonkeyPatch) -> None:
    """The test above rests on it: only the disconnect keeps the retry back."""
    script = for_first_request(response(500))
    async with Rig(Upstream(script), Upstream(script)) as rig:
        await open_idle_connections(rig, monkeypatch)
        client = connect_client(rig)
        client.sendall(request_bytes("/read", 1))
        await wait_until(
            lambda: ids_of_attempts(rig).count("1") >= 2,
            "the request is hedged",
            state=lambda: ids_of_attempts(rig),
        )
        client.close()


def record_hedge_timers(rig: Rig) -> list[HedgeTimer]:
    """A list to which every hedge timer that the policy sets is appended."""
    timers = list[HedgeTimer]()

    def record_and_handle(event: Event, now: float) -> list[Action]:
        actions = handle(event, now)
        timers.extend(a.timer for a in actions if isinstance(a, SetTimer) and isinstance(a.timer, HedgeTimer))
        return actions

    handle = replace_policy(rig, record_and_handle)
    return timers


@pytest.mark.parametrize("disconnect", [None, close, half_close, reset_by_client, close_behind_bytes])
async def test_hedged_request_is_sent_only_while_the_client_is_connected(
    disconnect: Disconnect | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its timer fires before the event loop has read the client's end."""
    script = for_first_request(never_respond)
    async with Rig(Upstream(script), Upstream(script), limits=HEDGING_LIMITS) as rig:
        await open_idle_connections(rig, monkeypatch)
        client, timers = connect_client(rig), record_hedge_timers(rig)
        client.sendall(request_bytes("/read", 1))
        await wait_until(lambda: timers, "the policy has set a hedge timer")
        if disconnect is not None:
            disconnect(client)
        rig.proxy.dispatcher.dispatch(TimerFired(timers[0]))
        assert await ids_received(rig) == ["1"] * (1 if disconnect else 2)


async def test_no_hedged_request_after_a_disconnect_where_attempts_must_not_be_cancelled(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The request stays open until its first attempt ends, and meanwhile its hedge timer fires."""
    script = for_first_request(never_respond)
    async with Rig(Upstream(script), Upstream(script), limits=HEDGING_LIMITS | {"mayCancel": False}) as rig:
        await open_idle_connections(rig, monkeypatch)
        client, timers, left = connect_client(rig), record_hedge_timers(rig), asyncio.Event()
        before_event(rig, ClientDisconnected, lambda event: left.set())
        client.sendall(request_bytes("/read", 1))
        await wait_until(lambda: timers, "the policy has set a hedge timer")
        client.close()
        await left.wait()
        rig.proxy.dispatcher.dispatch(TimerFired(timers[0]))
        assert rig.proxy.open_requests, "the first attempt is still in progress"
        assert await ids_received(rig) == ["1"]


@WAYS_TO_DISCONNECT
@pytest.mark.parametrize("may_cancel", [True, False])
async def test_pipelined_requests_are_not_sent_after_a_disconnect(
    may_cancel: bool, disconnect: Disconnect, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Where the first attempt goes on, its response must not start the next request."""
    upstream = Upstream(for_first_request(never_respond))
    async with Rig(upstream, limits=HEDGING_LIMITS | {"mayCancel": may_cancel}) as rig:
        await open_idle_connections(rig, monkeypatch)
        left = asyncio.Event()
        before_event(rig, ClientDisconnected, lambda event: left.set())
        client = connect_client(rig)
        client.sendall(request_bytes("/read", 1) + request_bytes("/read", 2) + request_bytes("/read", 3))
        await wait_until(
            lambda: upstream.received[-1].headers["x-request-id"] == "1",
            "the upstream has received the first request",
        )
        disconnect(client)
        await left.wait()
        for writer in upstream.writers:
            writer.write(response())
        await until_idle(rig)
        assert await ids_received(rig) == ["1"]


@WAYS_TO_DISCONNECT
async def test_not_retried_after_a_disconnect_while_reading_is_paused(
    disconnect: Disconnect, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The end is behind requests that are not read, and the sweep has not looked at the connection."""
    monkeypatch.setattr(timeouts, "SWEEP_INTERVAL_S", 3_600.0)

    async def fail_later(received: ReceivedMessage, writer: Any) -> None:
        failing.append(writer)

    failing = list[Any]()
    async with Rig(
        Upstream(for_first_request(fail_later)), Upstream(for_first_request(fail_later)), tier=1
    ) as rig:
        await open_idle_connections(rig, monkeypatch)
        client = connect_client(rig)
        many = 2 * request_reader.MAX_PIPELINED_REQUESTS + request_reader.SLICE_BYTES // 50
        client.sendall(b"".join(request_bytes("/read", number) for number in range(1, many)))
        await wait_until(
            lambda: failing and any(c.is_reading_paused for c in rig.proxy.listener.connections),
            "an attempt is in progress and the balancer pauses reading",
            state=lambda: failing,
        )
        before_event(rig, AttemptFinished, lambda event: None if client.fileno() < 0 else disconnect(client))
        failing[0].write(response(500))
        await until_idle(rig)
        await until_disconnected(rig)
        assert await ids_received(rig) == ["1"]


@pytest.mark.parametrize("may_cancel", [True, False])
async def test_request_is_withdrawn_when_the_client_disconnects_while_its_body_is_written(
    may_cancel: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The upstream never gets the last byte, without which it does not begin to process a request."""
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
        listener.setblocking(False)
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        rig = Rig(limits=HEDGING_LIMITS | {"mayCancel": may_cancel})
        rig.entries.append(entry("s0", address))
        async with rig:
            client, left = connect_client(rig), asyncio.Event()
            before_event(rig, ClientDisconnected, lambda event: left.set())
            client.setblocking(False)
            await loop.sock_sendall(client, request_bytes("/pay", 1, b"x" * MAX_BODY_BYTES))
            await wait_until(lambda: made and made[0].unsent_bytes, "a part of the body waits to be sent")
            client.close()
            await left.wait()
            upstream, got = (await loop.sock_accept(listener))[0], b""
            with upstream:
                while part := await loop.sock_recv(upstream, MAX_BODY_BYTES):
                    got += part
            head, _, body = got.partition(b"\r\n\r\n")
            assert head.startswith(b"POST /pay ")
            assert len(body) < MAX_BODY_BYTES
            assert not rig.proxy.open_requests
