"""Clients of a balancer whose event loop is busy: what arrives meanwhile is found in the kernel later."""

from __future__ import annotations

import asyncio
import os
import socket
import time
from collections.abc import Callable

import pytest

from loadbalancer.network.client import graceful_shutdown, timeouts
from loadbalancer.network.client.connection import ClientConnection
from loadbalancer.network.client.connection_table import ConnectionTable
from tests.support.disconnecting_clients import connect_client, request_bytes
from tests.support.loopback import Rig, Upstream, status
from tests.support.waiting import wait_until


def set_request_timeout(monkeypatch: pytest.MonkeyPatch, timeout_s: float, sweep_interval_s: float) -> None:
    monkeypatch.setattr(timeouts, "REQUEST_TIMEOUT_S", timeout_s)
    monkeypatch.setattr(timeouts, "SWEEP_INTERVAL_S", sweep_interval_s)


def set_timeouts_under_pressure(monkeypatch: pytest.MonkeyPatch, timeout_s: float) -> None:
    monkeypatch.setattr(timeouts, "REQUEST_TIMEOUT_UNDER_PRESSURE_S", timeout_s)
    monkeypatch.setattr(timeouts, "IDLE_TIMEOUT_UNDER_PRESSURE_S", timeout_s)


def before_each_expiry_check(
    monkeypatch: pytest.MonkeyPatch, act: Callable[[ClientConnection, float], None]
) -> None:
    """Act on a connection, at a time, right before it is checked for being slow."""
    expire_if_slow = ClientConnection.expire_if_slow

    def act_then_expire(
        connection: ClientConnection, now: float, request_timeout_s: float, idle_timeout_s: float
    ) -> bool:
        act(connection, now)
        return expire_if_slow(connection, now, request_timeout_s, idle_timeout_s)

    monkeypatch.setattr(ClientConnection, "expire_if_slow", act_then_expire)


def is_past_request_timeout(connection: ClientConnection, now: float) -> bool:
    return now - connection.request_started_at >= timeouts.REQUEST_TIMEOUT_S


def delay_connection_setup(monkeypatch: pytest.MonkeyPatch) -> asyncio.Event:
    """Connections are accepted, but their transports are not set up until the event is set."""
    may_set_up = asyncio.Event()
    set_up = ConnectionTable.set_up

    async def set_up_later(
        connections: ConnectionTable, connection: ClientConnection, accepted: socket.socket
    ) -> None:
        await may_set_up.wait()
        await set_up(connections, connection, accepted)

    monkeypatch.setattr(ConnectionTable, "set_up", set_up_later)
    return may_set_up


def send_at_once(client: socket.socket, data: bytes) -> None:
    """Send on a socket that belongs to a transport, without the event loop."""
    with socket.socket(fileno=os.dup(client.fileno())) as duplicate:
        duplicate.sendall(data)


async def test_a_connection_that_is_not_set_up_at_the_end_of_the_shutdown_gets_a_response(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A busy loop uses up the last pause; if the program ended then, the unread request would be reset."""
    monkeypatch.setattr(graceful_shutdown, "SHUTDOWN_ACCEPT_S", 0.0)
    monkeypatch.setattr(graceful_shutdown, "SHUTDOWN_KEEP_ALIVE_S", 0.0)
    monkeypatch.setattr(graceful_shutdown, "SHUTDOWN_MAX_DEADLINE_S", 0.05)

    async with Rig(Upstream()) as rig:
        may_set_up = delay_connection_setup(monkeypatch)
        listener = rig.proxy.listener
        client = connect_client(rig)
        client.sendall(request_bytes("/read", 1))
        await wait_until(lambda: listener.connections, "the client is accepted")
        abort_open_requests = rig.proxy.abort_open_requests

        def abort_then_be_busy() -> None:
            abort_open_requests()
            may_set_up.set()
            busy_s = 2 * timeouts.ACCEPT_RETRY_INTERVAL_S
            asyncio.get_running_loop().call_soon(time.sleep, busy_s)

        monkeypatch.setattr(rig.proxy, "abort_open_requests", abort_then_be_busy)
        await listener.shut_down()
        client.setblocking(False)  # the process is over: what is not there now never comes
        assert client.recv(65_536).startswith(b"HTTP/1.1 503 ")
        assert client.recv(1) == b""


async def test_invalid_and_slow_clients_get_their_errors_as_soon_as_the_loop_runs_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """They connect while the loop is busy for longer than the request timeout, which counts for them."""
    set_request_timeout(monkeypatch, 0.2, sweep_interval_s=0.02)

    sweeps = set[float]()
    before_each_expiry_check(monkeypatch, lambda _, now: sweeps.add(now))
    upstream = Upstream()
    async with Rig(upstream) as rig:
        await asyncio.sleep(0)  # it listens, and sweeps from now on
        response_starts = {
            b"BAD\r\n\r\n": b"HTTP/1.1 400 ",
            b"": b"",
            b"GET /read HT": b"HTTP/1.1 408 ",
            request_bytes("/read", 1)[:-2]: b"HTTP/1.1 408 ",
            request_bytes("/pay", 2, b"debit")[:-1]: b"HTTP/1.1 408 ",
        }
        clients = [connect_client(rig) for _ in response_starts]
        for client, sent in zip(clients, response_starts, strict=True):
            client.sendall(sent)
        time.sleep(0.3)  # the loop is busy
        for client in clients:
            client.setblocking(False)
        loop = asyncio.get_running_loop()
        replies = [await loop.sock_recv(client, 65_536) for client in clients]
        for reply, start in zip(replies, response_starts.values(), strict=True):
            assert reply.startswith(start)
            assert bool(reply) == bool(start)
        # With a timeout that began when they were accepted there would be ten sweeps.
        assert len(sweeps) <= 6
        assert not upstream.connections


async def test_a_client_that_sends_single_bytes_to_a_busy_loop_times_out(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each check finds a byte that is not read yet, which must not put the timeout off."""
    set_request_timeout(monkeypatch, 0.05, sweep_interval_s=0.01)

    checks = list[float]()
    async with Rig(Upstream()) as rig:
        client = connect_client(rig)
        client.sendall(b"GET /read?")

        def send_a_byte(connection: ClientConnection, now: float) -> None:
            if is_past_request_timeout(connection, now) and not connection.discards_input:
                checks.append(now)
                client.send(b"x")

        before_each_expiry_check(monkeypatch, send_a_byte)
        client.setblocking(False)
        reply = await asyncio.get_running_loop().sock_recv(client, 65_536)
        assert reply.startswith(b"HTTP/1.1 408 ")
        assert len(checks) <= 4


async def test_the_rest_of_a_request_that_arrives_by_the_last_check_is_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    set_request_timeout(monkeypatch, 0.05, sweep_interval_s=0.01)

    rests = [request_bytes("/read", 1)[-2:], request_bytes("/read", 2)[-2:]]
    async with Rig(Upstream()) as rig:
        client = await rig.client()
        client.writer.write(request_bytes("/read", 1)[:-2])
        client_socket = client.writer.transport.get_extra_info("socket")

        def send_the_rest(connection: ClientConnection, now: float) -> None:
            if connection.is_request_pending() and is_past_request_timeout(connection, now) and rests:
                send_at_once(client_socket, rests.pop())

        before_each_expiry_check(monkeypatch, send_the_rest)
        assert status(await client.read_response()) == 200
        client.writer.write(request_bytes("/read", 2)[:-2])  # each request has a timeout of its own
        assert status(await client.read_response()) == 200


async def test_no_connection_is_evicted_while_its_request_is_arriving(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """One is not set up yet, the request of another is not read yet; a third waits to be accepted."""
    set_timeouts_under_pressure(monkeypatch, 60.0)

    async with Rig(Upstream()) as rig:
        listener = rig.proxy.listener
        listener.connection_limit = 2
        idle = await rig.client()
        idle.send()
        assert status(await idle.read_response()) == 200
        may_set_up = delay_connection_setup(monkeypatch)
        accepted = connect_client(rig)
        accepted.sendall(request_bytes("/read", 1))
        await wait_until(
            lambda: len(listener.connections) >= 2,
            "both clients are accepted",
            state=lambda: listener.connections,
            poll_interval_s=0.0,
        )
        waiting = connect_client(rig)
        waiting.sendall(request_bytes("/read", 2))
        # At once, before the loop could read it.
        send_at_once(idle.writer.get_extra_info("socket"), request_bytes("/read", 3))
        set_timeouts_under_pressure(monkeypatch, 0.0)
        monkeypatch.setattr(timeouts, "MIN_EVICTION_INTERVAL_S", 0.0)
        assert not listener.accept_pending()  # it looks for connections to evict
        may_set_up.set()
        assert status(await idle.read_response()) == 200
        for client in (accepted, waiting):
            client.setblocking(False)
            reply = await asyncio.get_running_loop().sock_recv(client, 65_536)
            assert reply.startswith(b"HTTP/1.1 200 ")
