"""What discovery has to tell is heard before it counts as told, whatever failed before.

Discovery and the time are stand-ins here: the loop's clock jumps to what is due next, and connections to
discovery lead into a script, so that minutes of an outage pass in an instant and the worst instant of its
end can be chosen.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import selectors
import socket
import sys
from collections.abc import Callable, Coroutine
from functools import partial
from pathlib import Path
from typing import Any, TypeVar, cast

import pytest

from loadbalancer.actions import Action, SetTimer
from loadbalancer.configuration import read_configuration
from loadbalancer.endpoints import EndpointState
from loadbalancer.events import EndpointListKind, EndpointListUpdate, Event, Outcome
from loadbalancer.network import endpoint_watch as discovery
from loadbalancer.network.proxy import Proxy
from loadbalancer.network.upstream_pool import SPARE_SOCKETS
from loadbalancer.policy import poll_backoff as policy
from tests.network.loopback import (
    Client,
    DiscoveryServer,
    Rig,
    Upstream,
    config_text,
    entry,
    read_message,
    response,
    run,
    silent,
    status,
)
from tests.network.test_upstreams import Try, make
from tests.policy.helpers import PolicyHarness, of_type

TOLD_S = 6.0  # after a failed call: from when discovery had a change, and could be reached
SILENT_S = 2.0  # after the wait of a watch that fell silent, if that is later
MOVED_S = 4.0  # after SIGHUP
MARGIN_S = 1.0
LIST_S = 0.35  # to connect, and to get and read a list of 7,000 entries (930 kB)
SPREAD_MOST = 1.5  # of pauses
FAULTS = ("refuses", "resets", "away", "late", "silent", "error", "half")
DOWN = ("refuses", "away", "late")  # the faults that show as soon as a connection is opened
T = TypeVar("T")


class _Jump:
    """Stands in for waiting: where nothing has come in, the time moves on to what is due."""

    def __init__(self, inner: selectors.BaseSelector) -> None:
        self._inner, self.now = inner, 1_000.0

    def __getattr__(self, name: str) -> Any:
        return getattr(self._inner, name)

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        ready = self._inner.select(0)
        if not ready:
            assert timeout is not None, "nothing is due any more"
            self.now += max(timeout, 0.0)
        return ready


class _Loop(asyncio.SelectorEventLoop):
    """A loop with a clock of its own, from which connections lead to stand-ins of discovery."""

    def __init__(self) -> None:
        self.jump = _Jump(selectors.DefaultSelector())
        self.agents: dict[int, Agent] = {}
        super().__init__(cast(selectors.BaseSelector, self.jump))

    def time(self) -> float:
        return self.jump.now

    async def create_connection(self, factory: Any, host: Any = None, port: Any = None, **_: Any) -> Any:  # type: ignore[override]
        return await self.agents[port].connect(factory)


class _Line(asyncio.Transport):
    """One connection to the stand-in."""

    def __init__(self, agent: Agent, protocol: asyncio.Protocol) -> None:
        super().__init__()
        self.agent, self.protocol, self.open = agent, protocol, True
        self.dead = False  # quiet for ever, whatever comes
        self.after: int | None = None  # of the watch that stands
        self.calls = 0

    def write(self, data: Any) -> None:
        if self.open:
            self.agent.called(self, bytes(data).split(b"\r\n")[0].decode())

    def abort(self) -> None:
        if self.open:
            self.open, self.after = False, None
            self.agent.lines.discard(self)
            asyncio.get_running_loop().call_soon(self.protocol.connection_lost, None)

    def give(self, data: bytes) -> None:
        """Bytes of an answer."""
        self.after = None
        asyncio.get_running_loop().call_soon(self._give, data)

    def _give(self, data: bytes) -> None:
        if self.open and not self.dead:
            self.protocol.data_received(data)


class Agent:
    """Discovery as scripted: `fault` is what is wrong with it at the time."""

    def __init__(self, loop: _Loop, port: int) -> None:
        self.loop, self.port = loop, port
        loop.agents[port] = self
        self.fault = ""
        self.index = 8
        self.entries: list[dict[str, Any]] = []
        self.lines: set[_Line] = set()
        self.tries: list[float] = []  # when connections were asked for, or calls came on those that stood
        self.calls: list[str] = []
        self.watched: asyncio.Queue[tuple[float, float]] = asyncio.Queue()  # when a watch began, and its wait
        self.on_try: Callable[[], object] = lambda: None  # called when a try has met its fate

    async def connect(self, factory: Callable[[], asyncio.Protocol]) -> Any:
        fault = self.fault
        if fault in DOWN:
            self.tries.append(self.loop.time())
            self.on_try()
        if fault == "refuses":
            raise ConnectionRefusedError
        if fault == "away":
            await self.loop.create_future()  # comes up never
        if fault == "late":
            await asyncio.sleep(0.99 * discovery.CONNECT_S)  # and what is asked on it is not answered
        protocol = factory()
        line = _Line(self, protocol)
        line.dead = fault == "late"
        self.lines.add(line)
        protocol.connection_made(line)
        return line, protocol

    def called(self, line: _Line, call: str) -> None:
        if not line.dead:
            self.tries.append(self.loop.time())
        self.calls.append(call)
        line.calls += 1
        self._answer(line, call)
        self.on_try()

    def _answer(self, line: _Line, call: str) -> None:
        _, _, query = call.split(" ")[1].partition("?")
        asked = dict(part.split("=") for part in query.split("&") if part)
        body = response(200, json.dumps({"index": 8, "snapshot": False, "endpoints": []}).encode())
        match self.fault:
            case _ if line.dead:
                pass
            case "silent" | "away" | "late":
                line.dead = True
            case "resets" | "refuses":
                line.abort()
            case "error":
                line.give(response(500, b"sorry"))
            case "half":
                line.give(body[:-5])
                self.loop.call_soon(setattr, line, "dead", True)
            case _ if "after" not in asked or int(asked["after"]) < self.index:
                line.give(self._news("after" not in asked))
            case _:
                line.after = int(asked["after"])
                wait_s = float(asked["wait_ms"]) / 1000
                self.loop.call_later(wait_s, self._wait_over, line, line.calls)
                self.watched.put_nowait((self.loop.time(), wait_s))

    def _wait_over(self, line: _Line, number: int) -> None:
        if line.after is not None and number == line.calls:
            line.give(self._news(False))

    def _news(self, whole: bool) -> bytes:
        news = {"index": self.index, "snapshot": whole, "endpoints": self.entries}
        return response(200, json.dumps(news).encode())

    def fail(self, fault: str) -> None:
        """From now on something is wrong; what stood shows it, or stays quiet."""
        self.fault = fault
        for line in list(self.lines):
            if fault in ("refuses", "resets"):
                line.abort()
            elif fault in ("silent", "away", "late"):
                line.dead = True
            elif line.after is not None:
                self._answer(line, "GET /v1/servers HTTP/1.1")

    def change(self) -> None:
        """An upstream begins to drain; whoever watches hears of it."""
        self.index += 1
        self.entries = [entry("s0", "127.0.0.1:9", status="terminating")]
        for line in list(self.lines):
            if line.after is not None:
                line.give(self._news(False))


class Told:
    """A balancer on such a loop, and when its module heard of the drain."""

    def __init__(self, agent: Agent, seed: int, poll_deadline_ms: float, how: str) -> None:
        loop = agent.loop
        contract = {"drainGrace": 500.0, "askWithin": poll_deadline_ms}
        text = config_text(
            f"127.0.0.1:{agent.port}", [entry("s0", "127.0.0.1:9")], discovery=how, contract=contract
        ).replace("8c1f30d27a5be964", f"{seed:x}")
        self._text = text
        self.proxy = Proxy(read_configuration(text, lambda note: None), loop)
        self.proxy.clock.now = lambda: 1e12 + loop.time() * 1000  # type: ignore[method-assign]
        handle = self.proxy.balancer.handle
        self.heard: asyncio.Future[float] = loop.create_future()
        self.kinds: list[EndpointListKind] = []

        def spy(event: Event, now: float) -> list[Action]:
            if isinstance(event, EndpointListUpdate):
                self.kinds.append(event.kind)
                drains = any(m.state is EndpointState.DRAINING for m in event.endpoints)
                if drains and not self.heard.done():
                    self.heard.set_result(loop.time())
            return handle(event, now)

        self.proxy.balancer.handle = spy  # type: ignore[method-assign]
        self.proxy.start()

    def move(self, agent: Agent) -> None:
        """SIGHUP with another address of discovery."""
        text = json.loads(self._text) | {"discovery": f"127.0.0.1:{agent.port}"}
        self.proxy.reconfigure(read_configuration(json.dumps(text), lambda note: None))

    async def hears(self) -> float:
        """When its module heard of the drain; it is let go then."""
        heard: float = await asyncio.wait_for(self.heard, 120)
        self.stop()
        return heard

    def stop(self) -> None:
        self.proxy.listener._pause()
        self.proxy.listener._listener.close()


def play(scenario: Callable[[_Loop], Coroutine[Any, Any, T]]) -> T:
    """Run a scenario on a loop whose time jumps."""
    with asyncio.Runner(loop_factory=_Loop) as runner:
        return runner.run(scenario(cast(_Loop, runner.get_loop())))


async def after_outage(loop: _Loop, fault: str, how: str, case: tuple[float, float, int, float]) -> float:
    """How long a change takes to be heard that is there at the end of an outage, in seconds.

    A case is `askWithin` (ms), how long the outage lasts at the least (s), the seed, and how long after a try
    that met it the outage ends (s).
    """
    poll_deadline_ms, lasts_s, seed, phase = case
    agent = Agent(loop, 1)
    told = Told(agent, seed, poll_deadline_ms, how)
    await asyncio.sleep(1.0)
    agent.fail(fault)
    began = loop.time()
    over = loop.create_future()

    def end() -> None:
        if not over.done():
            agent.fault = ""
            agent.change()
            over.set_result(loop.time())

    def met() -> None:
        if loop.time() >= began + lasts_s and agent.fault:
            agent.on_try = lambda: None
            loop.call_later(phase, end)

    agent.on_try = met
    came: float = await asyncio.wait_for(over, lasts_s + 60)
    return await told.hears() - came


@pytest.mark.parametrize("how", ["ask", "push"])
@pytest.mark.parametrize("fault", FAULTS)
def test_a_change_is_heard_in_time_after_an_outage_of_any_kind(fault: str, how: str) -> None:
    """With `askWithin` at 120 s the pause grew to a minute, and a silent call was waited for for 11 s."""
    asked = ((3_000.0, 10_000.0, 120_000.0), (0.0, 4.0, 20.0, 300.0), (1, 2, 3))
    pushed = ((10_000.0,), (0.0, 4.0, 60.0), (1,))  # nothing is by chance there but the length of a wait
    cases = itertools.product(*(asked if how == "ask" else pushed), (0.0, 0.3, 2.0))
    for case in cases:
        took = play(partial(after_outage, fault=fault, how=how, case=case))
        assert took + LIST_S < TOLD_S - MARGIN_S, case


@pytest.mark.parametrize("how", ["ask", "push"])
def test_what_a_watch_misses_that_falls_silent_is_heard_in_time(how: str) -> None:
    """A second to notice and three quarters of a pause left no time for the list itself."""

    async def scenario(loop: _Loop, seed: int, calls: int) -> None:
        agent = Agent(loop, 1)
        told = Told(agent, seed, 10_000.0, how)
        for _ in range(calls):
            began, wait_s = await asyncio.wait_for(agent.watched.get(), 60)
        agent.fail("silent")
        agent.fault = ""  # only what stood is dead
        agent.change()
        counts = max(began + wait_s + SILENT_S, loop.time() + TOLD_S)
        assert await told.hears() + LIST_S < counts

    for seed, calls in itertools.product(range(1, 30), (1, 3)):
        play(partial(scenario, seed=seed, calls=calls))


@pytest.mark.parametrize("how", ["ask", "push"])
@pytest.mark.parametrize("fault", FAULTS)
def test_after_a_move_the_failures_before_it_count_no_more(fault: str, how: str) -> None:
    """The new discovery's first call failed, and it was asked again after the pause of a long outage."""

    async def scenario(loop: _Loop, seed: int, phase: float) -> None:
        old, new = Agent(loop, 1), Agent(loop, 2)
        told = Told(old, seed, 120_000.0, how)
        await asyncio.sleep(1.0)
        old.fail("refuses")
        await asyncio.sleep(40.0)
        tries = len(old.tries)
        while len(old.tries) == tries:  # a try of the module's, whose pause runs then
            await asyncio.sleep(0.01)
        await asyncio.sleep(phase)
        new.fault = fault
        signal = loop.time()

        def recover() -> None:
            new.fault, new.on_try = "", lambda: None
            new.change()

        new.on_try = lambda: loop.call_soon(recover)  # the first call has met its fate
        told.move(new)
        heard = await told.hears()
        assert new.tries[0] == signal
        # Both at the new one's beginning: a connection that is late, and a call that is not answered.
        allowed = TOLD_S if fault == "late" else MOVED_S
        assert heard + LIST_S < signal + allowed

    for seed, phase in itertools.product(range(1, 6), (0.0, 0.4, 0.9)):
        play(partial(scenario, seed=seed, phase=phase))


def test_moves_during_an_outage_leave_one_call_at_a_time() -> None:
    """Each move's failed call set a timer beside the one that stood, and all of them went on for ever."""

    async def scenario(loop: _Loop) -> None:
        agents = [Agent(loop, port) for port in range(1, 9)]
        told = Told(agents[0], 1, 120_000.0, "ask")
        await asyncio.sleep(1.0)
        for agent in agents:
            agent.fail("refuses")
        await asyncio.sleep(30.0)
        for agent in agents[1:]:
            told.move(agent)
            await asyncio.sleep(0.2)
        await asyncio.sleep(10.0)
        last = agents[-1]
        before = len(last.tries)
        await asyncio.sleep(60.0)
        least_s = policy.MAX_POLL_BACKOFF_MS / 1000 * 0.5
        assert 60.0 / TOLD_S < len(last.tries) - before <= 60.0 / least_s
        assert sum(len(agent.tries) for agent in agents[1:-1]) == len(agents) - 2, "let go with the move"
        last.fault = ""
        last.change()
        heard = await told.hears()
        calls = len(last.calls)
        await asyncio.sleep(30.0)  # a timer that is left over does no harm to the watch that stands
        assert loop.time() >= heard + 30.0
        assert [line.after for line in last.lines] == [last.index]
        assert len(last.calls) - calls <= 30.0 / (discovery.WAIT_MS / 1000 * (1 - discovery.SPREAD)) + 1

    play(scenario)


def test_the_first_watch_after_a_failure_does_not_wait_long() -> None:
    async def scenario() -> None:
        async with Rig(Upstream()) as rig:
            await rig.ask()

            async def wait_ms() -> float:
                return float((await rig.discovery.calls.get()).partition("wait_ms=")[2].split(" ")[0])

            assert await wait_ms() > discovery.AGAIN_WAIT_MS
            rig.discovery.answers.put_nowait(response(500, b"sorry"))
            assert 0 < await wait_ms() <= discovery.AGAIN_WAIT_MS
            rig.discovery.tell(8)
            assert await wait_ms() > discovery.AGAIN_WAIT_MS

    run(scenario())


def test_balancers_do_not_ask_in_step_and_not_too_often_in_an_outage() -> None:
    """What is asked in vain costs discovery work just when it comes back."""
    span_s, seeds = 60.0, 20

    async def scenario(loop: _Loop, fault: str) -> list[float]:
        agent = Agent(loop, 1)
        told = [Told(agent, seed, 120_000.0, "ask") for seed in range(1, seeds + 1)]
        await asyncio.sleep(1.0)
        agent.fail(fault)
        await asyncio.sleep(20.0)
        agent.tries.clear()
        await asyncio.sleep(span_s)
        for one in told:
            one.stop()
        return agent.tries

    for fault in FAULTS:
        tries = play(partial(scenario, fault=fault))
        mean_s = policy.MAX_POLL_BACKOFF_MS / 1000
        assert len(tries) / (seeds * span_s) < 1.1 / mean_s, fault
        slots = [int(at * 10) for at in tries]
        assert max(map(slots.count, set(slots))) < seeds / 3, "no tenth of a second sees a third of them"
    again = play(partial(scenario, fault=fault))
    assert tries == pytest.approx(again), "the same seeds, the same pauses"


def test_the_worst_chain_stays_a_second_under_what_counts_as_told() -> None:
    rest_s = policy.MIN_POLL_PAUSE_MS / 1000 * SPREAD_MOST
    period_s = policy.MAX_POLL_BACKOFF_MS / 1000 * SPREAD_MOST
    again_s = discovery.AGAIN_WAIT_MS / 1000 + discovery.LATE_S
    worst_s = TOLD_S - MARGIN_S
    # Discovery is back, or the change there, just after a try began that is bound to fail.
    assert period_s + LIST_S < worst_s, "it failed at once: the next one is due by its beginning"
    call_s = max(again_s, discovery.ANSWER_S)
    assert discovery.CONNECT_S + call_s + rest_s + LIST_S < worst_s, "it hung in all that may hang"
    assert discovery.CONNECT_S + call_s + discovery.PUSH_PAUSE_S + LIST_S < worst_s, "the same of an agent"
    # A watch that stood falls silent.
    assert discovery.LATE_S + rest_s + LIST_S < SILENT_S
    assert worst_s > discovery.PUSH_WAIT_MS / 1000 + discovery.LATE_S + LIST_S
    # SIGHUP, and the new one's first call fails.
    pause_s = discovery.MOVED_PAUSE_S * SPREAD_MOST
    assert discovery.MOVED_S <= MOVED_S
    assert max(discovery.ANSWER_S, discovery.CONNECT_S) + pause_s + LIST_S < MOVED_S
    assert discovery.CONNECT_S + discovery.ANSWER_S + pause_s + LIST_S < worst_s
    assert period_s < discovery.MOVED_S, "a timer of before is due while the new one's calls are ours"
    assert call_s >= discovery.WHOLE_S, "an answer that stops short ends no later"


def test_failures_that_nobody_asked_for_do_not_add_up_to_a_long_pause() -> None:
    harness = PolicyHarness(2, polls_discovery=True)
    for _ in range(100):
        timer = of_type(harness.handle(EndpointListUpdate(EndpointListKind.FAILED)), SetTimer)[0]
    assert isinstance(timer, SetTimer)
    assert harness.now < timer.at_ms <= harness.now + policy.MAX_POLL_BACKOFF_MS * SPREAD_MOST


# ---- descriptors kept free for discovery --------------------------------------------------------


def test_idle_clients_that_fill_the_descriptors_keep_out_neither_discovery_nor_upstreams(
    tmp_path: Path,
) -> None:
    """Discovery is down meanwhile; what the balancer needs at its return has to be free then."""
    sockets, clients = 256, 320

    async def idle(port: int) -> None:
        for _ in range(100):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            with contextlib.suppress(ConnectionError):
                await reader.read()  # until it is told to make way
            writer.close()

    async def scenario() -> None:
        upstream, agent = Upstream(), DiscoveryServer()
        with socket.socket() as probe, socket.socket() as down:
            probe.bind(("127.0.0.1", 0))
            down.bind(("127.0.0.1", 0))  # does not listen yet: who comes is refused
            port, agent_port = probe.getsockname()[1], down.getsockname()[1]
            probe.close()
            raw = json.loads(config_text(f"127.0.0.1:{agent_port}", []))
            raw |= {"listen": f"127.0.0.1:{port}", "limits": {"memory_mb": 192, "sockets": sockets}}
            path = tmp_path / "config.json"
            path.write_text(json.dumps(raw))
            limited = f'ulimit -n {sockets} && exec "$0" -m loadbalancer'
            node = await asyncio.create_subprocess_exec(
                "sh",
                "-c",
                limited,
                sys.executable,
                env=os.environ | {"LB_CONFIG": str(path)},
                stderr=asyncio.subprocess.PIPE,
            )
            crowd: list[asyncio.Task[None]] = []
            try:
                assert node.stderr is not None
                assert b"list out of reach" in await node.stderr.readline()
                crowd.extend(asyncio.ensure_future(idle(port)) for _ in range(clients))
                cap, most = sockets // 2 - SPARE_SOCKETS, 0
                while most < cap:
                    most = max(most, len(os.listdir(f"/proc/{node.pid}/fd")))
                    await asyncio.sleep(0.01)
                for _ in range(100):  # they go on coming: over three times as many as are taken in
                    most = max(most, len(os.listdir(f"/proc/{node.pid}/fd")))
                    await asyncio.sleep(0.01)
                assert cap <= most <= sockets // 2, "the other half is for upstreams and discovery"
                server = await asyncio.start_server(agent._serve, sock=down)
                await agent.calls.get()
                agent.tell(8, entry("s0", await upstream.start()), snapshot=True)
                assert "after=8&" in await agent.calls.get()
                client = Client()
                client.reader, client.writer = await asyncio.open_connection("127.0.0.1", port)
                client.send()
                assert status(await client.answer()) == 200
                assert not any(task.done() for task in crowd), "the idle ones never went away"
                server.close()
            finally:
                for task in crowd:
                    task.cancel()
                node.kill()
                await node.wait()

    run(scenario())


def test_a_discovery_that_ends_each_connection_and_leaves_it_open_uses_up_no_descriptors() -> None:
    """It says `Connection: close` and does not close; each call left one connection behind."""

    async def scenario() -> None:
        open_now, index, served = 0, 7, asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal open_now, index
            open_now += 1
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                await read_message(reader)
                index += 1
                if index == 40:
                    served.set()
                    return
                body = json.dumps({"index": index, "snapshot": False, "endpoints": []}).encode()
                writer.write(response(200, body, "Connection: close"))
                await reader.read()
            open_now -= 1
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        config = read_configuration(
            config_text(f"{host}:{port}", [entry("s0", "127.0.0.1:9")]), lambda note: None
        )
        watch = discovery.EndpointWatch(config, lambda news: None, lambda: None)
        watch.start_watch()
        await served.wait()
        assert open_now < 10, "of 33: the one in use, and what is just closing"

    run(scenario())


def test_attempts_that_begin_in_one_turn_keep_to_the_upstreams_part_of_the_descriptors() -> None:
    """Each found room before the first had opened its connection: all that came at once got one."""

    async def scenario() -> None:
        upstream = Upstream(silent)
        upstreams = make(await upstream.start())
        upstreams.cap = 5
        tries = [Try(upstreams) for _ in range(12)]
        while upstream.connections < 5 or sum(bool(one.ends) for one in tries) < 7:
            assert upstreams.open_connections <= 5
            await asyncio.sleep(0.001)
        assert upstreams.open_connections == upstream.connections == 5
        assert [one.ends for one in tries if one.ends] == [[Outcome.NOT_SENT]] * 7

    run(scenario())
