"""Clients are served correctly although the event loop is busy and the kernel buffers what they send."""

from __future__ import annotations

import asyncio
import os
import socket
import time
from typing import TYPE_CHECKING

from loadbalancer.network.client import graceful_shutdown, timeouts
from loadbalancer.network.client.connection import ClientConnection
from loadbalancer.network.client.connection_table import ConnectionTable
from tests.support.busy_event_loop import block_event_loop
from tests.support.disconnecting_clients import request_bytes
from tests.support.http_messages import status
from tests.support.scripted_upstream import Upstream
from tests.support.waiting import wait_until

if TYPE_CHECKING:
    from collections.abc import Callable

    import pytest

    from tests.support.fixture_types import StartProxy


def set_request_timeout(monkeypatch: pytest.MonkeyPatch, timeout_s: float, sweep_interval_s: float) -> None:
    monkeypatch.setattr(timeouts, "REQUEST_TIMEOUT_S", timeout_s)
    monkeypatch.setattr(timeouts, "SWEEP_INTERVAL_S", sweep_interval_s)


def set_timeouts_under_pressure(monkeypatch: pytest.MonkeyPatch, timeout_s: float) -> None:
    monkeypatch.setattr(timeouts, "REQUEST_TIMEOUT_UNDER_PRESSURE_S", timeout_s)
    monkeypatch.setattr(timeouts, "IDLE_TIMEOUT_UNDER_PRESSURE_S", timeout_s)


def before_each_timeout_check(
    monkeypatch: pytest.MonkeyPatch, callback: Callable[[ClientConnection, float], None]
) -> None:
    """Call a function, with a connection and the current time, before each check of its timeouts."""
    close_if_timed_out = ClientConnection.close_if_timed_out

    def call_then_check(
        connection: ClientConnection, now: float, limits: timeouts.ConnectionTimeouts
    ) -> bool:
        callback(connection, now)
        return close_if_timed_out(connection, now, limits)

    monkeypatch.setattr(ClientConnection, "close_if_timed_out", call_then_check)


def has_request_timed_out(connection: ClientConnection, now: float) -> bool:
    return now - connection.request_started_at >= timeouts.REQUEST_TIMEOUT_S


def delay_connection_setup(monkeypatch: pytest.MonkeyPatch) -> asyncio.Event:
    """Delay the setup of each accepted connection until the returned event is set."""
    setup_allowed = asyncio.Event()
    set_up_connection = ConnectionTable.set_up_connection

    async def delayed_set_up_connection(
        connections: ConnectionTable, connection: ClientConnection, accepted: socket.socket
    ) -> None:
        await setup_allowed.wait()
        await set_up_connection(connections, connection, accepted)

    monkeypatch.setattr(ConnectionTable, "set_up_connection", delayed_set_up_connection)
    return setup_allowed


def send_without_event_loop(client: socket.socket, data: bytes) -> None:
    """Send immediately on a socket that belongs to a transport."""
    with socket.socket(fileno=os.dup(client.fileno())) as duplicate:
        duplicate.sendall(data)


async def test_connection_set_up_at_end_of_shutdown_gets_response(
    start_proxy: StartProxy,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The request must be read, not reset, although the event loop is busy as the shutdown ends."""
    monkeypatch.setattr(graceful_shutdown, "SHUTDOWN_ACCEPT_S", 0.0)
    monkeypatch.setattr(graceful_shutdown, "SHUTDOWN_KEEP_ALIVE_S", 0.0)
    monkeypatch.setattr(graceful_shutdown, "SHUTDOWN_MAX_DEADLINE_S", 0.05)

    harness = await start_proxy(Upstream())
    setup_allowed = delay_connection_setup(monkeypatch)
    listener = harness.proxy.listener
    client = harness.connect_socket()
    client.sendall(request_bytes("/read", 1))
    await wait_until(lambda: listener.connections, "the client is accepted")
    abort_open_requests = harness.proxy.abort_open_requests

    def abort_then_block_loop() -> None:
        abort_open_requests()
        setup_allowed.set()
        block_duration_s = 2 * timeouts.ACCEPT_RETRY_INTERVAL_S
        asyncio.get_running_loop().call_soon(time.sleep, block_duration_s)

    monkeypatch.setattr(harness.proxy, "abort_open_requests", abort_then_block_loop)
    await listener.shut_down()
    client.settimeout(0.0)  # the shutdown has ended, so nothing more can arrive
    assert client.recv(65_536).startswith(b"HTTP/1.1 503 ")
    assert client.recv(1) == b""


async def test_error_responses_are_sent_once_loop_runs_again(
    start_proxy: StartProxy,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The request timeout includes the time in the accept queue."""
    set_request_timeout(monkeypatch, 0.2, sweep_interval_s=0.02)

    sweeps = set[float]()
    before_each_timeout_check(monkeypatch, lambda _, now: sweeps.add(now))
    upstream = Upstream()
    harness = await start_proxy(upstream)
    await asyncio.sleep(0)  # let the listener start to accept and sweep
    expected_prefixes = {
        b"BAD\r\n\r\n": b"HTTP/1.1 400 ",
        b"": b"",
        b"GET /read HT": b"HTTP/1.1 408 ",
        request_bytes("/read", 1)[:-2]: b"HTTP/1.1 408 ",
        request_bytes("/pay", 2, b"debit")[:-1]: b"HTTP/1.1 408 ",
    }
    clients = [harness.connect_socket() for _ in expected_prefixes]
    for client, sent in zip(clients, expected_prefixes, strict=True):
        client.sendall(sent)
    block_event_loop(0.3)
    for client in clients:
        client.settimeout(0.0)
    loop = asyncio.get_running_loop()
    replies = [await loop.sock_recv(client, 65_536) for client in clients]
    for reply, prefix in zip(replies, expected_prefixes.values(), strict=True):
        assert reply.startswith(prefix)
        assert bool(reply) == bool(prefix)
    # If the timeout started when the connection is accepted, there would be ten sweeps.
    assert len(sweeps) <= 6
    assert not upstream.connection_count


async def test_client_sending_single_bytes_times_out(
    start_proxy: StartProxy,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each timeout check finds an unread byte, which must not extend the timeout."""
    set_request_timeout(monkeypatch, 0.05, sweep_interval_s=0.01)

    checks = list[float]()
    harness = await start_proxy(Upstream())
    client = harness.connect_socket()
    client.sendall(b"GET /read?")

    def send_byte(connection: ClientConnection, now: float) -> None:
        if has_request_timed_out(connection, now) and not connection.discards_input:
            checks.append(now)
            client.send(b"x")

    before_each_timeout_check(monkeypatch, send_byte)
    client.settimeout(0.0)
    reply = await asyncio.get_running_loop().sock_recv(client, 65_536)
    assert reply.startswith(b"HTTP/1.1 408 ")
    assert len(checks) <= 4


async def test_request_completed_before_last_timeout_check_is_served(
    start_proxy: StartProxy,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    set_request_timeout(monkeypatch, 0.05, sweep_interval_s=0.01)

    remainders = [request_bytes("/read", 1)[-2:], request_bytes("/read", 2)[-2:]]
    harness = await start_proxy(Upstream())
    client = await harness.connect_client()
    client.writer.write(request_bytes("/read", 1)[:-2])
    client_socket = client.writer.transport.get_extra_info("socket")

    def send_remainder(connection: ClientConnection, now: float) -> None:
        if connection.is_awaiting_request() and has_request_timed_out(connection, now) and remainders:
            send_without_event_loop(client_socket, remainders.pop())

    before_each_timeout_check(monkeypatch, send_remainder)
    assert status(await client.read_response()) == 200
    client.writer.write(request_bytes("/read", 2)[:-2])  # each request has its own timeout
    assert status(await client.read_response()) == 200


async def test_connection_with_arriving_request_is_not_evicted(
    start_proxy: StartProxy,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """One connection is not set up, another has an unread request, and a third waits to be accepted."""
    set_timeouts_under_pressure(monkeypatch, 60.0)

    harness = await start_proxy(Upstream())
    listener = harness.proxy.listener
    listener.connection_limit = 2
    idle = await harness.connect_client()
    idle.send()
    assert status(await idle.read_response()) == 200
    setup_allowed = delay_connection_setup(monkeypatch)
    accepted = harness.connect_socket()
    accepted.sendall(request_bytes("/read", 1))
    await wait_until(
        lambda: len(listener.connections) >= 2,
        "both clients are accepted",
        state=lambda: listener.connections,
        poll_interval_s=0.0,
    )
    waiting = harness.connect_socket()
    waiting.sendall(request_bytes("/read", 2))
    # The eviction runs before the event loop can read this request.
    send_without_event_loop(idle.writer.get_extra_info("socket"), request_bytes("/read", 3))
    set_timeouts_under_pressure(monkeypatch, 0.0)
    monkeypatch.setattr(timeouts, "MIN_EVICTION_INTERVAL_S", 0.0)
    assert not listener.accept_pending()  # this call evicts connections
    setup_allowed.set()
    assert status(await idle.read_response()) == 200
    for client in (accepted, waiting):
        client.settimeout(0.0)
        reply = await asyncio.get_running_loop().sock_recv(client, 65_536)
        assert reply.startswith(b"HTTP/1.1 200 ")
