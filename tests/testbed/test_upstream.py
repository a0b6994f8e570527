"""The testbed's hollow upstreams."""

from __future__ import annotations

import asyncio

import psutil
import pytest

from testbed.load import NO_ANSWER, Client, compose, request_ids
from testbed.upstream import Asked, Behaviour, UpstreamPools, UpstreamsApart, Way, next_tier
from tests.network.loopback import run
from tests.testbed.loads import IDS, VirtualClock, ask


@pytest.mark.parametrize(
    ("way", "status", "health", "counted"),
    [
        (Way.SERVE, 200, 200, {"served": 1}),
        (Way.FAIL, 500, 200, {"failed": 1}),
        (Way.TURN_AWAY, 503, 503, {"turned_away": 1}),
        (Way.HANG, NO_ANSWER, NO_ANSWER, {"hung": 1, "given_up": 1}),
        (Way.RESET, NO_ANSWER, NO_ANSWER, {"reset": 2}),
        (Way.REFUSE, NO_ANSWER, NO_ANSWER, {"asked": 0, "probes": 0, "connections": 0}),
    ],
)
def test_an_upstream_does_as_it_is_told(way: Way, status: int, health: int, counted: dict[str, int]) -> None:
    async def scenario() -> None:
        upstreams = UpstreamPools(seed=1)
        (upstream,) = await upstreams.start(1, hosts=82)
        assert upstream.address[0] == "127.82.0.1"
        await upstream.act(Behaviour(way))
        patience_ms = 20.0 if way is Way.HANG else 5_000.0
        client = Client(upstream.address)
        assert await ask(client, patience_ms) == status
        probe = b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n"
        assert (await client.call(probe, patience_ms / 1000)).status == health
        # A call that found its kept connection broken is sent again: a reset one is asked for only once.
        expected = {"asked": 1, "probes": 1, "reset": 0, "given_up": 0, "overlapping": 0} | counted
        expected["reset"] = int(way is Way.RESET)
        while upstream.connections and way in (Way.HANG, Way.RESET):
            await asyncio.sleep(0)
        assert {name: getattr(upstream.counts, name) for name in expected} == expected
        await upstream.act(Behaviour())
        assert await ask(client) == 200  # at the same address
        assert (await client.call(b"GET /read/x HTTP/1.1\r\nHost: h\r\n\r\n", 5.0)).status == 404
        upstreams.close()

    run(scenario())


def test_a_turned_away_call_is_marked_as_never_run() -> None:
    async def scenario() -> None:
        upstreams = UpstreamPools(seed=1)
        (upstream,) = await upstreams.start(1, hosts=82)
        await upstream.act(Behaviour(Way.TURN_AWAY))
        reader, writer = await asyncio.open_connection(*upstream.address)
        writer.write(compose("read", next(IDS), 100.0))
        head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 503 ")
        assert b"\r\nX-Not-Run: 1\r\n" in head
        writer.close()
        upstreams.close()

    run(scenario())


def test_a_part_of_the_calls_fails_as_the_seed_says() -> None:
    async def scenario(seed: int) -> list[int]:
        upstreams = UpstreamPools(seed)
        (upstream,) = await upstreams.start(1, hosts=82)
        await upstream.act(Behaviour(Way.FAIL, part=0.5))
        client = Client(upstream.address)
        statuses = [await ask(client) for _ in range(64)]
        assert upstream.counts.failed == statuses.count(500)
        upstreams.close()
        return statuses

    first = run(scenario(1))
    assert 16 < first.count(500) < 48
    assert run(scenario(1)) == first != run(scenario(2))


def test_a_chain_of_three_passes_the_time_that_remains_under_new_ids() -> None:
    async def scenario() -> None:
        clock = VirtualClock(step=0.1)
        upstreams = UpstreamPools(seed=1, clock=clock)
        chain = await upstreams.start(3, hosts=82)
        came: list[Asked] = []
        for number, upstream in enumerate(chain):
            upstream.seen = came.append
            if number < 2:
                ids = request_ids(seed=10 + number)
                upstream.calls = next_tier(Client(chain[number + 1].address), ids)
        client = Client(chain[0].address)
        assert await ask(client, 4_000.0, key="k1") == 200
        # The clock goes on by 0.1 s between a request's arrival and the call that it causes.
        assert [asked.deadline_ms for asked in came] == pytest.approx([4_000.0, 3_900.0, 3_800.0])
        assert len({asked.request_id for asked in came}) == 3
        assert {(asked.class_name, asked.key) for asked in came} == {("read", "k1")}
        await chain[2].act(Behaviour(Way.TURN_AWAY))
        assert await ask(client) == 500  # it fails if a call fails
        assert [upstream.counts.failed for upstream in chain] == [1, 1, 0]
        assert await ask(client, 50.0) == 500  # no time is left for a call: none is made
        assert [upstream.counts.asked for upstream in chain] == [3, 2, 2]
        upstreams.close()

    run(scenario())


def test_a_caller_that_gives_up_is_followed_down_the_chain() -> None:
    async def scenario() -> None:
        upstreams = UpstreamPools(seed=1)
        top, bottom = await upstreams.start(2, hosts=82)
        top.calls = next_tier(Client(bottom.address), request_ids(seed=2))
        await bottom.act(Behaviour(Way.HANG))
        call = asyncio.ensure_future(ask(Client(top.address)))
        while not bottom.counts.hung:
            await asyncio.sleep(0)
        call.cancel()
        while not bottom.counts.given_up:
            await asyncio.sleep(0)
        assert (top.counts.given_up, top.counts.failed, bottom.counts.asked) == (1, 0, 1)
        upstreams.close()

    run(scenario())


def test_upstreams_in_a_process_of_their_own_serve_count_and_end() -> None:
    async def scenario() -> None:
        apart = UpstreamsApart(3, 0.0, seed=1, hosts=82)
        try:
            assert [await ask(Client(address)) for address in apart.addresses] == [200] * 3
            counts = apart.counts()
            assert (counts.served, counts.connections) == (3, 3)
        finally:
            apart.stop()
        assert apart.pid is not None
        assert not psutil.pid_exists(apart.pid)

    run(scenario())
