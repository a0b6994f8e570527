"""Connections that bring no whole request, or stay idle, are closed in time."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest

from loadbalancer.network.client import timeouts
from loadbalancer.network.client.accept_queue import queue_ages
from tests.support.loopback import Rig, Upstream, never_respond, response, status


@pytest.mark.parametrize(
    ("sent", "response_start"),
    [
        (b"", b""),
        (b"GET /read HT", b"HTTP/1.1 408"),
        (
            b"POST /pay HTTP/1.1\r\nX-Class: pay\r\nX-Request-Id: a1\r\nX-Deadline: 900m\r\n"
            b"Content-Length: 9\r\n\r\nx",
            b"HTTP/1.1 408",
        ),
    ],
)
async def test_a_connection_without_a_whole_request_is_closed_after_the_timeout(
    sent: bytes, response_start: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Silent clients and those that never finish a request are disconnected within 3 s."""
    longest_s = timeouts.REQUEST_TIMEOUT_S + timeouts.SWEEP_INTERVAL_S
    assert longest_s + timeouts.LINGER_TIMEOUT_S < 2.8
    monkeypatch.setattr(timeouts, "REQUEST_TIMEOUT_S", 0.1)

    async with Rig(Upstream()) as rig:
        client = await rig.client()
        client.writer.write(sent)
        assert (await client.reader.read())[:12] == response_start
        client.writer.close()


async def test_time_in_the_accept_queue_counts() -> None:
    async with Rig(Upstream()) as rig:
        with socket.create_connection(rig.proxy.listener.address[:2]) as client:
            client.sendall(b"x")
            time.sleep(0.1)  # the loop is busy and accepts nothing
            accepted, _ = rig.proxy.listener._socket.accept()
            with accepted:
                ages = queue_ages(accepted)
                assert ages.connected_s >= 0.05
                assert ages.request_s >= 0.05


async def test_an_idle_connection_is_closed_but_not_one_with_an_open_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(timeouts, "KEEP_ALIVE_TIMEOUT_S", 0.1)
    monkeypatch.setattr(timeouts, "REQUEST_TIMEOUT_S", 0.1)

    upstream = Upstream(response(), never_respond)
    async with Rig(upstream) as rig:
        idle = await rig.client()
        idle.send()
        assert status(await idle.read_response()) == 200
        upstream.seen.clear()
        busy = await rig.client()
        busy.send("/pay/x", b"debit")
        await upstream.seen.wait()
        assert await idle.reader.read() == b""
        for _ in range(3):
            rig.proxy.listener.eviction.sweep()
            await asyncio.sleep(0.1)
        for writer in upstream.writers:
            writer.write(response(200, b"at last"))
        assert (await busy.read_response()).body == b"at last"
