"""Moments at which two things cross, each made to happen in the bad order."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
from pathlib import Path
from typing import Any

import pytest

from loadbalancer.actions import Action, StartAttempt
from loadbalancer.configuration import read_configuration
from loadbalancer.events import AttemptFinished, Event, Outcome, RequestReceived
from loadbalancer.network.proxy import Proxy
from loadbalancer.network.upstream_pool import UpstreamConnection, UpstreamPool
from tests.network.loopback import (
    Client,
    DiscoveryServer,
    Rig,
    Upstream,
    config_text,
    entry,
    free_port,
    response,
    run,
    silent,
    status,
)
from tests.network.test_upstreams import Try, make, told_list


def test_sigterm_twice_and_beside_a_sighup_leaves_what_was_taken_unharmed(tmp_path: Path) -> None:
    async def scenario() -> None:
        upstream, old, new = Upstream(silent), DiscoveryServer(), DiscoveryServer()
        entries = [entry("s0", await upstream.start())]
        port = free_port()
        path = tmp_path / "config.json"
        path.write_text(config_text(await old.start(), entries).replace("127.0.0.1:0", f"127.0.0.1:{port}"))
        node = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "loadbalancer",
            env=os.environ | {"LB_CONFIG": str(path)},
            stderr=asyncio.subprocess.PIPE,
        )
        assert node.stderr is not None
        try:
            client = await Client.of_program(port)
            client.send("/pay/x", b"debit")
            await upstream.seen.wait()
            path.write_text(config_text(await new.start(), entries))
            for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
                node.send_signal(number)
            assert b"configuration read again" in await node.stderr.readline()
            with pytest.raises(ConnectionRefusedError):  # until it listens no more
                while True:
                    _, late = await asyncio.open_connection("127.0.0.1", port)
                    late.close()
                    await asyncio.sleep(0.02)
            upstream.writers[0].write(response(200, b"unharmed"))
            assert (await client.answer()).body == b"unharmed"
            client.writer.close()
            assert await node.wait() == 0
        finally:
            if node.returncode is None:
                node.kill()

    run(scenario())


def test_a_list_may_be_indented_and_its_index_may_start_lower_after_a_return() -> None:
    async def scenario() -> None:
        async with Rig(Upstream()) as rig:
            await rig.ask()
            assert "after=7&" in await rig.discovery.calls.get()
            news = {"index": 2, "snapshot": True, "endpoints": [entry("s9", rig.entries[0]["address"])]}
            rig.discovery.answers.put_nowait(response(200, json.dumps(news, indent=4).encode()))
            assert "after=2&" in await rig.discovery.calls.get()
            assert set(rig.proxy.upstreams._pools) == {"s9"}

    run(scenario())


def test_an_answer_that_is_being_read_at_a_sighup_counts_no_more() -> None:
    async def scenario() -> None:
        async with Rig(Upstream()) as rig:
            await rig.ask()
            await rig.discovery.calls.get()
            news = {"index": 8, "snapshot": True, "endpoints": [entry("old", "127.0.0.1:9")]}
            whole = response(200, json.dumps(news).encode())
            rig.discovery.answers.put_nowait(whole[:-5])
            connection = rig.proxy._endpoint_watch._connection
            assert connection is not None
            while not connection.is_receiving:
                await asyncio.sleep(0.001)
            new = DiscoveryServer()
            text = config_text(await new.start(), [])
            connection.data_received(whole[-5:])  # the rest comes in the turn of the signal
            rig.proxy.reconfigure(read_configuration(text, lambda note: None))
            await new.calls.get()
            new.tell(3, entry("new", rig.entries[0]["address"]), snapshot=True)
            assert "after=3&" in await new.calls.get()
            await rig.discovery.ended.wait()
            assert set(rig.proxy.upstreams._pools) == {"new"}

    run(scenario())


def test_a_time_out_in_the_turn_of_an_answer_ends_the_attempt_once() -> None:
    async def scenario() -> None:
        upstream = Upstream(silent)
        upstreams = make(await upstream.start())
        attempt = Try(upstreams)
        await upstream.seen.wait()
        (connection,) = (attempt.attempt._connection,)
        assert connection is not None
        attempt.attempt._timed_out()
        connection.data_received(response())  # it was read before, and is handed on only now
        await upstream.ended.wait()
        assert attempt.ends == [Outcome.TIMED_OUT]
        assert upstreams.open_connections == 0

    run(scenario())


def test_an_idle_connection_that_ends_between_the_look_and_the_write_may_have_carried_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """What cannot be repeated is answered as failed, and sent once."""

    async def scenario() -> None:
        upstream = Upstream()
        async with Rig(upstream) as rig:
            assert status(await rig.ask()) == 200
            (idle,) = rig.proxy.upstreams._pools["s0"].idle
            idle.idle_since -= 1.0
            is_alive, looked = UpstreamConnection.is_alive, list[bool]()

            def crossing(connection: UpstreamConnection) -> bool:
                looked.append(is_alive(connection))
                theirs = upstream.writers[0].transport.get_extra_info("socket")
                with socket.socket(fileno=os.dup(theirs.fileno())) as their_end:
                    their_end.shutdown(socket.SHUT_RDWR)
                return looked[-1]

            monkeypatch.setattr(UpstreamConnection, "is_alive", crossing)
            told = list[Outcome]()
            handle = rig.proxy.balancer.handle

            def spy(event: Event, now: float) -> list[Action]:
                if isinstance(event, AttemptFinished):
                    told.append(event.outcome)
                return handle(event, now)

            rig.proxy.balancer.handle = spy  # type: ignore[method-assign]
            assert status(await rig.ask("/pay/x", b"debit")) == 502
            assert looked == [True]
            assert told == [Outcome.RESET]

    run(scenario())


@pytest.mark.parametrize("change", ["draining", "gone", "moved", "restarted"])
def test_a_list_change_while_an_attempt_connects_keeps_it_from_beginning_late(
    change: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        upstream = Upstream()
        address = await upstream.start()
        upstreams, connect = make(address), UpstreamPool.connect

        async def at_last(pool: UpstreamPool) -> UpstreamConnection:
            connection = await connect(pool)
            news = {
                "draining": told_list(entry("s0", address, status="terminating")),
                "gone": told_list(whole=True),
                "moved": told_list(entry("s0", "127.0.0.1:9")),
                "restarted": told_list(entry("s0", address, since_ms=5)),
            }[change]
            upstreams.update_endpoints(news)  # as the connection comes up
            assert pool.drains_since is not None
            pool.drains_since -= 0.5  # the grace has passed
            return connection

        monkeypatch.setattr(UpstreamPool, "connect", at_last)
        assert await Try(upstreams).outcome() is Outcome.CONNECT_FAILED
        assert not upstream.asked
        assert upstreams.open_connections == 0

    run(scenario())


def test_a_fault_of_the_module_with_other_events_queued_loses_none_of_them(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        monkeypatch.setattr(
            "loadbalancer.network.proxy.FAIL_SAFE_MARGIN_MS", -1e6
        )  # the fail-safe response comes too late
        async with Rig(Upstream()) as rig:
            handle, told = rig.proxy.balancer.handle, list[Event]()

            def faulty(event: Event, now: float) -> list[Action]:
                told.append(event)
                if isinstance(event, RequestReceived) and event.request_id == 1:
                    # Both fail at once: two endings are queued as the first of them is told.
                    return [StartAttempt(1, "nowhere", 100.0), StartAttempt(1, "nowhere", 100.0)]
                if isinstance(event, AttemptFinished) and (event.request_id, event.attempt_index) == (1, 0):
                    raise RuntimeError("a fault of the module")
                return handle(event, now) if getattr(event, "request_id", 0) != 1 else []

            rig.proxy.balancer.handle = faulty  # type: ignore[method-assign]
            assert status(await rig.ask()) == 503
            assert [type(e).__name__ for e in told if getattr(e, "request_id", 0) == 1] == [
                "RequestReceived",
                "AttemptFinished",
                "AttemptFinished",
                "ClientDisconnected",
            ]
            assert status(await rig.ask()) == 200
            assert not rig.proxy.open_requests

    run(scenario())
    assert "a fault of the module" in capsys.readouterr().err


READ = {"name": "read", "target": 2000.0, "deadline": 5000.0, "effect": "retryable"}
LIMITS = {"attemptsCap": 1, "connectTimeout": 500.0}


@pytest.mark.parametrize(
    "settings",
    [
        {"classes": [READ]},
        {"classes": [READ | {"worth": None, "lateShare": None, "keyScope": None}]},
        {"classes": [READ | {"worth": 0}]},
        {"classes": [READ | {"target": 300.0, "deadline": 200.0}]},
        {"orgs": []},
        {"orgs": None, "contract": None, "zone": None, "tier": 0, "unheardOf": {"a": [1, {"b": None}]}},
        {"limits": LIMITS | {"connIdle": 0, "mayCancel": None, "retryAfter": True, "maxRetryAfter": None}},
        {"contract": {"drainGrace": 0, "cold": 0, "coldFrom": 1.0}},
        {"balancers": 500, "discovery": "push"},
    ],
)
def test_all_that_the_settings_may_say_starts_and_serves(settings: dict[str, Any]) -> None:
    async def scenario() -> None:
        async with Rig(Upstream(), **settings) as rig:
            assert status(await rig.ask(deadline="5000m")) == 200

    run(scenario())


def test_the_smallest_limits_serve() -> None:
    async def scenario() -> None:
        upstream = Upstream()
        raw = json.loads(config_text("127.0.0.1:9", [entry("s0", await upstream.start())]))
        raw["limits"] = {"memory_mb": 32, "sockets": 50}
        rig = Rig()
        config = read_configuration(json.dumps(raw), lambda note: None)
        rig.proxy = Proxy(config, asyncio.get_running_loop())
        rig.proxy.start()
        assert status(await rig.ask()) == 200

    run(scenario())
