"""Rare moments at the start, at the end and while the loop is busy, each made to happen in the bad order."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import pytest

from loadbalancer.network import client_connection, graceful_shutdown, listener
from loadbalancer.network.client_connection import ClientConnection
from loadbalancer.network.listener import Listener
from tests.network.loopback import TIMEOUT_S, DiscoveryServer, Rig, Upstream, config_text, entry, run, status
from tests.network.test_abandoned_requests import ask, client_of

ROOT = Path(__file__).parents[2]

# Runs the program as `python -m` does; at a moment of its start the file changes and a signal comes.
SIGNALLED = """if True:
    import asyncio, os, runpy, sys
    enter = asyncio.Runner.__enter__
    def entering(runner):
        sys.audit("runs")
        return enter(runner)
    asyncio.Runner.__enter__ = entering
    event, about, number = sys.argv[1:]
    def at(name, args, came=[]):
        if not came and name == event and (not about or args[0] == about):
            came.append(name)
            os.replace(os.environ["LB_CONFIG"] + ".new", os.environ["LB_CONFIG"])
            os.kill(os.getpid(), int(number))
    sys.addaudithook(at)
    runpy.run_module("loadbalancer", run_name="__main__")
"""


AS_IT = {
    "imports the event loop": ("import", "uvloop"),
    "reads its file": ("open", "config.json"),
    "has read its file": ("runs", ""),
    "binds": ("socket.bind", ""),
}
MOMENTS = pytest.mark.parametrize("moment", AS_IT)


def signalled(moment: str, path: Path, number: signal.Signals) -> list[str]:
    """The command for a program that gets a signal at a moment of its start."""
    event, about = AS_IT[moment]
    about = str(path) if event == "open" else about
    return [sys.executable, "-c", SIGNALLED, event, about, str(int(number))]


@MOMENTS
def test_a_sighup_before_it_is_ready_neither_ends_it_nor_is_lost(moment: str, tmp_path: Path) -> None:
    async def scenario() -> None:
        new, path = DiscoveryServer(), tmp_path / "config.json"
        path.write_text(config_text("127.0.0.1:9", []))
        path.with_suffix(".json.new").write_text(config_text(await new.start(), []))
        node = await asyncio.create_subprocess_exec(
            *signalled(moment, path, signal.SIGHUP), cwd=ROOT, env=os.environ | {"LB_CONFIG": str(path)}
        )
        try:
            call, end = asyncio.ensure_future(new.calls.get()), asyncio.ensure_future(node.wait())
            await asyncio.wait((call, end), return_when=asyncio.FIRST_COMPLETED)
            assert not end.done(), f"ended with {node.returncode}"
            assert call.result() == "GET /v1/servers HTTP/1.1"
            node.terminate()
            assert await end == 0
        finally:
            if node.returncode is None:
                node.kill()

    run(scenario())


@MOMENTS
def test_a_sigterm_before_it_is_ready_ends_it_without_a_word(moment: str, tmp_path: Path) -> None:
    """Nothing was taken: it ends by the signal itself, or as at any time once the loop sees to it."""
    path = tmp_path / "config.json"
    path.write_text(config_text("127.0.0.1:9", []))
    path.with_suffix(".json.new").write_text(path.read_text())
    done = subprocess.run(
        signalled(moment, path, signal.SIGTERM),
        cwd=ROOT,
        env=os.environ | {"LB_CONFIG": str(path)},
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )
    assert done.returncode == (0 if moment == "binds" else -signal.SIGTERM)
    assert "Traceback" not in done.stderr
    assert done.stdout == ""


def test_what_comes_with_a_sigterm_as_it_begins_to_listen_is_answered(tmp_path: Path) -> None:
    program = """if True:
        import os, signal, socket
        from loadbalancer import __main__ as program
        from loadbalancer.network.listener import Listener
        start, clients = Listener.start, []
        def at_once(callers):
            os.kill(os.getpid(), signal.SIGTERM)
            start(callers)
            clients.append(socket.create_connection(callers.address))
            clients[0].sendall(b"GET /read HTTP/1.1\\r\\nX-Class: read\\r\\nX-Request-Id: 1\\r\\n"
                b"X-Deadline: 900m\\r\\n\\r\\n")
        Listener.start = at_once
        assert program.main() == 0
        clients[0].settimeout(5)
        print(clients[0].makefile("rb").read().partition(b"\\r\\n")[0].decode())
    """
    path = tmp_path / "config.json"
    path.write_text(config_text("127.0.0.1:9", [entry("s0", "127.0.0.1:9")]))
    done = subprocess.run(
        [sys.executable, "-c", program],
        cwd=ROOT,
        env=os.environ | {"LB_CONFIG": str(path)},
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )
    assert done.returncode == 0, done.stderr
    assert done.stdout == "HTTP/1.1 503 Service Unavailable\n"  # refused: no upstream is there


def hold_setting_up(monkeypatch: pytest.MonkeyPatch) -> asyncio.Event:
    """Connections are taken from the kernel's queue, but stay as they are until the event is set."""
    let, connect = asyncio.Event(), Listener._connect

    async def held(callers: Listener, connection: ClientConnection, sock: socket.socket) -> None:
        await let.wait()
        await connect(callers, connection, sock)

    monkeypatch.setattr(Listener, "_connect", held)
    return let


def test_what_was_accepted_but_not_set_up_when_the_wait_is_over_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A busy loop used the last pause up: the program ended with the request unread, which is a reset."""
    monkeypatch.setattr(graceful_shutdown, "SHUTDOWN_ACCEPT_S", 0.0)
    monkeypatch.setattr(graceful_shutdown, "SHUTDOWN_KEEP_ALIVE_S", 0.0)
    monkeypatch.setattr(graceful_shutdown, "SHUTDOWN_MAX_DEADLINE_S", 0.05)

    async def scenario() -> None:
        async with Rig(Upstream()) as rig:
            let, callers = hold_setting_up(monkeypatch), rig.proxy.listener
            client, loop = client_of(rig), asyncio.get_running_loop()
            client.sendall(ask("/read", 1))
            while not callers.connections:
                await asyncio.sleep(0.001)
            close = rig.proxy.abort_open_requests

            def close_late() -> None:
                close()
                let.set()
                loop.call_soon(time.sleep, 2 * listener.ACCEPT_RETRY_INTERVAL_S)  # as other work would

            monkeypatch.setattr(rig.proxy, "abort_open_requests", close_late)
            await callers.shut_down()
            client.setblocking(False)  # the process is over: what is not there now never comes
            assert client.recv(65_536).startswith(b"HTTP/1.1 503 ")
            assert client.recv(1) == b""

    run(scenario())


def test_improper_peers_get_what_they_are_owed_as_soon_as_a_busy_loop_runs_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """They connected while it was busy, longer than they are waited for: that time has passed for them."""
    monkeypatch.setattr(client_connection, "REQUEST_TIMEOUT_S", 0.2)
    monkeypatch.setattr(client_connection, "SWEEP_INTERVAL_S", 0.02)

    async def scenario() -> None:
        sweeps, enough = set[float](), ClientConnection.expire_if_slow

        def counted(connection: ClientConnection, now: float, half_s: float, idle_s: float) -> bool:
            sweeps.add(now)
            return enough(connection, now, half_s, idle_s)

        monkeypatch.setattr(ClientConnection, "expire_if_slow", counted)
        upstream = Upstream()
        async with Rig(upstream) as rig:
            await asyncio.sleep(0)  # it listens, and looks round from now on
            wanted = {
                b"BAD\r\n\r\n": b"HTTP/1.1 400 ",
                b"": b"",
                b"GET /read HT": b"HTTP/1.1 408 ",
                ask("/read", 1)[:-2]: b"HTTP/1.1 408 ",
                ask("/pay", 2, b"debit")[:-1]: b"HTTP/1.1 408 ",
            }
            peers = [client_of(rig) for _ in wanted]
            for peer, sent in zip(peers, wanted, strict=True):
                peer.sendall(sent)
            time.sleep(0.3)  # the loop is busy
            for peer in peers:
                peer.setblocking(False)
            loop = asyncio.get_running_loop()
            answers = [await loop.sock_recv(peer, 65_536) for peer in peers]
            for answer, start in zip(answers, wanted.values(), strict=True):
                assert answer.startswith(start)
                assert bool(answer) == bool(start)
            # Counted anew from when they were accepted it would have been ten.
            assert len(sweeps) <= 6
            assert not upstream.connections

    run(scenario())


def test_who_sends_a_byte_at_a_time_to_a_busy_loop_gets_its_error(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each look found a byte that was not read yet, and put the end off."""
    monkeypatch.setattr(client_connection, "REQUEST_TIMEOUT_S", 0.05)
    monkeypatch.setattr(client_connection, "SWEEP_INTERVAL_S", 0.01)

    async def scenario() -> None:
        enough, looks = ClientConnection.expire_if_slow, list[float]()
        async with Rig(Upstream()) as rig:
            peer = client_of(rig)
            peer.sendall(b"GET /read?")

            def byte_before(connection: ClientConnection, now: float, *spans: float) -> bool:
                if (
                    now - connection.request_started_at >= client_connection.REQUEST_TIMEOUT_S
                    and not connection.discards_input
                ):
                    looks.append(now)
                    peer.send(b"x")
                return enough(connection, now, *spans)

            monkeypatch.setattr(ClientConnection, "expire_if_slow", byte_before)
            peer.setblocking(False)
            answer = await asyncio.get_running_loop().sock_recv(peer, 65_536)
            assert answer.startswith(b"HTTP/1.1 408 ")
            assert len(looks) <= 4

    run(scenario())


def test_the_rest_of_a_request_that_is_there_at_the_last_look_is_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(client_connection, "REQUEST_TIMEOUT_S", 0.05)
    monkeypatch.setattr(client_connection, "SWEEP_INTERVAL_S", 0.01)

    async def scenario() -> None:
        enough, rest = ClientConnection.expire_if_slow, [ask("/read", 1)[-2:], ask("/read", 2)[-2:]]
        async with Rig(Upstream()) as rig:
            peer = await rig.client()
            peer.writer.write(ask("/read", 1)[:-2])
            client = peer.writer.transport.get_extra_info("socket")

            def rest_before(connection: ClientConnection, now: float, *spans: float) -> bool:
                if (
                    connection.is_request_pending()
                    and now - connection.request_started_at >= client_connection.REQUEST_TIMEOUT_S
                    and rest
                ):
                    with socket.socket(fileno=os.dup(client.fileno())) as own:
                        own.send(rest.pop())
                return enough(connection, now, *spans)

            monkeypatch.setattr(ClientConnection, "expire_if_slow", rest_before)
            assert status(await peer.answer()) == 200
            peer.writer.write(ask("/read", 2)[:-2])  # the same once more: each request has its own time
            assert status(await peer.answer()) == 200

    run(scenario())


def test_no_connection_goes_for_lack_of_room_while_its_request_is_being_taken(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """One is not set up yet, the request of another is not read yet; a third waits for room."""
    monkeypatch.setattr(listener, "REQUEST_TIMEOUT_UNDER_PRESSURE_S", 60.0)
    monkeypatch.setattr(listener, "IDLE_TIMEOUT_UNDER_PRESSURE_S", 60.0)

    async def scenario() -> None:
        async with Rig(Upstream()) as rig:
            callers, loop = rig.proxy.listener, asyncio.get_running_loop()
            callers.connection_limit = 2
            idle = await rig.client()
            idle.send()
            assert status(await idle.answer()) == 200
            let = hold_setting_up(monkeypatch)
            fresh = client_of(rig)
            fresh.sendall(ask("/read", 1))
            while len(callers.connections) < 2:
                await asyncio.sleep(0)
            waiting = client_of(rig)
            waiting.sendall(ask("/read", 2))
            with socket.socket(fileno=os.dup(idle.writer.get_extra_info("socket").fileno())) as own:
                own.sendall(ask("/read", 3))  # at once, before the loop could read it
            monkeypatch.setattr(listener, "REQUEST_TIMEOUT_UNDER_PRESSURE_S", 0.0)
            monkeypatch.setattr(listener, "IDLE_TIMEOUT_UNDER_PRESSURE_S", 0.0)
            callers._evicted_at = -1.0
            assert not callers.accept_pending()  # it looks for room now
            let.set()
            assert status(await idle.answer()) == 200
            for client in (fresh, waiting):
                client.setblocking(False)
                assert (await loop.sock_recv(client, 65_536)).startswith(b"HTTP/1.1 200 ")

    run(scenario())
