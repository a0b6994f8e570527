"""No attempt begins after a client has closed, reset or half-closed its connection.

Most tests first open idle connections to the upstreams. A request is written to an idle connection in the
same iteration of the event loop, so only a check of the client's socket can prevent it.
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
from loadbalancer.network.client import timeouts
from loadbalancer.network.client.context import READ_BYTES
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
NOT_RUN_RESPONSE = response(503, b"", "X-Not-Run: 1")


def close(client: socket.socket) -> None:
    client.close()


def half_close(client: socket.socket) -> None:
    client.shutdown(socket.SHUT_WR)


def reset_by_client(client: socket.socket) -> None:
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


def close_after_partial_request(client: socket.socket) -> None:
    client.send(b"GET /re")  # a peek at the next byte does not reveal the disconnect after it
    client.close()


WAYS_TO_DISCONNECT = pytest.mark.parametrize(
    "disconnect", [close, half_close, reset_by_client, close_after_partial_request]
)


def request_with_idempotency_key(number: int) -> bytes:
    return request_bytes("/put", number, b"keyed").replace(b"\r\n\r\n", b"\r\nIdempotency-Key: k1\r\n\r\n", 1)


def for_first_request(script: Any) -> Any:
    """Apply a script to the request with the id 1; all others succeed."""

    async def respond_by_id(received: ReceivedMessage, writer: Any) -> None:
        if received.headers["x-request-id"] != "1":
            writer.write(response())
        elif isinstance(script, bytes):
            writer.write(script)
        else:
            await script(received, writer)

    return respond_by_id


async def open_idle_connections(harness: ProxyHarness, monkeypatch: pytest.MonkeyPatch) -> None:
    """Open an idle connection to each upstream, so that attempts and retries need not connect."""
    while not all(upstream.received for upstream in harness.upstreams):
        assert status(await harness.send_request()) == 200
    monkeypatch.setattr(harness.proxy.upstream_pools, "close_idle_connections", lambda server: None)
    skip_reuse_delay(harness)


def received_ids(harness: ProxyHarness) -> list[str]:
    """Return the ids of the requests that the upstreams have received so far, in no particular order."""
    return [
        request.headers["x-request-id"] for upstream in harness.upstreams for request in upstream.received
    ]


async def final_received_ids(harness: ProxyHarness) -> list[str]:
    """Return the ids of the test's own requests that were received, once none is in flight."""
    skip_reuse_delay(harness)
    assert status(await harness.send_request()) == 200
    ids = received_ids(harness)
    return sorted(request_id for request_id in ids if len(request_id) < 8)


@WAYS_TO_DISCONNECT
async def test_disconnect_before_accept_prevents_attempt(
    start_proxy: StartProxy, disconnect: Disconnect, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The client connects, sends its request and disconnects before the event loop runs."""
    harness = await start_proxy(Upstream())
    await open_idle_connections(harness, monkeypatch)
    client = harness.connect_socket()
    client.sendall(request_bytes("/read", 1))
    disconnect(client)
    await harness.send_request()  # its connection is accepted after that of the client
    await wait_until_disconnected(harness)
    assert await final_received_ids(harness) == []


@WAYS_TO_DISCONNECT
async def test_disconnect_during_policy_delay_prevents_attempt(
    start_proxy: StartProxy, disconnect: Disconnect, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The policy's timer starts the attempt before the event loop has noticed the disconnect."""
    harness = await start_proxy(Upstream())
    await open_idle_connections(harness, monkeypatch)
    client, disconnected = harness.connect_socket(), asyncio.Event()

    def delay_attempt(event: Event, now: float) -> list[Action]:
        if isinstance(event, RequestReceived):
            return [SetTimer(now, HedgeTimer(event.request_id))]
        if isinstance(event, TimerFired) and isinstance(event.timer, HedgeTimer):
            disconnect(client)
            return [StartAttempt(event.timer.request_id, "s0", 1_000.0)]
        if isinstance(event, ClientDisconnected):
            disconnected.set()
        return []

    handle = replace_policy(harness, delay_attempt)
    client.sendall(request_bytes("/read", 1))
    await disconnected.wait()
    await wait_until_idle(harness)
    replace_policy(harness, handle)
    assert await final_received_ids(harness) == []


@WAYS_TO_DISCONNECT
@pytest.mark.parametrize(
    ("raw_request", "script"),
    [
        (request_bytes("/pay", 1, b"debit"), NOT_RUN_RESPONSE),
        (request_bytes("/read", 1), response(500)),
        (request_bytes("/read", 1), reset_connection),
        (request_with_idempotency_key(1), response(500)),  # a retry with an idempotency key
        (request_with_idempotency_key(1), reset_connection),
    ],
    ids=["503", "500", "reset", "keyed 500", "keyed reset"],
)
async def test_disconnect_as_attempt_fails_prevents_retry(
    start_proxy: StartProxy,
    raw_request: bytes,
    script: Any,
    disconnect: Disconnect,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The client disconnects as its first attempt fails; a retry would be sent immediately."""
    harness = await start_proxy(Upstream(for_first_request(script)), Upstream(for_first_request(script)))
    await open_idle_connections(harness, monkeypatch)
    client, finished_attempts = harness.connect_socket(), list[AttemptFinished]()

    def disconnect_once(event: AttemptFinished) -> None:
        finished_attempts.append(event)
        if len(finished_attempts) == 1:
            disconnect(client)

    before_event(harness, AttemptFinished, disconnect_once)
    client.sendall(raw_request)
    await wait_until(lambda: finished_attempts, "the client has disconnected")
    await wait_until_idle(harness)
    assert await final_received_ids(harness) == ["1"]


async def test_failed_attempt_is_retried_while_client_is_connected(
    start_proxy: StartProxy, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Counterpart of the test above: without a disconnect, the request is retried."""
    script = for_first_request(response(500))
    harness = await start_proxy(Upstream(script), Upstream(script))
    await open_idle_connections(harness, monkeypatch)
    client = harness.connect_socket()
    client.sendall(request_bytes("/read", 1))
    await wait_until(
        lambda: received_ids(harness).count("1") >= 2,
        "the request is retried",
        state=lambda: received_ids(harness),
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


@pytest.mark.parametrize(
    "disconnect", [None, close, half_close, reset_by_client, close_after_partial_request]
)
async def test_hedged_request_is_sent_only_while_client_is_connected(
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
    assert await final_received_ids(harness) == ["1"] * (1 if disconnect else 2)


async def test_disconnect_prevents_hedging_of_uncancellable_attempt(
    start_proxy: StartProxy,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The hedge timer fires while the first attempt, which must not be cancelled, is still in progress."""
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
    assert await final_received_ids(harness) == ["1"]


@WAYS_TO_DISCONNECT
@pytest.mark.parametrize("may_cancel", [True, False])
async def test_disconnect_drops_pipelined_requests(
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
    assert await final_received_ids(harness) == ["1"]


@WAYS_TO_DISCONNECT
async def test_disconnect_behind_much_input_prevents_retry(
    start_proxy: StartProxy, disconnect: Disconnect, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The disconnect follows more requests than are read at once, and no sweep checks the connection."""
    monkeypatch.setattr(timeouts, "SWEEP_INTERVAL_S", 3_600.0)

    async def record_writer(received: ReceivedMessage, writer: Any) -> None:
        writers.append(writer)

    writers = list[Any]()
    harness = await start_proxy(
        Upstream(for_first_request(record_writer)), Upstream(for_first_request(record_writer)), tier=1
    )
    await open_idle_connections(harness, monkeypatch)
    client = harness.connect_socket()
    end_number = 4 * READ_BYTES // 75
    client.sendall(b"".join(request_bytes("/read", number) for number in range(1, end_number)))
    await wait_until(lambda: writers, "an attempt is in progress")
    before_event(harness, AttemptFinished, lambda event: None if client.fileno() < 0 else disconnect(client))
    writers[0].write(response(500))
    await wait_until_idle(harness)
    await wait_until_disconnected(harness)
    assert await final_received_ids(harness) == ["1"]


@pytest.mark.parametrize("may_cancel", [True, False])
async def test_disconnect_while_body_is_written_aborts_request(
    start_proxy: StartProxy, monkeypatch: pytest.MonkeyPatch, *, may_cancel: bool
) -> None:
    """The upstream never receives the end of the body, so it does not process the request."""
    connections, connection_made = list[UpstreamConnection](), UpstreamConnection.connection_made

    def connect_with_small_buffer(connection: UpstreamConnection, transport: asyncio.BaseTransport) -> None:
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
        connections.append(connection)
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
        await wait_until(
            lambda: connections and connections[0].unsent_bytes, "part of the body is in the write buffer"
        )
        client.close()
        await disconnected.wait()
        upstream, received_bytes = (await loop.sock_accept(listener))[0], b""
        with upstream:
            while data := await loop.sock_recv(upstream, MAX_BODY_BYTES):
                received_bytes += data
        head, _, body = received_bytes.partition(b"\r\n\r\n")
        assert head.startswith(b"POST /pay ")
        assert len(body) < MAX_BODY_BYTES
        assert not harness.proxy.open_requests
