"""A stand-in for discovery (PROTOCOL page, "Discovery"): the list, its watch, one agent for each balancer.

What an agent does (answers, refuses, stays silent, is late) is set for it alone, for a group of agents, such
as a zone or a region that is lost or cut off, or for all.
"""

from __future__ import annotations

import asyncio
import enum
import ipaddress
import json
import random
import socket
import time
from collections.abc import Callable, Hashable, Iterable, Iterator
from dataclasses import dataclass, field
from typing import cast
from urllib.parse import parse_qs, urlsplit

import httptools

from loadbalancer.configuration import Address
from testbed.settings import EndpointEntry

WAIT_MOST_MS = 60_000  # of one watch call
CONTINUES_S = 0.2  # a watch call so soon after the answer before continues that watch
KEPT = 20_000  # changed names that are remembered; who was told less gets the whole list
ALL = "all"  # the group that every agent belongs to
_BACKLOG = 128
_GONE = "terminated"


class Mode(enum.Enum):
    """What an agent does with connections and calls."""

    UP = "up"
    SILENT = "silent"
    """Accepts and says nothing; calls that are still open once it is up again are answered then."""
    DOWN = "down"
    """Its connections are reset, new ones are refused."""


@dataclass(frozen=True, slots=True)
class State:
    """A mode, and by how many milliseconds every answer comes late."""

    mode: Mode = Mode.UP
    late_ms: float = 0.0


@dataclass(slots=True)
class Counts:
    """What calls cost; bytes are those of whole HTTP messages, without the layers below."""

    calls: int = 0
    watches: int = 0
    """Watch calls that began a watch, or began it anew."""
    continued: int = 0
    """Watch calls that came within 200 ms of the answer before."""
    whole: int = 0
    """Answers with the whole list."""
    entries: int = 0
    bytes_in: int = 0
    bytes_out: int = 0

    def plus(self, other: Counts, sign: int = 1) -> Counts:
        """The sum, or with sign -1 the difference, of two counts."""
        names = Counts.__slots__
        return Counts(**{name: getattr(self, name) + sign * getattr(other, name) for name in names})


@dataclass(slots=True)
class Agent:
    """One balancer's agent: where it listens, which groups it belongs to, what was asked and told."""

    number: int
    address: Address
    groups: tuple[Hashable, ...]
    counts: Counts = field(default_factory=Counts)
    told: int = -1
    """The version last written to the balancer."""
    taken_up: int = -1
    """The highest version that a watch call said it has."""
    answered_at: float = float("-inf")
    links: set[_Link] = field(default_factory=set)
    listener: socket.socket | None = None
    server: asyncio.Server | None = None


class Discovery:
    """The list and its agents, on the running loop.

    `clock` gives seconds and dates changes and calls; `on_watch(agent, after, at)` hears of each watch call.
    """

    def __init__(
        self,
        clock: Callable[[], float] = time.monotonic,
        on_watch: Callable[[int, int, float], None] = lambda agent, after, at: None,
    ) -> None:
        self._clock, self._on_watch = clock, on_watch
        self.index = 0
        self.changed_at: list[float] = [clock()]
        """By version: when the list became that."""
        self.written_at: list[float] = [clock()]
        """By version: when the last of the open watches had been written it."""
        self._entries: dict[str, EndpointEntry] = {}
        self._changed: dict[str, tuple[int, EndpointEntry]] = {}  # by name, the latest change last
        self._horizon = 0  # changes after this version are all remembered
        self._agents: dict[int, Agent] = {}
        self._states: dict[Hashable, State] = {}
        self._first = ipaddress.IPv4Address("127.32.0.1")
        self._bodies: dict[int, tuple[bytes, int, bool]] = {}  # of this version, by what the caller has
        self._servers: set[asyncio.Task[None]] = set()

    async def start(self, host: str = "127.32.0.1") -> None:
        """Agents listen from now on: the first at `host`, each further one a loopback address higher."""
        self._first = ipaddress.IPv4Address(host)
        if not self._first.is_loopback:
            raise ValueError(f"{host} is no loopback address")

    async def stop(self) -> None:
        """Close all that listens and all connections."""
        for agent in self._agents.values():
            _refuse(agent)
        for task in self._servers:
            task.cancel()

    # ---- the list -------------------------------------------------------------------------------

    @property
    def entries(self) -> list[EndpointEntry]:
        """The whole list as it is now."""
        return list(self._entries.values())

    def set(self, entries: Iterable[EndpointEntry]) -> int:
        """A new list in place of the old one, told as a whole list to all; its version."""
        self._entries = {e["name"]: e for e in entries}
        self._changed.clear()
        self._horizon = self.index + 1
        return self._news()

    def change(self, entries: Iterable[EndpointEntry]) -> int:
        """Changed, new and (by status `terminated`) gone entries, as one change; the list's new version."""
        for entry in entries:
            name = entry["name"]
            if entry["status"] == _GONE:
                self._entries.pop(name, None)
            else:
                self._entries[name] = entry
            self._changed.pop(name, None)
            self._changed[name] = self.index + 1, entry
        while len(self._changed) > KEPT:
            self._horizon = self._changed.pop(next(iter(self._changed)))[0]
        return self._news()

    def _news(self) -> int:
        self.index += 1
        self.changed_at.append(self._clock())
        self._bodies.clear()
        for agent in self._agents.values():
            for link in agent.links:
                link.look()
        self.written_at.append(self._clock())
        return self.index

    def body(self, after: int) -> tuple[bytes, int, bool]:
        """The answer to one that has version `after` (-1: none): JSON, its entries, whether it is whole."""
        known = self._bodies.get(after)
        if known is None:
            whole = not self._horizon <= after <= self.index
            entries = self.entries if whole else list(self._since(after))
            told = {"index": self.index, "snapshot": whole, "endpoints": entries}
            known = json.dumps(told, separators=(",", ":")).encode(), len(entries), whole
            self._bodies[after] = known
        return known

    def _since(self, after: int) -> Iterator[EndpointEntry]:
        for index, entry in reversed(self._changed.values()):
            if index <= after:
                return
            yield entry

    def has_news(self, after: int) -> bool:
        """Whether something newer than that version exists, or that version never did."""
        return after != self.index

    # ---- agents ---------------------------------------------------------------------------------

    def agent(self, number: int, *groups: Hashable) -> Address:
        """The address of a balancer's agent; at the first call it begins to listen, as one of `groups`."""
        agent = self._agents.get(number)
        if agent is None:
            host = str(self._first + number)
            agent = self._agents[number] = Agent(number, (host, 0), groups)
            self._listen(agent)
            self._apply(agent)
        return agent.address

    @property
    def agents(self) -> dict[int, Agent]:
        """All agents by number."""
        return self._agents

    def counts(self) -> Counts:
        """The sum over all agents."""
        total = Counts()
        for agent in self._agents.values():
            total = total.plus(agent.counts)
        return total

    def put(self, state: State, *, agent: int | None = None, group: Hashable = ALL) -> None:
        """Set the state of one agent, or of a group; the default group holds all."""
        self._states[("agent", agent) if agent is not None else group] = state
        for each in self._agents.values():
            self._apply(each)

    def state(self, agent: Agent) -> State:
        """The worst mode of what is set for an agent, and the longest delay."""
        places: tuple[Hashable, ...] = (("agent", agent.number), ALL, *agent.groups)
        states = [self._states[place] for place in places if place in self._states]
        modes = {state.mode for state in states}
        worst = next((mode for mode in (Mode.DOWN, Mode.SILENT) if mode in modes), Mode.UP)
        return State(worst, max((state.late_ms for state in states), default=0.0))

    def _apply(self, agent: Agent) -> None:
        mode = self.state(agent).mode
        if mode is Mode.DOWN:
            _refuse(agent)
        elif agent.listener is None:
            self._listen(agent)
        if mode is Mode.UP:
            for link in list(agent.links):
                link.look()

    def _listen(self, agent: Agent) -> None:
        # The kernel takes connections from here on; the loop accepts them a moment later.
        agent.listener = socket.socket()
        agent.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        agent.listener.bind(agent.address)
        agent.listener.listen(_BACKLOG)
        agent.listener.setblocking(False)
        agent.address = agent.listener.getsockname()
        task = asyncio.get_running_loop().create_task(self._serve(agent, agent.listener))
        self._servers.add(task)
        task.add_done_callback(self._servers.discard)

    async def _serve(self, agent: Agent, listener: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        if agent.listener is not listener:  # it has gone down before it could accept
            return
        server = await loop.create_server(lambda: _Link(self, agent), sock=listener)
        if agent.listener is listener:
            agent.server = server
        else:
            server.close()

    # ---- calls ----------------------------------------------------------------------------------

    def called(self, agent: Agent, after: int) -> None:
        """Book a call; `after` is -1 for one that asks for the whole list at once."""
        now = self._clock()
        agent.counts.calls += 1
        if after < 0:
            return
        if now - agent.answered_at <= CONTINUES_S:
            agent.counts.continued += 1
        else:
            agent.counts.watches += 1
        agent.taken_up = max(agent.taken_up, after)
        self._on_watch(agent.number, after, now)

    def answered(self, agent: Agent, entries: int, whole: bool) -> None:
        """Book an answer that was written."""
        agent.answered_at = self._clock()
        agent.told = self.index
        agent.counts.entries += entries
        agent.counts.whole += whole


def _refuse(agent: Agent) -> None:
    """Close the listening socket and reset what is open."""
    if agent.server is not None:
        agent.server.close()
    if agent.listener is not None:
        agent.listener.close()
    agent.server = agent.listener = None
    for link in list(agent.links):
        link.reset()


class _Link(asyncio.Protocol):
    """One connection to an agent, with one call at a time."""

    def __init__(self, discovery: Discovery, agent: Agent) -> None:
        self._discovery, self._agent = discovery, agent
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._url = b""
        self._after: int | None = None  # of the call that is open
        self._ends: asyncio.TimerHandle | None = None
        self._late: asyncio.TimerHandle | None = None
        self._over = False  # the wait of the open call is over

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Join the agent's connections."""
        self._transport = cast(asyncio.Transport, transport)
        self._agent.links.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Whoever called is gone."""
        self._agent.links.discard(self)
        self._forget()

    def data_received(self, data: bytes) -> None:
        """Read on; what is no request ends the connection."""
        self._agent.counts.bytes_in += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.reset()

    def on_url(self, url: bytes) -> None:
        """Keep the target, which may come in pieces."""
        self._url += url

    def on_message_complete(self) -> None:
        """A call is whole: answer, or wait for news."""
        url, self._url = urlsplit(self._url.decode("latin-1")), b""
        query = parse_qs(url.query)
        try:
            after = int(query["after"][0]) if "after" in query else -1
            wait_ms = int(query["wait_ms"][0]) if "wait_ms" in query else 0
        except ValueError:
            after, wait_ms = -1, -1
        if url.path != "/v1/servers" or self._parser.get_method() != b"GET":
            self._write(404, b"")
        elif self._after is not None or not 0 <= wait_ms <= WAIT_MOST_MS or after < -1:
            self._write(400, b"")
        else:
            self._after, self._over = after, after < 0
            self._discovery.called(self._agent, after)
            if not self._over:
                self._ends = asyncio.get_running_loop().call_later(wait_ms / 1000, self._end_wait)
            self.look()

    def _end_wait(self) -> None:
        self._over = True
        self.look()

    def look(self) -> None:
        """Answer the open call if there is news or its wait is over, and once the agent speaks."""
        if self._after is None or self._late is not None:
            return
        state = self._discovery.state(self._agent)
        if not self._over and not self._discovery.has_news(self._after):
            return
        if state.late_ms:
            self._late = asyncio.get_running_loop().call_later(state.late_ms / 1000, self._answer)
        else:
            self._answer()

    def _answer(self) -> None:
        self._late = None
        if self._after is None or self._discovery.state(self._agent).mode is not Mode.UP:
            return
        body, entries, whole = self._discovery.body(self._after)
        self._forget()
        self._discovery.answered(self._agent, entries, whole)
        self._write(200, body)

    def _write(self, status: int, body: bytes) -> None:
        assert self._transport is not None
        head = b"HTTP/1.1 %d -\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
        data = head % (status, len(body)) + body
        self._agent.counts.bytes_out += len(data)
        self._transport.write(data)
        if not self._parser.should_keep_alive():
            self._transport.close()

    def _forget(self) -> None:
        self._after = None
        for timer in (self._ends, self._late):
            if timer is not None:
                timer.cancel()
        self._ends = self._late = None

    def reset(self) -> None:
        """End the connection at once."""
        self._forget()
        if self._transport is not None:
            self._transport.abort()


# ---- churn ----------------------------------------------------------------------------------------


def single_changes(
    entries: Iterable[EndpointEntry], seed: int, now_ms: Callable[[], float]
) -> Iterator[tuple[EndpointEntry, ...]]:
    """Changes of one entry each, without end: servers restart, drain and go, and new ones come for these.

    `now_ms` is Unix time in milliseconds, for `since_ms`. The list keeps its length within one in twenty.
    """
    chance = random.Random(seed)
    here = {e["name"]: e for e in entries}
    least, names = len(here) - max(len(here) // 20, 1), set(here)
    leaving: list[EndpointEntry] = []
    back: list[EndpointEntry] = []
    gone: list[EndpointEntry] = []
    while True:
        moves = ["restart", "drain"] if len(here) > least else []
        moves += [move for move, some in (("return", back), ("go", leaving), ("come", gone)) if some]
        move = chance.choice(moves)
        if move in ("restart", "drain"):
            entry = here.pop(chance.choice(list(here)))
            entry = entry | {"status": "terminating"}
            (back if move == "restart" else leaving).append(entry)
        elif move == "go":
            entry = leaving.pop(chance.randrange(len(leaving))) | {"status": _GONE}
            gone.append(entry)
        else:
            entry = (back if move == "return" else gone).pop(0)
            entry = entry | {"status": "in_service", "since_ms": int(now_ms())}
            if move == "come":
                while (name := f"s-{chance.getrandbits(32):08x}") in names:
                    pass
                names.add(name)
                entry["name"] = name
            here[entry["name"]] = entry
        yield (entry,)


def restarts(
    entries: Iterable[EndpointEntry], step: int, seed: int, now_ms: Callable[[], float]
) -> Iterator[tuple[EndpointEntry, ...]]:
    """A restart of all entries, `step` at a time in an order from the seed: each drains, then returns."""
    order = list(entries)
    random.Random(seed).shuffle(order)
    for i in range(0, len(order), step):
        yield tuple([e | {"status": "terminating"} for e in order[i : i + step]])
        since = int(now_ms())
        yield tuple([e | {"status": "in_service", "since_ms": since} for e in order[i : i + step]])


def times(rate_per_s: float, span_s: float, seed: int) -> Iterator[float]:
    """Moments of chance arrivals (exponential pauses), in seconds from the start of the span."""
    chance, at = random.Random(seed), 0.0
    while (at := at + chance.expovariate(rate_per_s)) < span_s:
        yield at


async def play(
    discovery: Discovery, changes: Iterator[tuple[EndpointEntry, ...]], moments: Iterable[float]
) -> float:
    """Make a change at each moment (seconds from now), whatever balancers do; the longest lateness in s."""
    loop = asyncio.get_running_loop()
    begin, late = loop.time(), 0.0
    for moment in moments:
        change = next(changes, None)
        if change is None:
            break
        if (pause := begin + moment - loop.time()) > 0:
            await asyncio.sleep(pause)
        late = max(late, loop.time() - begin - moment)
        discovery.change(change)
    return late
