"""At the connection limit, new connections wait while slow and idle ones are evicted."""

from __future__ import annotations

import asyncio
import errno
import signal
import socket
import time
from typing import TYPE_CHECKING, Any

import pytest

from loadbalancer.network.client import timeouts
from tests.support.configurations import LISTEN_ON_ANY_PORT, config_text
from tests.support.http_client import Client
from tests.support.http_messages import status
from tests.support.program import running_program
from tests.support.scripted_upstream import Upstream
from tests.support.sockets import free_port
from tests.support.waiting import wait_until

if TYPE_CHECKING:
    from pathlib import Path

    from tests.support.fixture_types import StartProxy


async def test_connections_without_request_are_evicted(
    start_proxy: StartProxy,
) -> None:
    harness = await start_proxy(Upstream())
    harness.proxy.listener.connection_limit = 20
    clients = [await harness.connect_client() for _ in range(100)]
    started_at = time.monotonic()
    assert status(await harness.send_request()) == 200
    assert time.monotonic() - started_at < 3.0  # clients do not wait longer than this for a response
    for client in clients:
        assert await client.reader.read() == b""


@pytest.mark.parametrize("error_number", [errno.ECONNABORTED, errno.EPROTO, errno.EPERM])
async def test_failing_accepts_do_not_block_the_event_loop(
    start_proxy: StartProxy, monkeypatch: pytest.MonkeyPatch, error_number: int
) -> None:
    """While accept fails, connections that are open get their share of each turn."""
    harness = await start_proxy(Upstream())
    client = await harness.connect_client()
    client.send()
    assert status(await client.read_response()) == 200
    accept, failure_count, answered = socket.socket.accept, 0, asyncio.Event()

    def fail_until_answered(listening_socket: socket.socket) -> tuple[socket.socket, Any]:
        nonlocal failure_count
        if answered.is_set():
            return accept(listening_socket)
        failure_count += 1
        raise OSError(error_number, "accept failed")

    monkeypatch.setattr(socket.socket, "accept", fail_until_answered)
    waiting_client = await harness.connect_client()
    await wait_until(lambda: failure_count, "accept has failed")
    client.send()
    assert status(await client.read_response()) == 200
    answered.set()
    waiting_client.send()
    assert status(await waiting_client.read_response()) == 200


async def test_idle_connections_are_evicted_early_for_waiting_clients(start_proxy: StartProxy) -> None:
    """Without early eviction, 168 connections kept for 2 s each would allow only 84 requests per second."""
    # If a request races with the close of its connection, the client retries the request on a new one.
    assert timeouts.IDLE_TIMEOUT_UNDER_PRESSURE_S <= 0.25

    harness = await start_proxy(Upstream(), tier=1)  # tier 1 does not shed load
    harness.proxy.listener.connection_limit = 20
    clients = [await harness.connect_client() for _ in range(60)]
    for client in clients:
        client.send(deadline="4000m")
    for client in clients:
        assert status(await client.read_response()) == 200


async def test_waiting_clients_are_accepted_after_eviction(
    start_proxy: StartProxy,
) -> None:
    """Accepting is retried at intervals, not only when a connection closes."""
    harness = await start_proxy(Upstream())
    harness.proxy.listener.connection_limit = 2
    first = await harness.connect_client()
    second = await harness.connect_client()
    for client in (first, second):
        client.send()
        assert status(await client.read_response()) == 200
    # Accepted once an idle connection has been evicted.
    assert status(await harness.send_request()) == 200
    assert await first.reader.read() == b""


async def test_accepting_resumes_after_running_out_of_descriptors(tmp_path: Path) -> None:
    """The process has fewer descriptors than configured, so accepting fails for some time."""
    port = free_port()
    path = tmp_path / "config.json"
    path.write_text(config_text("127.0.0.1:9", []).replace(LISTEN_ON_ANY_PORT, f"127.0.0.1:{port}"))

    async def check_health() -> int:
        client = await Client.connect_to_program(port)
        client.writer.write(b"GET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n")
        health_status = status(await client.read_response())
        client.writer.close()
        return health_status

    async with running_program(path, descriptor_limit=40) as process:
        assert await check_health() == 200
        clients = [socket.create_connection(("127.0.0.1", port)) for _ in range(60)]
        for client in clients:
            client.close()
        assert await check_health() == 200
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0
