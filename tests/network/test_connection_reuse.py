"""Persistent connections on both sides: pipelining, reuse and closing."""

from __future__ import annotations

import asyncio
import socket

import pytest

from loadbalancer.events import (
    Outcome,
)
from loadbalancer.network import request_reader
from tests.network.event_recorder import listen_to, outcomes
from tests.network.loopback import (
    ReceivedMessage,
    Rig,
    Upstream,
    response,
    run,
    status,
)


def test_requests_sent_together_are_answered_in_turn() -> None:
    async def echo(asked: ReceivedMessage, writer: asyncio.StreamWriter) -> None:
        writer.write(response(200, asked.line.encode()))

    async def scenario() -> None:
        async with Rig(Upstream(echo)) as rig:
            client = await rig.client()
            for i in range(40):
                client.send(f"/read/{i}")
            for i in range(40):
                assert (await client.answer()).body == f"GET /read/{i} HTTP/1.1".encode()

    run(scenario())


def test_what_follows_a_request_that_asked_for_the_end_is_not_looked_at() -> None:
    """With the next request in another slice, its answer was written behind our end, and raised."""

    async def scenario() -> None:
        async with Rig() as rig:
            client = await rig.client()
            head = b"GET /healthz HTTP/1.1\r\nConnection: close\r\nX-Pad: "
            head += b"x" * (request_reader.SLICE_BYTES - len(head) - 4) + b"\r\n\r\n"
            faults: list[object] = []
            asyncio.get_running_loop().set_exception_handler(lambda _, context: faults.append(context))
            client.writer.write(head + b"GET /healthz HTTP/1.1\r\n\r\n")
            assert status(await client.answer()) == 200
            assert await client.reader.read() == b""
            assert not faults

    run(scenario())


def test_connections_are_used_again_but_never_a_dead_one(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        monkeypatch.setattr("loadbalancer.network.upstream_pool.SETTLE_S", 0.0)
        upstream = Upstream()
        async with Rig(upstream) as rig:
            for _ in range(3):
                assert status(await rig.ask("/pay/x", b"debit")) == 200
            assert upstream.connections == 1
            upstream.writers[0].close()
            await upstream.writers[0].wait_closed()
            told = listen_to(rig)
            assert status(await rig.ask("/pay/x", b"debit")) == 200
            assert outcomes(told) == [Outcome.SUCCEEDED]
            assert upstream.connections == 2

    run(scenario())


def test_both_sides_send_small_messages_at_once() -> None:
    async def scenario() -> None:
        async with Rig(Upstream()) as rig:
            client = await rig.client()
            client.send()
            await client.answer()
            (taken,) = rig.proxy.listener.connections
            for transport in (rig.proxy.upstreams._pools["s0"].idle[0]._transport, taken.transport):
                assert transport is not None
                sock = transport.get_extra_info("socket")
                assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    run(scenario())


def test_an_idle_connection_is_ended_in_the_moment_in_which_it_was_looked_at() -> None:
    """Our end left with the loop's next turn: a request that came before it was read and dropped."""

    async def scenario() -> None:
        async with Rig(Upstream()) as rig:
            client = socket.create_connection(rig.proxy.listener.address[:2])
            while not (connections := rig.proxy.listener.connections):
                await asyncio.sleep(0.001)
            (connection,) = connections
            while not connection.may_close():
                await asyncio.sleep(0.001)
            connection.close_gracefully()
            assert client.recv(1, socket.MSG_DONTWAIT) == b""
            client.close()

    run(scenario())
