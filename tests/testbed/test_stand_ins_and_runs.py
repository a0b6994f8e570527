"""The testbed's settings, discovery stand-in, hollow balancers and meter."""

import asyncio
import json
import logging
import os
import subprocess
import sys
from collections.abc import Callable, Sequence
from dataclasses import astuple, dataclass, fields
from functools import partial
from itertools import islice
from types import SimpleNamespace
from typing import Any

import numpy as np
import psutil
import pytest
import structlog

from loadbalancer.configuration import Address, read_configuration
from loadbalancer.network import endpoint_watch as client
from loadbalancer.policy.balancer import SUBSET_COVER
from loadbalancer.settings import Idempotency
from testbed.discovery import Counts, Discovery, Mode, State, play, restarts, single_changes, times
from testbed.experiment import FOLDER, read_plan
from testbed.hollow import Hollow, HollowProcess
from testbed.meter import CoresWatch, LoopLag, processor_s, usage
from testbed.results import Row
from testbed.runs import RUNS, control_change, control_rest, list_size
from testbed.runs.control_delays import Spread, VersionSeen, delays_ms, spread
from testbed.runs.list_size_rounds import REFERENCES, RoundColumns, Rounds
from testbed.runs.list_size_rows import CellName, ListRow, with_growth
from testbed.settings import Entry, config, entry, fleet, site
from tests.network.loopback import ReceivedMessage, read_message, run

Known = dict[str, Entry]
# Of its own: a test of the command line leaves the shared one with an output that is closed.
SILENT_LOG = structlog.wrap_logger(
    structlog.ReturnLogger(), [], structlog.make_filtering_bound_logger(logging.CRITICAL)
)


class Watcher:
    """A client of discovery on one connection."""

    def __init__(self, address: Address) -> None:
        self._address = address

    async def __aenter__(self) -> "Watcher":
        self.reader, self.writer = await asyncio.open_connection(*self._address)
        return self

    async def __aexit__(self, *_: object) -> None:
        self.writer.close()

    def send(self, query: str = "", path: str = "/v1/servers") -> int:
        request = f"GET {path}{query} HTTP/1.1\r\nHost: d\r\n\r\n".encode()
        self.writer.write(request)
        return len(request)

    async def ask(self, query: str = "", path: str = "/v1/servers") -> ReceivedMessage:
        self.send(query, path)
        return await read_message(self.reader)

    async def told(self, query: str = "") -> tuple[int, bool, Known]:
        return told(await self.ask(query))


def told(answer: ReceivedMessage) -> tuple[int, bool, Known]:
    assert answer.line.split(" ")[1] == "200"
    said = json.loads(answer.body)
    return said["index"], said["snapshot"], {e["name"]: e for e in said["endpoints"]}


async def until(true: Callable[[], object]) -> None:
    """Let the loop run until something is true; `run` bounds it."""
    while not true():
        await asyncio.sleep(0)


def three() -> list[Entry]:
    return [entry(f"s{i}", f"127.0.0.1:{5000 + i}") for i in range(3)]


# ---- settings -------------------------------------------------------------------------------------


def test_settings_are_read_by_the_program_without_a_note() -> None:
    notes: list[str] = []
    entries = fleet(60)
    settings = site(balancers=7, tier=1, pushed=False, zone="r0-z0", limits={"mayDuplicate": True})
    read = read_configuration(
        config("n1", "127.0.0.1:0", ("127.0.0.2", 8500), entries, settings, seed=5, index=41), notes.append
    )
    assert notes == []
    assert (read.settings.balancers, read.settings.tier, read.settings.polls_discovery) == (7, 1, True)
    assert {c.idempotency for c in read.settings.classes} == set(Idempotency)
    assert read.settings.may_hedge
    assert read.settings.may_cancel
    assert read.settings.max_attempts == 4
    assert (read.seed, read.discovery, read.known_endpoints.index, read.descriptor_limit) == (
        5,
        ("127.0.0.2", 8500),
        41,
        1024,
    )
    assert [e.endpoint.name for e in read.known_endpoints.endpoints] == [e["name"] for e in entries]


def test_a_fleet_is_spread_over_its_zones_and_regions() -> None:
    entries = fleet(290, seed=3)
    assert entries == fleet(290, seed=3) != fleet(290, seed=4)
    zones = [e["zone"] for e in entries]
    assert len(set(zones)) == 29
    assert {zones.count(zone) for zone in zones} == {10}
    assert len({zone.partition("-")[0] for zone in zones}) == 8
    assert len({e["name"] for e in entries}) == len({e["address"] for e in entries}) == 290
    # The WIRE page: no two zones share a group's number.
    assert len({(e["zone"], e["group"]) for e in entries}) == len({e["group"] for e in entries})


# ---- discovery ------------------------------------------------------------------------------------


def test_discovery_tells_the_whole_list_and_then_what_changed() -> None:
    async def scenario() -> None:
        discovery = Discovery()
        await discovery.start()
        first = discovery.set(three())
        async with Watcher(discovery.agent(0)) as watcher:
            assert await watcher.told() == (first, True, {e["name"]: e for e in three()})
            drains, gone = (three()[0] | {"status": s} for s in ("terminating", "terminated"))
            weighs = three()[1] | {"weight": 2.0}
            discovery.change([drains])
            second = discovery.change([weighs])
            both = {"s0": drains, "s1": weighs}
            assert await watcher.told(f"?after={first}&wait_ms=60000") == (second, False, both)
            assert (await watcher.told())[2]["s0"]["status"] == "terminating"
            third = discovery.change([gone])
            # Gone is told among changes only; of two changes of one entry, the later.
            assert await watcher.told(f"?after={second}&wait_ms=60000") == (third, False, {"s0": gone})
            assert await watcher.told(f"?after={first}") == (third, False, {"s0": gone, "s1": weighs})
            assert await watcher.told() == (third, True, {"s1": weighs, "s2": three()[2]})
            # Versions that it does not know, or knows no longer, get the whole list.
            assert (await watcher.told(f"?after={third + 5}&wait_ms=60000"))[:2] == (third, True)
            fourth = discovery.set(three())
            assert (await watcher.told(f"?after={third}&wait_ms=60000"))[:2] == (fourth, True)
            assert await watcher.told(f"?after={fourth}&wait_ms=0") == (fourth, False, {})
        await discovery.stop()

    run(scenario())


def test_discovery_forgets_old_changes_and_then_tells_the_whole_list(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("testbed.discovery.KEPT", 1)

    async def scenario() -> None:
        discovery = Discovery()
        first = discovery.set(three())
        second, third = (discovery.change([e | {"weight": 2.0}]) for e in three()[:2])
        assert json.loads(discovery.body(first)[0])["snapshot"]
        newer = json.loads(discovery.body(second)[0])
        assert (newer["index"], newer["snapshot"]) == (third, False)
        assert [e["name"] for e in newer["endpoints"]] == ["s1"]

    run(scenario())


def test_a_watch_ends_with_news_or_with_its_wait() -> None:
    async def scenario() -> None:
        discovery = Discovery()
        await discovery.start()
        index = discovery.set(three())
        async with Watcher(discovery.agent(0)) as watcher:
            assert await watcher.told(f"?after={index}&wait_ms=5") == (index, False, {})
            watcher.send(f"?after={index}&wait_ms=60000")
            await until(lambda: discovery.counts().calls == 2)
            assert discovery.agents[0].told == index
            news = discovery.change([three()[2] | {"weight": 4.0}])
            assert discovery.agents[0].told == news  # written at once
            assert discovery.changed_at[news] <= discovery.written_at[news]
            assert told(await read_message(watcher.reader))[0] == news
            for query, path, status in (
                ("?after=1&wait_ms=60001", "/v1/servers", "400"),
                ("?after=x", "/v1/servers", "400"),
                ("", "/v1/others", "404"),
            ):
                assert (await watcher.ask(query, path)).line.split(" ")[1] == status
        await discovery.stop()

    run(scenario())


def test_a_watch_continues_where_the_next_call_comes_within_200_ms() -> None:
    now = [10.0]

    async def scenario() -> None:
        discovery = Discovery(lambda: now[0])
        index = discovery.set(three())
        async with Watcher(discovery.agent(0)) as watcher:
            await watcher.told()
            for pause, expected in ((0.2, (0, 1)), (0.201, (1, 1)), (0.0, (1, 2))):
                now[0] += pause
                await watcher.told(f"?after={index}")
                counts = discovery.counts()
                assert (counts.watches, counts.continued) == expected
        await discovery.stop()

    run(scenario())


def test_discovery_counts_what_is_asked_and_told() -> None:
    seen: list[tuple[int, int]] = []

    async def scenario() -> None:
        discovery = Discovery(on_watch=lambda agent, after, at: seen.append((agent, after)))
        index = discovery.set(three())
        sent = got = 0
        async with Watcher(discovery.agent(0)) as one, Watcher(discovery.agent(7)) as other:
            for watcher, query in ((one, ""), (one, f"?after={index}"), (other, "")):
                sent += watcher.send(query)
                head = await watcher.reader.readuntil(b"\r\n\r\n")
                length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0])
                got += len(head) + len(await watcher.reader.readexactly(length))
            counts = discovery.counts()
            assert (counts.calls, counts.whole, counts.entries) == (3, 2, 6)
            assert (counts.bytes_in, counts.bytes_out) == (sent, got)
            assert discovery.agents[7].counts.calls == 1
            assert discovery.agents[0].taken_up == index
            assert seen == [(0, index)]
            assert counts.plus(counts, -1) == Counts()
        await discovery.stop()

    run(scenario())


def test_agents_go_down_fall_silent_and_come_late_alone_or_as_a_group() -> None:
    async def scenario() -> None:
        discovery = Discovery()
        await discovery.start("127.32.0.9")
        index = discovery.set(three())
        near, far = discovery.agent(0, "r0", "r0-z0"), discovery.agent(1, "r1", "r1-z1")
        assert near[0] != far[0]
        assert discovery.agent(0) == near
        async with Watcher(near) as one, Watcher(far) as other:
            for watcher in (one, other):
                watcher.send(f"?after={index}&wait_ms=60000")
            await until(lambda: discovery.counts().calls == 2)
            discovery.put(State(Mode.SILENT), group="r1")
            index = discovery.change([three()[0] | {"weight": 2.0}])
            assert told(await read_message(one.reader))[0] == index
            assert discovery.agents[1].told == -1
            async with Watcher(far) as third:  # it accepts, though
                third.send()
                await until(lambda: discovery.counts().calls == 3)
                assert discovery.agents[1].told == -1
                discovery.put(State(), group="r1")
                assert told(await read_message(third.reader))[1]
                assert told(await read_message(other.reader))[0] == index
            discovery.put(State(Mode.DOWN), agent=1)
            discovery.put(State(late_ms=50.0))
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await other.told()
            with pytest.raises(ConnectionError):
                await asyncio.open_connection(*far)
            loop = asyncio.get_running_loop()
            asked_at = loop.time()
            assert (await one.told())[0] == index
            assert loop.time() >= asked_at + 0.045  # the loop's timers round to milliseconds
            discovery.put(State(), agent=1)
        async with Watcher(far) as again:
            assert (await again.told())[0] == index
        soon = discovery.agent(2)
        discovery.put(State(Mode.DOWN), agent=2)  # before its loop could accept
        with pytest.raises(ConnectionError):
            await asyncio.open_connection(*soon)
        await discovery.stop()
        with pytest.raises(ConnectionError):
            await asyncio.open_connection(*near)

    run(scenario())


def test_discovery_listens_on_loopback_only() -> None:
    with pytest.raises(ValueError, match="loopback"):
        run(Discovery().start("10.0.0.1"))


# ---- churn ----------------------------------------------------------------------------------------


def test_churn_is_the_same_for_a_seed_and_keeps_the_list() -> None:
    def played(seed: int) -> list[tuple[Entry, ...]]:
        return list(islice(single_changes(fleet(60), seed, lambda: 7.0), 500))

    assert played(1) == played(1) != played(2)
    assert list(times(5.0, 10.0, 1)) == list(times(5.0, 10.0, 1)) != list(times(5.0, 10.0, 2))
    assert 30 <= len(list(times(5.0, 10.0, 1))) <= 70
    assert max(times(5.0, 10.0, 1)) < 10.0
    status = {e["name"]: "in_service" for e in fleet(60)}
    seen, gone = set(), set()
    for (changed,) in played(1):
        assert changed["name"] not in gone  # a new process bears a new name
        before = status.pop(changed["name"], "new")
        seen.add((before, changed["status"], changed["since_ms"]))
        if changed["status"] != "terminated":
            status[changed["name"]] = changed["status"]
        else:
            gone.add(changed["name"])
        assert 57 <= len(status) <= 60
        assert list(status.values()).count("in_service") >= 57
    assert {(before, after) for before, after, since in seen} == {
        ("in_service", "terminating"),
        ("terminating", "terminated"),
        ("terminating", "in_service"),
        ("new", "in_service"),
    }
    assert {since for _, after, since in seen if after == "in_service"} == {7}


def test_restarts_in_steps_drain_and_return_every_entry() -> None:
    steps = list(restarts(fleet(10), 4, 1, lambda: 9.0))
    assert [len(step) for step in steps] == [4, 4, 4, 4, 2, 2]
    for drain, back in zip(steps[::2], steps[1::2], strict=True):
        assert [e["name"] for e in drain] == [e["name"] for e in back]
        assert {e["status"] for e in drain} == {"terminating"}
        assert {(e["status"], e["since_ms"]) for e in back} == {("in_service", 9)}
    assert len({e["name"] for step in steps for e in step}) == 10
    assert (
        steps == list(restarts(fleet(10), 4, 1, lambda: 9.0)) != list(restarts(fleet(10), 4, 2, lambda: 9.0))
    )


def test_churn_is_played_to_its_end() -> None:
    async def scenario() -> None:
        discovery = Discovery()
        first = discovery.set(fleet(10))
        late = await play(discovery, restarts(fleet(10), 5, 1, lambda: 9.0), [0.0] * 9)
        assert discovery.index == first + 4
        assert late >= 0
        assert {e["since_ms"] for e in discovery.entries} == {9}

    run(scenario())


# ---- hollow balancers -----------------------------------------------------------------------------


@pytest.mark.parametrize("pushed", [True, False])
def test_hollow_balancers_take_up_changes_through_the_real_watch(pushed: bool) -> None:
    async def scenario() -> None:
        discovery = Discovery()
        forced: list[list[int]] = [[], []]
        first = discovery.set(fleet(20))
        settings = site(balancers=2, pushed=pushed)
        hollows = []
        for i in range(2):
            text = config(f"n{i}", "127.0.0.1:0", discovery.agent(i), [], settings, seed=i)
            hollow = Hollow(
                read_configuration(text, lambda note: None),
                asyncio.get_running_loop(),
                partial(lambda book, index, at: book.append(index), forced[i]),
            )
            hollow.start()
            hollows.append(hollow)
        await until(lambda: all(agent.taken_up == first for agent in discovery.agents.values()))
        draining = fleet(20)[3] | {"status": "terminating"}
        second = discovery.change([draining])
        await until(lambda: all(agent.taken_up == second for agent in discovery.agents.values()))
        assert forced == [[0, first, second]] * 2
        assert discovery.counts().whole == 2
        for hollow in hollows:
            assert len(hollow.balancer._ready) == 19
            assert len(hollow.upstreams._pools) == 20
            assert draining["name"] not in {s.member.name for s in hollow.balancer._ready}
            with pytest.raises(ConnectionError):  # no callers
                await asyncio.open_connection(*hollow.listener.address)

    run(scenario())


def test_a_hollow_balancer_carries_out_timers_and_asks_again(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("loadbalancer.policy.balancer.LIST_RETRY_MS", 2.0)
    monkeypatch.setattr(client, "ANSWER_S", 0.05)

    async def scenario() -> None:
        discovery = Discovery()
        forced: list[int] = []
        first = discovery.set(three())
        address = discovery.agent(0)
        discovery.put(State(Mode.SILENT))
        text = config("n0", "127.0.0.1:0", address, [], site(balancers=1, pushed=False), seed=1)
        Hollow(
            read_configuration(text, lambda note: None),
            asyncio.get_running_loop(),
            lambda index, at: forced.append(index),
        ).start()
        await until(lambda: discovery.counts().calls == 2)  # the first was given up, by a timer it asks again
        discovery.put(State())
        await until(lambda: first in forced)

    run(scenario())


def test_a_process_of_hollow_balancers_reports_when_changes_were_in_force() -> None:
    async def scenario() -> None:
        discovery = Discovery()
        first = discovery.set(three())
        texts = {
            i: config(f"n{i}", "127.0.0.1:0", discovery.agent(i), [], site(balancers=3), seed=i)
            for i in range(3)
        }
        process = HollowProcess(texts)
        await until(lambda: all(agent.taken_up == first for agent in discovery.agents.values()))
        began = process.report()
        assert sorted(began.balancers) == [0, 0, 1, 1, 2, 2]
        assert set(began.indexes) == {0, first}
        second = discovery.change([three()[1] | {"weight": 2.0}])
        await until(lambda: all(agent.taken_up == second for agent in discovery.agents.values()))
        last = process.stop()
        assert sorted(last.balancers) == [0, 1, 2]
        assert set(last.indexes) == {second}
        assert all(discovery.changed_at[second] <= at for at in last.times)
        assert last.lag_longest_s >= last.lag_99_s >= 0
        await discovery.stop()
        assert not psutil.pid_exists(process.pid)

    run(scenario())


# ---- meter ----------------------------------------------------------------------------------------


def test_the_meter_counts_a_childs_processor_time_and_descriptors() -> None:
    work = "while time.process_time() < 0.15: pass"
    held = "kept = [open('/dev/null') for _ in range(20)]"
    code = "\n".join(("import sys, time", held, work, "print(1, flush=True)", "sys.stdin.read()"))
    child = subprocess.Popen([sys.executable, "-c", code], stdin=subprocess.PIPE, stdout=subprocess.PIPE)
    assert child.stdout is not None
    assert child.stdin is not None
    child.stdout.readline()
    one = usage([child.pid])
    assert 0.14 <= one.processor_s < 5
    assert 20 < one.descriptors < 60
    assert one.resident > 1 << 20
    own = processor_s(os.getpid())
    both = usage([child.pid, os.getpid()])
    assert both.descriptors > one.descriptors
    assert both.processor_s >= one.processor_s + own
    child.stdin.close()
    child.wait()
    child.stdout.close()
    with pytest.raises(psutil.NoSuchProcess):
        usage([child.pid])
    assert own > 0


def test_full_cores_are_a_doubt(monkeypatch: pytest.MonkeyPatch) -> None:
    readings: list[Any] = []

    def read(user: float, idle: float, steal: float, guest: float) -> None:
        names = {"user": user, "idle": idle, "iowait": 0.0, "steal": steal, "guest": guest}
        readings.append(SimpleNamespace(_fields=tuple(names), **names))

    monkeypatch.setattr(psutil, "cpu_times", lambda: readings.pop(0))
    read(100.0, 100.0, 0.0, 100.0)
    read(150.0, 150.0, 0.0, 150.0)
    assert CoresWatch().busy() == pytest.approx(0.5)
    read(100.0, 100.0, 0.0, 100.0)
    read(180.0, 105.0, 15.0, 180.0)
    assert CoresWatch().doubts("rest") == ["rest: the cores were 95% busy"]
    read(0.0, 0.0, 0.0, 0.0)
    read(0.0, 0.0, 0.0, 0.0)
    assert CoresWatch().doubts("rest") == []


def test_loop_lag_is_how_late_a_timer_runs() -> None:
    calls: list[tuple[float, Callable[[], None]]] = []
    loop: Any = SimpleNamespace(now=0.0, time=lambda: loop.now)

    def call_at(at: float, then: Callable[[], None]) -> Any:
        calls.append((at, then))
        return SimpleNamespace(cancel=calls.clear)

    loop.call_at = call_at
    lag = LoopLag(loop)
    for late in (0.0, 0.0, 0.25, 0.0):
        at, then = calls.pop()
        loop.now = at + late
        then()
    assert lag.take() == pytest.approx((0.0, 0.25), abs=1e-9)
    assert lag.take() == (0.0, 0.0)
    lag.stop()
    assert calls == []


# ---- runs -----------------------------------------------------------------------------------------


def test_the_run_on_list_sizes_measures_every_part_at_every_size(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(list_size, "reference_us", lambda: 50.0)
    plan = read_plan(FOLDER / "list_size.toml", RUNS)
    small = {
        "sizes": (6, 40),
        "warm_calls": 20,
        "calls": 400,
        "deltas": 3,
        "lists": 2,
        "rounds": 1,
        "rounds_max": 1,
    }
    findings = list_size.play(list_size.Plan.model_validate(plan.model_dump() | small), SILENT_LOG)
    rows = [row.columns() for row in findings.rows]
    lists = [row for row in rows if row["measured"] == "list"]
    decisions = [row for row in rows if row["measured"] == "decision"]
    assert [(row["entries"], row["keeps"]) for row in lists] == [
        (entries, keeps) for entries in (6, 40) for keeps in ("part", "all")
    ]
    assert [(row["calls"], row["shed"]) for row in decisions] == [(400, 0)] * 8
    kept = {row["keeps"]: row["servers_called"] for row in decisions if row["entries"] == 40}
    assert kept["part"] <= SUBSET_COVER < kept["all"]
    for row in lists:
        discovery = Discovery()
        discovery.set(fleet(row["entries"], seed=plan.seed))
        assert row["list_bytes"] == len(discovery.body(-1)[0])
        parts = sum(row[f"list_{part}_ms"] for part in ("parse", "read", "pools", "module"))
        assert 0 < row["list_module_ms"] < parts
        assert 0 < row["delta_module_us"] < row["delta_whole_us_99"]
        assert row["memory_kib"] > row["entries"]  # the list alone takes less than 1 KiB an entry
    slopes = {fit.y: fit for fit in findings.fits}
    assert slopes["list_bytes (all)"].slope == pytest.approx(
        (lists[3]["list_bytes"] - lists[1]["list_bytes"]) / 34
    )
    for keeps in ("part", "all"):
        assert {f"arrival_us_mean ({keeps}, tier {tier})" for tier in (0, 1)} <= slopes.keys()
    assert all("list_module_ms_growth" in row for row in lists[2:])


def list_row(entries: int, list_module_ms: float) -> ListRow:
    costs = {column.name: 1.0 for column in fields(ListRow) if column.name.startswith(("list_", "delta_"))}
    growth = {"delta_module_us_growth": None, "list_module_ms_growth": None}
    values: dict[str, Any] = costs | growth | {"memory_kib": 1.0, "list_module_ms": list_module_ms}
    return ListRow(
        cell=CellName(measured="list", entries=entries, keeps="all", tier=0),
        rounds=RoundColumns(rounds=1, rounds_played=1, reference_us=1.0),
        **values,
    )


def test_growth_is_the_power_of_the_length_between_two_sizes() -> None:
    rows = [list_row(entries, ms) for entries, ms in ((10, 1.0), (100, 1.0), (1000, 100.0))]
    grown = [row.columns() for row in with_growth(rows)]
    assert "list_module_ms_growth" not in grown[0]
    assert [row["list_module_ms_growth"] for row in grown[1:]] == pytest.approx([0.0, 2.0])
    assert [row["delta_module_us_growth"] for row in grown[1:]] == [0.0, 0.0]


@dataclass(frozen=True, slots=True, kw_only=True)
class EntriesRow(Row):
    entries: int


@dataclass(frozen=True, slots=True, kw_only=True)
class RoundsRow(Row):
    round: list[float]
    columns_of_rounds: RoundColumns


class CountedCell:
    def __init__(self) -> None:
        self.name = EntriesRow(entries=6)
        self.rounds = 0

    def play(self) -> float:
        self.rounds += 1
        return float(self.rounds)

    def row(self, quick_rounds: Sequence[float], columns: RoundColumns) -> RoundsRow:
        return RoundsRow(round=list(quick_rounds), columns_of_rounds=columns)


def test_only_rounds_beside_a_quick_core_count() -> None:
    def played(enough: int, most: int, *readings: float) -> tuple[list[dict[str, Any]], list[str]]:
        coming = iter([*[10.0] * REFERENCES, *readings])
        rounds: Rounds[RoundsRow] = Rounds(enough, most, lambda: next(coming))
        rounds.play(CountedCell())
        assert next(coming, None) is None
        findings = rounds.findings()
        return [row.columns() for row in findings.rows], findings.doubts

    # A slow reference before or after a round leaves it out; enough quick ones end the play.
    rows, doubts = played(2, 9, 10.0, 12.0, 19.0, 11.0, 12.5)
    assert rows == [{"round": [1.0, 4.0], "rounds": 2, "rounds_played": 4, "reference_us": 12.5}]
    assert doubts == []
    assert played(1, 2, 19.0, 10.0, 19.0) == ([], ["{'entries': 6}: none of 2 rounds was quick"])
    # A quicker core seen later makes the earlier rounds slow ones.
    rows, doubts = played(3, 3, 10.0, 10.0, 6.0, 6.0)
    assert [row["round"] for row in rows] == [[3.0]]


def test_a_change_is_at_a_balancer_with_the_first_version_as_new() -> None:
    # Versions 5, 6 and 7; balancer 1 hears of 5 and 6 at once, balancer 2 never of 7.
    times = [(1, 4, 9.0), (1, 6, 11.0), (2, 5, 10.5), (1, 7, 13.0), (2, 6, 12.0), (3, 7, 1.0)]
    seen = [VersionSeen(*time) for time in times]
    delays = delays_ms(seen, range(1, 3), 5, np.array([10.0, 10.5, 12.0]))
    assert delays.tolist() == [[1000.0, 500.0, 1000.0], [500.0, 1500.0, np.inf]]
    assert astuple(spread(delays[:1])) == pytest.approx((1000.0, 1000.0, 1000.0))
    assert spread(np.empty((0, 3))) == Spread(median=None, p99=None, longest=None)


def test_the_run_under_change_sees_every_change_at_every_balancer() -> None:
    plan = read_plan(FOLDER / "control_change.toml", RUNS)
    small: dict[str, Any] = {"sizes": (1, 3), "entries": 30, "multiples": (200.0, 400.0)}
    small |= {"spans_s": (0.1, 0.1), "processes": 2, "real": 1}
    findings = control_change.play(control_change.Plan.model_validate(plan.model_dump() | small), SILENT_LOG)
    rows = [row.columns() for row in findings.rows]
    assert [(row["balancers"], row["multiple"]) for row in rows] == [
        (balancers, multiple) for balancers in (1, 3) for multiple in (200.0, 400.0)
    ]
    for row in rows:
        assert row["changes"] > 0
        for told in ("in_force_ms", "taken_up_ms", "real_taken_up_ms"):
            assert 0 < row[f"{told}_median"] <= row[f"{told}_longest"] < float("inf")
        assert row["in_force_ms_median"] <= row["everywhere_ms_median"] <= row["in_force_ms_longest"]
        assert row["core_percent"] > 0
        assert row["real_core_percent"] > 0
        assert row["bytes_per_s"] > 0
    assert {row.whole_lists for row in findings.rows} == {0}  # all followed the list from the start
    assert {"in_force_ms_99 (200 times)", "core_percent (3 balancers)"} <= {fit.y for fit in findings.fits}


def test_the_run_under_change_waits_until_its_balancers_follow() -> None:
    plan = read_plan(FOLDER / "control_change.toml", RUNS)
    small: dict[str, Any] = {"sizes": (1, 2), "entries": 30, "multiples": (100.0, 400.0)}
    small |= {"spans_s": (0.1, 0.1), "processes": 1, "real": 0}
    findings = control_change.play(control_change.Plan.model_validate(plan.model_dump() | small), SILENT_LOG)
    assert [row.whole_lists for row in findings.rows] == [0] * 4
    assert {row.real_core_percent for row in findings.rows} == {None}


def test_the_run_at_rest_watches_a_real_balancer_of_each_size(monkeypatch: pytest.MonkeyPatch) -> None:
    modes = []

    def noted(**more: Any) -> dict[str, Any]:
        modes.append((more["balancers"], more["pushed"]))
        return site(**more)

    monkeypatch.setattr("testbed.runs.control_rest.settings.site", noted)
    plan = read_plan(FOLDER / "control_rest.toml", RUNS)
    small = {"sizes": (3, 30), "span_s": 0.05, "settle_s": 0.0, "hollow": 2}
    findings = control_rest.play(control_rest.Plan.model_validate(plan.model_dump() | small), SILENT_LOG)
    assert [(row.entries, row.mode) for row in findings.rows] == [
        (entries, mode) for mode in ("push", "ask") for entries in (3, 30)
    ]
    assert modes == [(entries, pushed) for pushed in (True, False) for entries in (3, 30)]
    assert all(row.resident_mib > 5 and row.descriptors > 5 for row in findings.rows)
    assert {"resident_mib (push)", "bytes_per_s (ask)"} <= {fit.y for fit in findings.fits}
