"""The graceful shutdown: everything that was sent gets a response, and no connection is reset."""

from __future__ import annotations

import asyncio
import socket

import pytest

from loadbalancer.events import (
    Outcome,
)
from tests.network.event_recorder import listen_to, outcomes
from tests.network.loopback import (
    Rig,
    Upstream,
    response,
    run,
    silent,
    status,
)


def test_after_the_end_begins_callers_keep_the_connections_they_have_for_a_while(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """While one of two balancers restarted, the other was told to end: clients had nowhere to go."""

    async def scenario() -> None:
        monkeypatch.setattr("loadbalancer.network.graceful_shutdown.SHUTDOWN_ACCEPT_S", 0.0)
        monkeypatch.setattr("loadbalancer.network.graceful_shutdown.SHUTDOWN_KEEP_ALIVE_S", 60.0)
        monkeypatch.setattr("loadbalancer.network.graceful_shutdown.SHUTDOWN_MAX_DEADLINE_S", 120.0)
        async with Rig(Upstream()) as rig:
            callers = rig.proxy.listener
            callers.max_deadline_s = 120.0
            client = await rig.client()
            client.send()
            assert status(await client.answer()) == 200
            ending = asyncio.ensure_future(callers.shut_down())
            while not callers.is_closed:
                await asyncio.sleep(0.01)
            for _ in range(2):
                client.send()
                answer = await client.answer()
                assert status(answer) == 200
                assert "connection" not in answer.headers
            monkeypatch.setattr("loadbalancer.network.graceful_shutdown.SHUTDOWN_KEEP_ALIVE_S", 0.0)
            assert await client.reader.read() == b""  # a clean end, once the time is up
            client.writer.close()
            await ending

    run(scenario())


def test_callers_stay_no_longer_than_half_the_longest_wait(monkeypatch: pytest.MonkeyPatch) -> None:
    """The platform kills soon after the longest wait: what came on a connection kept for longer is lost."""

    async def scenario() -> None:
        monkeypatch.setattr("loadbalancer.network.graceful_shutdown.SHUTDOWN_KEEP_ALIVE_S", 60.0)
        async with Rig(Upstream()) as rig:
            client = await rig.client()
            client.send()
            assert status(await client.answer()) == 200
            rig.proxy.listener.max_deadline_s = 0.2
            ending = asyncio.ensure_future(rig.proxy.listener.shut_down())
            assert await client.reader.read() == b""  # a clean end
            assert rig.proxy.listener.context.closes_connections, "not just as one that stood idle"
            client.writer.close()
            await ending

    run(scenario())


def test_the_end_answers_what_was_taken_and_takes_what_still_comes(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        monkeypatch.setattr("loadbalancer.network.graceful_shutdown.SHUTDOWN_KEEP_ALIVE_S", 0.0)
        upstream = Upstream(response(), silent, response())
        async with Rig(upstream) as rig:
            idle, busy = await rig.client(), await rig.client()
            idle.send()
            assert status(await idle.answer()) == 200
            upstream.seen.clear()
            busy.send("/pay/x", b"debit")
            await upstream.seen.wait()
            ending = asyncio.ensure_future(rig.proxy.listener.shut_down())
            await asyncio.sleep(0)
            assert status(await rig.ask()) == 200
            assert await idle.reader.read() == b""  # a clean end, no reset
            upstream.writers[-1].write(b"")
            for writer in upstream.writers:
                writer.write(response(200, b"at last"))
            answer = await busy.answer()
            assert (status(answer), answer.body) == (200, b"at last")
            assert answer.headers["connection"] == "close"
            busy.writer.close()
            idle.writer.close()
            await ending

    run(scenario())


def test_a_request_in_the_accept_queue_at_the_end_is_answered(monkeypatch: pytest.MonkeyPatch) -> None:
    """It was taken with its last byte, though nobody had accepted its connection yet."""

    async def scenario() -> None:
        monkeypatch.setattr("loadbalancer.network.graceful_shutdown.SHUTDOWN_ACCEPT_S", 0.0)
        monkeypatch.setattr("loadbalancer.network.graceful_shutdown.SHUTDOWN_KEEP_ALIVE_S", 0.0)
        async with Rig(Upstream()) as rig:
            callers, clients = rig.proxy.listener, list[socket.socket]()
            accept = callers.accept_pending

            def at_the_last_moment() -> bool:
                clients.append(socket.create_connection(callers.address))
                clients[0].sendall(
                    b"GET /read/x HTTP/1.1\r\nX-Class: read\r\nX-Request-Id: 1\r\nX-Deadline: 900m\r\n\r\n"
                )
                return accept()

            monkeypatch.setattr(callers, "accept_pending", at_the_last_moment)
            ending = asyncio.ensure_future(callers.shut_down())
            while not clients:
                await asyncio.sleep(0)
            clients[0].setblocking(False)
            answer = await asyncio.get_running_loop().sock_recv(clients[0], 100)
            assert answer.startswith(b"HTTP/1.1 200")
            clients[0].close()
            await ending

    run(scenario())


def test_the_accept_queue_is_emptied_at_the_end_also_when_connections_are_at_their_cap(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """With no room for it, what waited in the queue was reset as the listener closed."""

    async def scenario() -> None:
        monkeypatch.setattr("loadbalancer.network.graceful_shutdown.SHUTDOWN_ACCEPT_S", 0.0)
        upstream = Upstream(silent, response())
        async with Rig(upstream) as rig:
            rig.proxy.listener.connection_limit = 1
            busy = await rig.client()
            busy.send("/pay/x", b"debit")
            await upstream.seen.wait()
            waits = await rig.client()  # in the kernel's queue
            waits.send()
            ending = asyncio.ensure_future(rig.proxy.listener.shut_down())
            while not rig.proxy.listener.context.is_shutting_down:
                await asyncio.sleep(0)
            for _ in range(3):
                await asyncio.sleep(0)  # the queue has been looked at
            upstream.writers[0].write(response(200, b"at last"))
            assert (await busy.answer()).body == b"at last"
            busy.writer.close()
            assert status(await waits.answer()) == 200
            waits.writer.close()
            await ending

    run(scenario())


def test_what_comes_after_the_last_answers_is_refused_at_once() -> None:
    """It was taken up and sent on, and the process ended before its answer came."""

    async def scenario() -> None:
        upstream = Upstream()
        async with Rig(upstream) as rig:
            client = await rig.client()
            rig.proxy.abort_open_requests()
            client.send()
            assert status(await client.answer()) == 503
            assert not upstream.connections

    run(scenario())


def test_the_end_does_not_wait_for_ever(monkeypatch: pytest.MonkeyPatch) -> None:
    """What is still open when the time is up gets its answer, before the platform kills us."""

    async def scenario() -> None:
        monkeypatch.setattr("loadbalancer.network.graceful_shutdown.SHUTDOWN_ACCEPT_S", 0.0)
        monkeypatch.setattr("loadbalancer.network.graceful_shutdown.SHUTDOWN_KEEP_ALIVE_S", 0.0)
        monkeypatch.setattr("loadbalancer.network.graceful_shutdown.SHUTDOWN_MAX_DEADLINE_S", 0.2)
        upstream = Upstream(silent)
        async with Rig(upstream) as rig:
            client = await rig.client()
            client.send("/pay/x", b"debit")
            await upstream.seen.wait()
            told = listen_to(rig)
            ending = asyncio.ensure_future(rig.proxy.listener.shut_down())
            assert status(await client.answer()) == 502
            await ending
            assert outcomes(told) == [Outcome.CANCELLED]  # its own time-out had not come

    run(scenario())


def test_a_request_that_crosses_the_end_of_an_idle_connection_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It lay in the kernel, unread, when the connection was ended as an idle one."""

    async def scenario() -> None:
        monkeypatch.setattr("loadbalancer.network.graceful_shutdown.SHUTDOWN_ACCEPT_S", 0.0)
        monkeypatch.setattr("loadbalancer.network.graceful_shutdown.SHUTDOWN_KEEP_ALIVE_S", 0.0)
        async with Rig(Upstream()) as rig:
            client = await rig.client()
            client.send()
            assert status(await client.answer()) == 200
            (connection,) = rig.proxy.listener.connections
            is_idle, crossed = connection.is_idle, list[int]()

            def crossing() -> bool:
                if not crossed:
                    crossed.append(1)
                    client.send()  # written at once, and not read before the question is answered
                return is_idle()

            monkeypatch.setattr(connection, "is_idle", crossing)
            ending = asyncio.ensure_future(rig.proxy.listener.shut_down())
            answer = await client.answer()
            assert status(answer) == 200
            assert answer.headers["connection"] == "close"
            client.writer.close()
            await ending

    run(scenario())
