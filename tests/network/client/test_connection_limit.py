"""At the limit of connections new ones wait, and slow and idle ones are evicted for them."""

from __future__ import annotations

import signal
import socket
import time
from pathlib import Path

from loadbalancer.network.client import timeouts
from tests.support.configurations import LISTEN_ANYWHERE
from tests.support.loopback import Client, Rig, Upstream, config_text, free_port, status
from tests.support.program import running_program


async def test_silent_connections_are_evicted_for_a_client_with_a_request() -> None:
    async with Rig(Upstream()) as rig:
        rig.proxy.listener.connection_limit = 20
        clients = [await rig.client() for _ in range(100)]
        started_at = time.monotonic()
        assert status(await rig.send_request()) == 200
        assert time.monotonic() - started_at < 3.0  # the client's time limit
        for client in clients:
            assert await client.reader.read() == b""


async def test_idle_connections_are_evicted_early_for_waiting_clients() -> None:
    """With 168 connections that stay for 2 s each, no more than 84 requests a second would get through."""
    # A client whose request crosses the close sends it again on a new connection.
    assert timeouts.IDLE_TIMEOUT_UNDER_PRESSURE_S <= 0.25

    async with Rig(Upstream(), tier=1) as rig:  # twenty requests at once are not shed in this tier
        rig.proxy.listener.connection_limit = 20
        clients = [await rig.client() for _ in range(60)]
        for client in clients:
            client.send(deadline="4000m")
        for client in clients:
            assert status(await client.read_response()) == 200


async def test_clients_beyond_the_limit_wait_until_an_idle_connection_is_evicted() -> None:
    """Accepting is tried again after connections have become idle, not only when one closes."""
    async with Rig(Upstream()) as rig:
        rig.proxy.listener.connection_limit = 2
        first = await rig.client()
        second = await rig.client()
        for client in (first, second):
            client.send()
            assert status(await client.read_response()) == 200
        # Accepted once a connection has been idle for a while.
        assert status(await rig.send_request()) == 200
        assert await first.reader.read() == b""


async def test_accepting_goes_on_after_running_out_of_file_descriptors(tmp_path: Path) -> None:
    """With fewer descriptors than the configuration says, accepting fails for a time."""
    port = free_port()
    path = tmp_path / "config.json"
    path.write_text(config_text("127.0.0.1:9", []).replace(LISTEN_ANYWHERE, f"127.0.0.1:{port}"))

    async def health() -> int:
        client = await Client.of_program(port)
        client.writer.write(b"GET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n")
        health_status = status(await client.read_response())
        client.writer.close()
        return health_status

    async with running_program(path, descriptor_limit=40) as process:
        assert await health() == 200
        clients = [socket.create_connection(("127.0.0.1", port)) for _ in range(60)]
        for client in clients:
            client.close()
        assert await health() == 200
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0
