"""A client that has left: what it asked for is not sent on, wherever it waited."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

import pytest

from loadbalancer.actions import Action, SetTimer, StartAttempt
from loadbalancer.events import ClientDisconnected, Event, RequestReceived, TimerFired
from loadbalancer.network import request_reader
from loadbalancer.network.upstream_pool import UpstreamConnection, UpstreamPool
from loadbalancer.timers import HedgeTimer
from tests.network.loopback import ReceivedMessage, Rig, Upstream, response, run, silent, status

LIMITS = {"attemptsCap": 3, "connIdle": 60_000.0, "connectTimeout": 5_000.0, "mayDuplicate": True}


def ask(path: str, number: int, body: bytes = b"") -> bytes:
    method = "POST" if body else "GET"
    head = (
        f"{method} {path} HTTP/1.1\r\nX-Class: {path[1:]}\r\nX-Request-Id: {number}\r\nX-Deadline: 4000m\r\n"
    )
    return head.encode() + b"Content-Length: %d\r\n\r\n" % len(body) + body


def client_of(rig: Rig) -> socket.socket:
    """One whose every move is made at once, between two lines of the balancer if need be."""
    return socket.create_connection(rig.proxy.listener.address[:2])


def before(rig: Rig, kind: type, act: Callable[[Any], None]) -> None:
    """Act as an event of a kind is told to the module, before anything comes of it."""
    handle = rig.proxy.balancer.handle

    def acting(event: Event, now: float) -> list[Action]:
        if isinstance(event, kind):
            act(event)
        return handle(event, now)

    rig.proxy.balancer.handle = acting  # type: ignore[method-assign]


async def over(rig: Rig) -> None:
    """Until no request is open nor any attempt out."""
    while rig.proxy._requests:
        await asyncio.sleep(0.005)


def settle(rig: Rig) -> None:
    """Let idle connections to upstreams carry a further request at once."""
    for pool in rig.proxy.upstreams._pools.values():
        for connection in pool.idle:
            connection.idle_since -= 1.0


class Held:
    """Connections to upstreams that come up when they are let, from the nth on."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, first: int = 0) -> None:
        self.waits, self.let = asyncio.Event(), asyncio.Event()
        self.at_last: Callable[[], None] = lambda: None  # done as one comes up
        connect, count = UpstreamPool.connect, list[int]()

        async def held(pool: UpstreamPool) -> UpstreamConnection:
            connection = await connect(pool)
            count.append(1)
            if len(count) > first:
                self.waits.set()
                await self.let.wait()
                self.at_last()
            return connection

        monkeypatch.setattr(UpstreamPool, "connect", held)


def test_while_the_module_holds_it() -> None:
    """The module sends a moment later; that the client is gone has not been read yet."""

    async def scenario() -> None:
        upstream = Upstream()
        async with Rig(upstream) as rig:
            client = client_of(rig)

            def hold(event: Event, now: float) -> list[Action]:
                if isinstance(event, RequestReceived):
                    return [SetTimer(now, HedgeTimer(event.request_id))]
                if isinstance(event, TimerFired) and isinstance(event.timer, HedgeTimer):
                    client.close()
                    return [StartAttempt(event.timer.request_id, "s0", 1_000.0)]
                return []

            rig.proxy.balancer.handle = hold  # type: ignore[method-assign]
            client.sendall(ask("/read", 1))
            while client.fileno() >= 0:
                await asyncio.sleep(0.001)
            await over(rig)
            assert not upstream.connections

    run(scenario())


def test_between_two_attempts(monkeypatch: pytest.MonkeyPatch) -> None:
    """A further attempt opens a connection of its own; the client goes as that comes up."""

    async def scenario() -> None:

        async def by_class(asked: ReceivedMessage, writer: Any) -> None:
            turned_away = asked.headers["x-class"] == "pay"
            writer.write(response(503, b"", "X-Not-Run: 1") if turned_away else response())

        upstreams = Upstream(by_class), Upstream(by_class)
        async with Rig(*upstreams) as rig:
            while not all(upstream.asked for upstream in upstreams):
                assert status(await rig.ask()) == 200
            settle(rig)
            client, held = client_of(rig), Held(monkeypatch)
            held.at_last = client.close
            held.let.set()
            client.sendall(ask("/pay", 1, b"debit"))
            while client.fileno() >= 0:
                await asyncio.sleep(0.001)
            await over(rig)
            assert status(await rig.ask()) == 200  # what was on its way has arrived by now
            asked = [one.headers["x-class"] for upstream in upstreams for one in upstream.asked]
            assert asked.count("pay") == 1

    run(scenario())


def test_behind_another_on_its_connection() -> None:
    async def scenario() -> None:
        upstream = Upstream()
        async with Rig(upstream) as rig:
            client = client_of(rig)
            arrived = list[int]()

            def leave_at_the_second(event: RequestReceived) -> None:
                arrived.append(event.request_id)
                if len(arrived) == 2:
                    settle(rig)
                    client.close()

            before(rig, RequestReceived, leave_at_the_second)
            client.sendall(ask("/read", 1) + ask("/read", 2))
            while len(arrived) < 2:
                await asyncio.sleep(0.001)
            await over(rig)
            assert status(await rig.ask()) == 200  # what was on its way has arrived by now
            assert [one.headers["x-request-id"] for one in upstream.asked].count("2") == 0

    run(scenario())


async def unread_answer(rig: Rig) -> socket.socket:
    """A client with two requests sent, which has not read the answer to the first."""
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    client.connect(rig.proxy.listener.address[:2])
    while not (connections := rig.proxy.listener.connections):
        await asyncio.sleep(0.001)
    (connection,) = connections
    while (transport := connection.transport) is None:
        await asyncio.sleep(0.001)
    transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
    client.sendall(ask("/read", 1) + ask("/read", 2))
    while not transport.get_write_buffer_size():
        await asyncio.sleep(0.001)
    client.setblocking(False)
    return client


def test_what_waits_behind_an_answer_is_taken_up_once_that_is_read() -> None:
    """Nothing told that the rest of the answer had left: what waited was taken up at the next bytes only."""

    async def scenario() -> None:
        upstream = Upstream(response(200, b"x" * 60_000), response(200, b"the second"))
        async with Rig(upstream) as rig:
            client, got = await unread_answer(rig), b""
            while not got.endswith(b"the second"):
                got += await asyncio.get_running_loop().sock_recv(client, 65_536)
            client.close()

    run(scenario())


def test_behind_an_answer_that_it_did_not_read() -> None:
    """Its end was read, but the connection stood until the answer had left: then the next one was sent on."""

    async def scenario() -> None:
        upstream = Upstream(response(200, b"x" * 60_000))
        async with Rig(upstream) as rig:
            client = await unread_answer(rig)
            (connection,) = rig.proxy.listener.connections
            client.shutdown(socket.SHUT_WR)
            while not (connection.transport and connection.transport.is_closing()):
                await asyncio.sleep(0.001)
            while await asyncio.get_running_loop().sock_recv(client, 65_536):
                pass
            client.close()
            assert status(await rig.ask()) == 200  # what was on its way has arrived by now
            assert [one.headers["x-request-id"] for one in upstream.asked].count("2") == 0

    run(scenario())


def test_while_reading_is_paused() -> None:
    """Nobody looked at the socket any more, and all that was read ahead was sent on, one after another."""

    async def scenario() -> None:
        upstream = Upstream(silent, response())
        async with Rig(upstream, tier=1) as rig:
            client = client_of(rig)
            many = 2 * request_reader.MAX_PIPELINED_REQUESTS + request_reader.SLICE_BYTES // 50
            client.sendall(b"".join(ask("/read", number) for number in range(many)))
            await upstream.seen.wait()
            (connection,) = rig.proxy.listener.connections
            while not connection.is_reading_paused:
                await asyncio.sleep(0.001)
            client.close()
            await over(rig)  # it is noticed, though its request has no answer yet
            await upstream.ended.wait()
            assert len(upstream.asked) == 1

    run(scenario())


@pytest.mark.parametrize("may_cancel", [True, False])
def test_while_a_connection_to_an_upstream_comes_up(
    may_cancel: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Where no attempt may be cancelled it was written once the connection was up."""

    async def scenario() -> None:
        held, upstream = Held(monkeypatch), Upstream()
        async with Rig(upstream, limits=LIMITS | {"mayCancel": may_cancel}) as rig:
            left = asyncio.Event()
            before(rig, ClientDisconnected, lambda event: left.set())
            client = client_of(rig)
            client.sendall(ask("/pay", 1, b"debit"))
            await held.waits.wait()
            client.close()
            await left.wait()
            held.let.set()
            await over(rig)
            assert status(await rig.ask()) == 200
            assert len(upstream.asked) == 1

    run(scenario())


def test_in_the_moment_in_which_the_connection_has_come_up(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        held, upstream = Held(monkeypatch), Upstream()
        async with Rig(upstream) as rig:
            client = client_of(rig)
            client.sendall(ask("/pay", 1, b"debit"))
            await held.waits.wait()
            held.at_last = client.close
            held.let.set()
            await over(rig)
            held.at_last = lambda: None
            settle(rig)
            assert status(await rig.ask()) == 200
            assert len(upstream.asked) == 1 and upstream.connections == 1, "the connection serves the next"

    run(scenario())


def test_where_what_is_out_must_not_be_cancelled() -> None:
    """The first attempt is out and stays; its failure brings no further one."""

    async def scenario() -> None:
        async def fail_later(asked: ReceivedMessage, writer: Any) -> None:
            failing.append(writer)
            seen.set()

        failing, seen = list[Any](), asyncio.Event()
        upstreams = Upstream(fail_later), Upstream(fail_later)
        async with Rig(*upstreams, limits=LIMITS | {"mayCancel": False}) as rig:
            left = asyncio.Event()
            before(rig, ClientDisconnected, lambda event: left.set())
            client = client_of(rig)
            client.sendall(ask("/pay", 1, b"debit"))
            await seen.wait()
            client.close()
            await left.wait()
            failing[0].write(response(503, b"", "X-Not-Run: 1"))
            await over(rig)
            assert sum(len(upstream.asked) for upstream in upstreams) == 1

    run(scenario())


def test_a_copy_that_is_still_connecting_is_not_sent_behind_the_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """ "request 2706184061 was sent on after its final answer": the other copy had served it meanwhile."""

    async def scenario() -> None:
        held = Held(monkeypatch, first=1)
        upstreams = Upstream(silent), Upstream(silent)
        async with Rig(*upstreams, limits=LIMITS | {"mayCancel": False}) as rig:
            client = await rig.client()
            client.send(deadline="1200m")
            await held.waits.wait()  # the second copy connects
            first = next(upstream for upstream in upstreams if upstream.asked)
            first.writers[0].write(response(200, b"first"))
            assert (await client.answer()).body == b"first"
            held.let.set()
            await over(rig)
            other = await rig.client()
            other.send(deadline="400m")
            await other.answer()  # whatever came of it, all that was on its way has arrived by now
            asked = [one.headers["x-request-id"] for upstream in upstreams for one in upstream.asked]
            assert asked.count(first.asked[0].headers["x-request-id"]) == 1

    run(scenario())
