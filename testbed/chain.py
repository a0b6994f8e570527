"""Tiers of servers that call one another through real decision modules, on one virtual clock.

Every server of the tiers 1..depth-1 has a `loadbalancer.policy.LoadBalancer` of its own that calls the next
tier; front balancers call the first one (PROTOCOL, "Callers to balancers"). Nothing here waits or opens a
socket: a heap of events stands for time, and all chance comes from the seed. `Host` carries out a module's
actions as `loadbalancer.network.proxy` does. Connections are always up: a message takes `hop_ms` each way, a
refused connect one `hop_ms`. A server and its own balancer are on one machine: no time passes between them.

All times are milliseconds of the virtual clock; only `decision_s` is the machine's time.
"""

from __future__ import annotations

import enum
import heapq
import math
import random
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from loadbalancer.actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    LogMessage,
    RejectRequest,
    SetTimer,
    StartAttempt,
    StartHealthCheck,
    WatchEndpoints,
)
from loadbalancer.endpoints import Endpoint
from loadbalancer.events import (
    NEVER_RAN,
    AttemptFinished,
    ClientDisconnected,
    EndpointListKind,
    EndpointListUpdate,
    Event,
    Outcome,
    RequestReceived,
    TimerFired,
)
from loadbalancer.network.proxy import FAIL_SAFE_MARGIN_MS, RESPONSE_MARGIN_MS
from loadbalancer.policy.balancer import LoadBalancer
from loadbalancer.settings import RequestClass, Settings


class Behaviour(enum.Enum):
    """What a server does with a call that reaches it."""

    SERVES = "serves"
    FAILS = "fails"
    """It answers a part of its calls with 500 once its work is done, and calls nobody for them."""
    REFUSES = "refuses"
    """Its listener is closed: new calls can't connect; what it has begun goes on."""
    TURNS_AWAY = "turns away"
    """It answers 503 with X-Not-Run at once."""
    HANGS = "hangs"
    """It takes calls and never answers; what came before goes on."""


class Clock:
    """Virtual time: what is due, by its moment; at the same moment, in the order it was asked for."""

    def __init__(self) -> None:
        self.now = 0.0
        self.events = 0
        self._due: list[tuple[float, int, Callable[[Any], None], Any]] = []
        self._asked = 0

    def at(self, moment: float, do: Callable[[Any], None], what: Any) -> None:
        """Call `do(what)` at a moment, or now if that has passed."""
        self._asked += 1
        heapq.heappush(self._due, (max(moment, self.now), self._asked, do, what))

    def run(self, events_most: int) -> bool:
        """Play what is due until nothing is left; false if so many events did not suffice."""
        due, pop = self._due, heapq.heappop
        while due:
            if self.events >= events_most:
                return False
            self.events += 1
            self.now, _, do, what = pop(due)
            do(what)
        return True


class Call:
    """One call from outside, and what it brought about."""

    __slots__ = ("arrived", "bottom", "chain", "deadline_part", "done", "phase", "status", "tried")

    def __init__(self, chain: Chain, phase: int) -> None:
        self.chain, self.phase, self.arrived = chain, phase, chain.clock.now
        self.done = math.inf
        self.status = 0
        """200 served, 502 failed, 503 refused; 0 while it is open."""
        self.tried = False
        """Whether the front made any attempt: one refused without was shed."""
        self.bottom = 0
        """Attempts at the last tier."""
        self.deadline_part = math.nan
        """What the first of them was given, as a part of the call's deadline."""

    def answer(self, status: int) -> None:
        """The front's answer."""
        self.status, self.done = status, self.chain.clock.now


class Taken(Protocol):
    """Whoever waits for a balancer's answer."""

    def answer(self, status: int) -> None:
        """The one final answer."""


class Request:
    """A request that a host has taken: `_Request` of the driver."""

    __slots__ = ("attempts", "call", "ends", "id", "open", "out", "queued", "ran", "taken")

    def __init__(self, number: int, taken: Taken, call: Call, ends: float) -> None:
        self.id, self.taken, self.call, self.ends = number, taken, call, ends
        self.attempts: list[Attempt | None] = []
        self.open, self.ran = True, False
        self.out = self.queued = 0


class Attempt:
    """One attempt: the caller's side of it, and the server's."""

    __slots__ = tuple(
        "_ended _index _request call closed deadline inner over server stage timeout_ms written".split()
    )

    def __init__(self, request: Request, server: Server, timeout_ms: float, ended: Ended) -> None:
        self._request, self._index, self._ended = request, len(request.attempts), ended
        self.server, self.call, self.timeout_ms = server, request.call, timeout_ms
        self.over = False  # for the caller
        self.written = False  # whether the server can have it
        self.closed = False  # whether the server has seen the caller's end of the connection
        self.stage = Stage.UNDER_WAY
        self.deadline = math.inf  # as the server understands it
        self.inner: Request | None = None  # the server's own call for it

    def start(self) -> None:
        """Send it, or fail to connect."""
        server, clock = self.server, self.server.clock
        if server.behaviour is Behaviour.REFUSES:
            clock.at(clock.now + server.hop_ms, self._connect_failed, None)
        else:
            self.written = True
            clock.at(clock.now + server.hop_ms, server.arrived, self)
        clock.at(clock.now + self.timeout_ms, self._timed_out, None)

    def cancel(self) -> None:
        """Stop waiting."""
        self.finish(Outcome.CANCELLED)

    def drop(self) -> None:
        """Take it back if it has not left."""
        if not self.written:
            self.finish(Outcome.NOT_SENT)

    def _connect_failed(self, _: None) -> None:
        self.finish(Outcome.CONNECT_FAILED)

    def _timed_out(self, _: None) -> None:
        self.finish(Outcome.TIMED_OUT if self.written else Outcome.CONNECT_FAILED)

    def finish(self, outcome: Outcome) -> None:
        """It is over for the caller: the first ending counts. One without an answer closes the connection."""
        if self.over:
            return
        self.over = True
        if self.written and outcome in (Outcome.CANCELLED, Outcome.TIMED_OUT):
            clock = self.server.clock
            clock.at(clock.now + self.server.hop_ms, self.server.closed, self)
        self._ended(self._request, self._index, self.server.name, outcome)

    def answer(self, status: int) -> None:
        """The answer of the server's own balancer: the server fails if its call failed."""
        self.server.answer(self, Outcome.SUCCEEDED if status == 200 else Outcome.ERROR)


Ended = Callable[[Request, int, str, Outcome], None]


class Stage(enum.Enum):
    """Where an attempt is at its server."""

    UNDER_WAY = enum.auto()
    QUEUED = enum.auto()
    WORKED_ON = enum.auto()
    CALLING = enum.auto()
    OVER = enum.auto()


class Server:
    """One server: it works on a call, then calls the next tier for it through its own balancer.

    A call holds one of `workers` slots from its begin to its answer (or its caller's end); `queue` further
    ones wait, and what comes then is turned away. The caller's end reaches its balancer as ClientLeft.
    """

    def __init__(self, name: str, clock: Clock, shape: Shape, chance: Chance) -> None:
        self.name, self.clock, self.hop_ms = name, clock, shape.hop_ms
        self.host: Host | None = None
        self.behaviour, self.part = Behaviour.SERVES, 1.0
        self.busy, self.rejected = 0, 0
        self._shape, self._chance = shape, chance
        self._queue: deque[Attempt] = deque()

    def arrived(self, attempt: Attempt) -> None:
        """The last byte of a call is here."""
        attempt.deadline = self.clock.now + attempt.timeout_ms
        if self.behaviour is Behaviour.TURNS_AWAY:
            self._reply(attempt, Outcome.REJECTED)
        elif self.behaviour is Behaviour.HANGS:
            return
        elif self._shape.workers == 0 or self.busy < self._shape.workers:
            self._begin(attempt)
        elif len(self._queue) < self._shape.queue:
            attempt.stage = Stage.QUEUED
            self._queue.append(attempt)
        else:
            self.rejected += 1
            self._reply(attempt, Outcome.REJECTED)

    def closed(self, attempt: Attempt) -> None:
        """The caller's connection has ended: nobody waits for the call any more."""
        attempt.closed = True
        if attempt.stage is Stage.QUEUED:
            self._queue.remove(attempt)
        elif attempt.stage is Stage.CALLING:
            assert self.host is not None
            assert attempt.inner is not None
            attempt.stage = Stage.OVER
            self.host.left(attempt.inner)
            self._end()

    def answer(self, attempt: Attempt, outcome: Outcome) -> None:
        """Its work is over, one way or another."""
        if attempt.stage is not Stage.OVER:
            attempt.stage = Stage.OVER
            self._reply(attempt, outcome)
            self._end()

    def _begin(self, attempt: Attempt) -> None:
        self.busy += 1
        attempt.stage = Stage.WORKED_ON
        self.clock.at(self.clock.now + self._chance.service_ms(), self._worked, attempt)

    def _worked(self, attempt: Attempt) -> None:
        fails = self.behaviour is Behaviour.FAILS and self._chance.fails(self.part)
        if fails or self.host is None or attempt.closed:
            self.answer(attempt, Outcome.ERROR if fails else Outcome.SUCCEEDED)
            return
        attempt.stage = Stage.CALLING
        attempt.inner = self.host.arrived(attempt, attempt.call, attempt.deadline - self.clock.now)

    def _reply(self, attempt: Attempt, outcome: Outcome) -> None:
        if not attempt.closed:
            self.clock.at(self.clock.now + self.hop_ms, attempt.finish, outcome)

    def _end(self) -> None:
        self.busy -= 1
        if self._queue:
            self._begin(self._queue.popleft())


class Host:
    """What `net.driver.Driver` is to a module, on the virtual clock: events in, actions carried out."""

    def __init__(self, chain: Chain, tier: int, below: list[Server], seed: int) -> None:
        self._chain, self._clock = chain, chain.clock
        self._tier = tier  # that it calls, counted from 1
        self._below = {server.name: server for server in below}
        self._balancer = LoadBalancer(chain.shape.settings(tier - 1), seed)
        self._requests: dict[int, Request] = {}
        self._events: deque[tuple[Event, Request | None]] = deque()
        self._busy = False
        self._last = 0
        self._class = chain.shape.request_class.name
        self._tell(EndpointListUpdate(EndpointListKind.CACHED, self._members()))
        self._tell(EndpointListUpdate(EndpointListKind.SNAPSHOT, self._members()))

    @property
    def open(self) -> int:
        """Requests that are not over, or have attempts out."""
        return len(self._requests)

    def arrived(self, taken: Taken, call: Call, left_ms: float) -> Request:
        """A request with the time its caller still waits."""
        self._last += 1
        now = self._clock.now
        request = Request(self._last, taken, call, now + left_ms - RESPONSE_MARGIN_MS)
        self._requests[request.id] = request
        self._clock.at(now + max(left_ms - FAIL_SAFE_MARGIN_MS, 0.0), self._rescue, request)
        self._tell(RequestReceived(request.id, self._class, max(left_ms - RESPONSE_MARGIN_MS, 0.0)), request)
        return request

    def left(self, request: Request) -> None:
        """The caller has gone."""
        if request.open:
            self._leave(request)

    def _members(self) -> tuple[Endpoint, ...]:
        return tuple(Endpoint(name) for name in self._below)

    def _leave(self, request: Request) -> None:
        request.open = False
        self._tell(ClientDisconnected(request.id), request)
        self._drop_rest(request)

    def _drop_rest(self, request: Request) -> None:
        for attempt in request.attempts:
            if attempt is not None:
                attempt.drop()

    def _rescue(self, request: Request) -> None:
        """The safety net shortly before the deadline."""
        if request.open:
            request.taken.answer(502 if request.ran or request.out else 503)
            self._leave(request)

    def _tell(self, event: Event, request: Request | None = None) -> None:
        """Pass an event on. What actions bring about at once waits until they are all carried out."""
        if request is not None:
            request.queued += 1
        self._events.append((event, request))
        if self._busy:
            return
        self._busy = True
        while self._events:
            self._handle(*self._events.popleft())
        self._busy = False

    def _handle(self, event: Event, request: Request | None) -> None:
        began = time.perf_counter()
        actions = self._balancer.handle(event, self._clock.now)
        self._chain.decision_s += time.perf_counter() - began
        self._chain.decisions += 1
        for action in actions:
            self._do(action)
        if request is not None:
            request.queued -= 1
            if not (request.open or request.out or request.queued):
                self._requests.pop(request.id, None)

    def _do(self, action: Action) -> None:
        match action:
            case StartAttempt():
                self._send(action)
            case SetTimer(at, timer):
                self._clock.at(at, self._tell, TimerFired(timer))
            case RejectRequest(number):
                self._answer(number, 503)
            case FailRequest(number):
                self._answer(number, 502)
            case CancelAttempt(number, index):
                request = self._requests.get(number)
                attempt = request.attempts[index] if request else None
                if attempt is not None:
                    attempt.cancel()
            case WatchEndpoints():
                self._clock.at(
                    self._clock.now,
                    self._tell,
                    EndpointListUpdate(EndpointListKind.SNAPSHOT, self._members()),
                )
            case CloseIdleConnections() | LogMessage():
                pass  # connections are always up, and nobody reads the log
            case StartHealthCheck():
                raise ValueError("a probe, though the settings allow none")

    def _answer(self, number: int, status: int) -> None:
        request = self._requests.get(number)
        if request is not None and request.open:
            request.open = False
            request.taken.answer(status)

    def _send(self, action: StartAttempt) -> None:
        request = self._requests[action.request_id]
        index = len(request.attempts)
        request.out += 1
        if not request.open:
            request.attempts.append(None)
            self._ended(request, index, action.endpoint, Outcome.NOT_SENT)
            return
        left_ms = request.ends - self._clock.now
        timeout_ms = max(min(action.timeout_ms, left_ms) if action.timeout_ms else left_ms, 0.0)
        attempt = Attempt(request, self._below[action.endpoint], timeout_ms, self._ended)
        request.attempts.append(attempt)
        self._chain.count(request.call, self._tier, timeout_ms)
        attempt.start()

    def _ended(self, request: Request, index: int, server: str, outcome: Outcome) -> None:
        """An attempt is over. The first served answer goes out before anything else is done."""
        request.out -= 1
        request.ran = request.ran or outcome not in NEVER_RAN
        if request.open and outcome is Outcome.SUCCEEDED:
            request.open = False
            request.taken.answer(200)
        self._tell(AttemptFinished(request.id, index, server, outcome, not request.open), request)
        if not request.open:
            self._drop_rest(request)


@dataclass(frozen=True, slots=True)
class Shape:
    """How a chain is built; spans in milliseconds."""

    depth: int
    request_class: RequestClass
    servers_a_tier: int = 6
    fronts: int = 6
    hop_ms: float = 0.2
    service_ms: float = 1.0
    """The mean of a server's work on a call, by itself."""
    steady_service: bool = False
    """All calls take the mean; else the work is exponentially distributed."""
    workers: int = 64
    """Calls at a server at once; 0 for any number."""
    queue: int = 64
    attempts_cap: int = 4
    may_cancel: bool = True
    may_hedge: bool = False

    def settings(self, tier: int) -> Settings:
        """What a balancer is told that calls from this tier; 0 is the fronts'."""
        return Settings(
            classes=(self.request_class,),
            balancers=self.servers_a_tier if tier else self.fronts,
            tier=tier,
            max_attempts=self.attempts_cap,
            may_cancel=self.may_cancel,
            may_hedge=self.may_hedge,
        )


class Chance:
    """What is random about servers, each part with a stream of its own."""

    def __init__(self, shape: Shape, seed: int) -> None:
        self._shape = shape
        self._service = random.Random(f"{seed}:service")
        self._fate = random.Random(f"{seed}:fate")

    def service_ms(self) -> float:
        """How long the work on a call takes."""
        mean = self._shape.service_ms
        return mean if self._shape.steady_service or not mean else self._service.expovariate(1 / mean)

    def fails(self, part: float) -> bool:
        """Whether a call is among the part that fails."""
        return part >= 1 or self._fate.random() < part


@dataclass(slots=True)
class Chain:
    """The tiers, the fronts and what is counted of them."""

    shape: Shape
    seed: int
    clock: Clock = field(default_factory=Clock)
    calls: list[Call] = field(default_factory=list)
    attempts: dict[int, list[int]] = field(default_factory=dict)
    """By the phase of the calls they are made for: attempts at each tier, the first one's at 0."""
    decisions: int = 0
    decision_s: float = 0.0
    tiers: list[list[Server]] = field(init=False)
    fronts: list[Host] = field(init=False)
    _doors: random.Random = field(init=False)

    def __post_init__(self) -> None:
        shape, seeds = self.shape, random.Random(f"{self.seed}:balancers")
        self._doors = random.Random(f"{self.seed}:doors")
        chance = Chance(shape, self.seed)
        self.tiers = [
            [Server(f"t{tier}-{i}", self.clock, shape, chance) for i in range(shape.servers_a_tier)]
            for tier in range(1, shape.depth + 1)
        ]
        self.fronts = [Host(self, 1, self.tiers[0], seeds.getrandbits(32)) for _ in range(shape.fronts)]
        for tier, servers in enumerate(self.tiers[:-1], start=1):
            for server in servers:
                server.host = Host(self, tier + 1, self.tiers[tier], seeds.getrandbits(32))

    def call(self, phase: int) -> None:
        """A call from outside arrives now, at a front drawn at random."""
        call = Call(self, phase)
        self.calls.append(call)
        front = self._doors.randrange(len(self.fronts))
        self.fronts[front].arrived(call, call, self.shape.request_class.deadline_ms)

    def behave(self, tier: int, count: int, behaviour: Behaviour, part: float = 1.0) -> None:
        """From now on the first `count` servers of a tier (from 1) behave so."""
        for server in self.tiers[tier - 1][:count]:
            server.behaviour, server.part = behaviour, part

    def count(self, call: Call, tier: int, timeout_ms: float) -> None:
        """An attempt at a tier goes out."""
        counts = self.attempts.setdefault(call.phase, [0] * self.shape.depth)
        counts[tier - 1] += 1
        call.tried = True
        if tier == self.shape.depth:
            if not call.bottom:
                call.deadline_part = timeout_ms / self.shape.request_class.deadline_ms
            call.bottom += 1
