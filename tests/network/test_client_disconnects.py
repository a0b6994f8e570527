"""A client that closes, cancels or ends its sending has gone: no attempt begins from then on.

Where that matters the connections to the upstreams are warmed first: a request is written to an idle one in
the turn in which it is sent, so that nothing but a look at the client's own socket keeps it back.
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
from loadbalancer.network import client_connection, request_reader
from loadbalancer.network.headers import MAX_BODY_BYTES
from loadbalancer.network.upstream_pool import UpstreamConnection
from loadbalancer.timers import HedgeTimer
from tests.network.loopback import ReceivedMessage, Rig, Upstream, entry, reset, response, run, silent, status
from tests.network.test_abandoned_requests import LIMITS, ask, before, client_of, over, settle

Leave = Callable[[socket.socket], None]
NOT_RUN = response(503, b"", "X-Not-Run: 1")


def close(client: socket.socket) -> None:
    client.close()


def half_close(client: socket.socket) -> None:
    client.shutdown(socket.SHUT_WR)


def reset_by_client(client: socket.socket) -> None:
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


def close_behind_bytes(client: socket.socket) -> None:
    client.send(b"GET /re")  # a look at the first byte alone does not tell that the end has come
    client.close()


LEAVES = pytest.mark.parametrize("leave", [close, half_close, reset_by_client, close_behind_bytes])


def keyed(number: int) -> bytes:
    return ask("/put", number, b"keyed").replace(b"\r\n\r\n", b"\r\nIdempotency-Key: k1\r\n\r\n", 1)


def only_first(script: Any) -> Any:
    """What the client's own request gets; all others are served."""

    async def by_id(asked: ReceivedMessage, writer: Any) -> None:
        if asked.headers["x-request-id"] != "1":
            writer.write(response())
        elif isinstance(script, bytes):
            writer.write(script)
        else:
            await script(asked, writer)

    return by_id


async def warm(rig: Rig, monkeypatch: pytest.MonkeyPatch) -> None:
    """An idle connection at each upstream, which a further attempt uses as well."""
    while not all(upstream.asked for upstream in rig.upstreams):
        assert status(await rig.ask()) == 200
    monkeypatch.setattr(rig.proxy.upstreams, "close_idle_connections", lambda server: None)
    settle(rig)


async def sent_on(rig: Rig) -> list[str]:
    """The ids that reached upstreams, the warming aside, once all that was on its way has arrived."""
    settle(rig)
    assert status(await rig.ask()) == 200
    ids = [one.headers["x-request-id"] for upstream in rig.upstreams for one in upstream.asked]
    return sorted(name for name in ids if len(name) < 8)


@LEAVES
def test_before_the_loop_took_it_in(leave: Leave, monkeypatch: pytest.MonkeyPatch) -> None:
    """The loop is busy: connection, request and end all wait in the kernel when it comes back."""

    async def scenario() -> None:
        async with Rig(Upstream()) as rig:
            await warm(rig, monkeypatch)
            client = client_of(rig)
            client.sendall(ask("/read", 1))
            leave(client)
            await rig.ask()  # its connection came later
            while rig.proxy.listener.connections:
                await asyncio.sleep(0.005)
            assert await sent_on(rig) == []

    run(scenario())


@LEAVES
def test_while_the_module_holds_it(leave: Leave, monkeypatch: pytest.MonkeyPatch) -> None:
    """The end came while the loop was busy: it has not been read when the module's timer is due."""

    async def scenario() -> None:
        async with Rig(Upstream()) as rig:
            await warm(rig, monkeypatch)
            client, left, handle = client_of(rig), asyncio.Event(), rig.proxy.balancer.handle

            def hold(event: Event, now: float) -> list[Action]:
                if isinstance(event, RequestReceived):
                    return [SetTimer(now, HedgeTimer(event.request_id))]
                if isinstance(event, TimerFired) and isinstance(event.timer, HedgeTimer):
                    leave(client)
                    return [StartAttempt(event.timer.request_id, "s0", 1_000.0)]
                if isinstance(event, ClientDisconnected):
                    left.set()
                return []

            rig.proxy.balancer.handle = hold  # type: ignore[method-assign]
            client.sendall(ask("/read", 1))
            await left.wait()
            await over(rig)
            rig.proxy.balancer.handle = handle  # type: ignore[method-assign]
            assert await sent_on(rig) == []

    run(scenario())


@LEAVES
@pytest.mark.parametrize(
    ("request_bytes", "script"),
    [
        (ask("/pay", 1, b"debit"), NOT_RUN),
        (ask("/read", 1), response(500)),
        (ask("/read", 1), reset),
        (keyed(1), response(500)),  # a keyed repeat
        (keyed(1), reset),
    ],
    ids=["503", "500", "reset", "keyed 500", "keyed reset"],
)
def test_between_two_attempts(
    request_bytes: bytes, script: Any, leave: Leave, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The client leaves as its first attempt has failed; the next would be written at once."""

    async def scenario() -> None:
        async with Rig(Upstream(only_first(script)), Upstream(only_first(script))) as rig:
            await warm(rig, monkeypatch)
            client, ends = client_of(rig), list[AttemptFinished]()

            def leave_once(event: AttemptFinished) -> None:
                ends.append(event)
                if len(ends) == 1:
                    leave(client)

            before(rig, AttemptFinished, leave_once)
            client.sendall(request_bytes)
            while not ends:
                await asyncio.sleep(0.001)
            await over(rig)
            assert await sent_on(rig) == ["1"]

    run(scenario())


def test_the_same_failures_without_a_leave_are_tried_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """What the test above rests on: it is the client's leaving that keeps the further attempt back."""

    async def scenario() -> None:
        script = only_first(response(500))
        async with Rig(Upstream(script), Upstream(script)) as rig:
            await warm(rig, monkeypatch)
            client = client_of(rig)
            client.sendall(ask("/read", 1))
            while (
                len([one for u in rig.upstreams for one in u.asked if one.headers["x-request-id"] == "1"]) < 2
            ):
                await asyncio.sleep(0.001)
            client.close()

    run(scenario())


def hedges(rig: Rig) -> list[HedgeTimer]:
    """The timers for second copies, as the module sets them."""
    handle, timers = rig.proxy.balancer.handle, list[HedgeTimer]()

    def noting(event: Event, now: float) -> list[Action]:
        actions = handle(event, now)
        timers.extend(a.timer for a in actions if isinstance(a, SetTimer) and isinstance(a.timer, HedgeTimer))
        return actions

    rig.proxy.balancer.handle = noting  # type: ignore[method-assign]
    return timers


@pytest.mark.parametrize("leave", [None, close, half_close, reset_by_client, close_behind_bytes])
def test_a_second_copy_that_is_due(leave: Leave | None, monkeypatch: pytest.MonkeyPatch) -> None:
    """Its timer is due before the loop has read the client's end; with the client there, it goes out."""

    async def scenario() -> None:
        script = only_first(silent)
        async with Rig(Upstream(script), Upstream(script), limits=LIMITS) as rig:
            await warm(rig, monkeypatch)
            client, timers = client_of(rig), hedges(rig)
            client.sendall(ask("/read", 1))
            while not timers:
                await asyncio.sleep(0.001)
            if leave is not None:
                leave(client)
            rig.proxy._dispatch(TimerFired(timers[0]))
            assert await sent_on(rig) == ["1"] * (1 if leave else 2)

    run(scenario())


def test_a_second_copy_where_the_first_stays_out(monkeypatch: pytest.MonkeyPatch) -> None:
    """No attempt may be cancelled: the request stands until its first copy ends, and its timer comes due."""

    async def scenario() -> None:
        script = only_first(silent)
        async with Rig(Upstream(script), Upstream(script), limits=LIMITS | {"mayCancel": False}) as rig:
            await warm(rig, monkeypatch)
            client, timers, left = client_of(rig), hedges(rig), asyncio.Event()
            before(rig, ClientDisconnected, lambda event: left.set())
            client.sendall(ask("/read", 1))
            while not timers:
                await asyncio.sleep(0.001)
            client.close()
            await left.wait()
            rig.proxy._dispatch(TimerFired(timers[0]))
            assert rig.proxy._requests, "the first copy is out still"
            assert await sent_on(rig) == ["1"]

    run(scenario())


@LEAVES
@pytest.mark.parametrize("may_cancel", [True, False])
def test_behind_one_that_is_out_on_its_connection(
    may_cancel: bool, leave: Leave, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Where the first stays out, its answer must not start the one behind it."""

    async def scenario() -> None:
        upstream = Upstream(only_first(silent))
        async with Rig(upstream, limits=LIMITS | {"mayCancel": may_cancel}) as rig:
            await warm(rig, monkeypatch)
            left = asyncio.Event()
            before(rig, ClientDisconnected, lambda event: left.set())
            client = client_of(rig)
            client.sendall(ask("/read", 1) + ask("/read", 2) + ask("/read", 3))
            while upstream.asked[-1].headers["x-request-id"] != "1":
                await asyncio.sleep(0.001)
            leave(client)
            await left.wait()
            for writer in upstream.writers:
                writer.write(response())
            await over(rig)
            assert await sent_on(rig) == ["1"]

    run(scenario())


@LEAVES
def test_a_further_attempt_while_reading_is_paused(leave: Leave, monkeypatch: pytest.MonkeyPatch) -> None:
    """The end is behind requests that are not read, and the sweep has not come to look at the connection."""
    monkeypatch.setattr(client_connection, "SWEEP_INTERVAL_S", 3_600.0)

    async def scenario() -> None:
        async def fail_later(asked: ReceivedMessage, writer: Any) -> None:
            failing.append(writer)

        failing = list[Any]()
        async with Rig(Upstream(only_first(fail_later)), Upstream(only_first(fail_later)), tier=1) as rig:
            await warm(rig, monkeypatch)
            client = client_of(rig)
            many = 2 * request_reader.MAX_PIPELINED_REQUESTS + request_reader.SLICE_BYTES // 50
            client.sendall(b"".join(ask("/read", number) for number in range(1, many)))
            while not (failing and any(c.is_reading_paused for c in rig.proxy.listener.connections)):
                await asyncio.sleep(0.001)
            before(rig, AttemptFinished, lambda event: None if client.fileno() < 0 else leave(client))
            failing[0].write(response(500))
            await over(rig)
            while rig.proxy.listener.connections:
                await asyncio.sleep(0.005)
            assert await sent_on(rig) == ["1"]

    run(scenario())


@pytest.mark.parametrize("may_cancel", [True, False])
def test_while_its_body_is_being_written(may_cancel: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    """What has not left is taken back: the upstream never gets the last byte, by which a request begins."""
    made, connection_made = list[UpstreamConnection](), UpstreamConnection.connection_made

    def small(connection: UpstreamConnection, transport: asyncio.BaseTransport) -> None:
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
        made.append(connection)
        connection_made(connection, transport)

    monkeypatch.setattr(UpstreamConnection, "connection_made", small)

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            listener.setblocking(False)
            address = f"127.0.0.1:{listener.getsockname()[1]}"
            rig = Rig(limits=LIMITS | {"mayCancel": may_cancel})
            rig.entries.append(entry("s0", address))
            async with rig:
                client, left = client_of(rig), asyncio.Event()
                before(rig, ClientDisconnected, lambda event: left.set())
                client.setblocking(False)
                await loop.sock_sendall(client, ask("/pay", 1, b"x" * MAX_BODY_BYTES))
                while not (made and made[0]._transport and made[0]._transport.get_write_buffer_size()):
                    await asyncio.sleep(0.001)
                client.close()
                await left.wait()
                upstream, got = (await loop.sock_accept(listener))[0], b""
                with upstream:
                    while part := await loop.sock_recv(upstream, MAX_BODY_BYTES):
                        got += part
                head, _, body = got.partition(b"\r\n\r\n")
                assert head.startswith(b"POST /pay ")
                assert len(body) < MAX_BODY_BYTES
                assert not rig.proxy._requests

    run(scenario())
