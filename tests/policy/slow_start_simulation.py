"""Many balancers on one virtual clock, and a count of what all of them send to each cold server.

No sockets and no waiting: a seeded discrete-event world around the decision module alone. The count is the
one of the fourth rule: arrivals, in requests of mean work, in the window that ends at each of them.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from loadbalancer.actions import Action, FailRequest, RejectRequest, SetTimer, StartAttempt
from loadbalancer.endpoints import Endpoint, EndpointState
from loadbalancer.events import (
    AttemptFinished,
    EndpointListKind,
    EndpointListUpdate,
    Outcome,
    RequestReceived,
    TimerFired,
)
from loadbalancer.policy.balancer import LoadBalancer
from loadbalancer.settings import Idempotency, RequestClass, Settings
from loadbalancer.timers import Timer

SMALL = RequestClass("small", 1_000, 3_000, Idempotency.SAFE)
LARGE = RequestClass("large", 1_000, 3_000, Idempotency.SAFE)
WORK = {"small": 0.75, "large": 2.0}  # in requests of mean work, of which one in five is large
LARGE_PART = 0.2
START_MS = 100_000.0


@dataclass
class Server:
    """A server: when it started (0 is long ago), how it treats calls, and what came of late."""

    since: float = 0.0
    outcome: Outcome = Outcome.SUCCEEDED
    there: bool = True
    recent: deque[tuple[float, float]] = field(default_factory=deque)
    load: float = 0.0  # work that came in the last window
    free_at: float = 0.0  # when it will have done what it holds
    fell: bool = False


@dataclass
class Call:
    cls: RequestClass
    attempts: int = 0


class Fleet:
    """`balancers` instances in front of `servers`, each server taking `rate` calls of mean work a second.

    `load` is the part of the warm fleet's capacity that is asked for. `worst` is the largest excess over N of
    any window, in units of the slack 2 x root of N + 2: above 1 a cold server has fallen.
    """

    def __init__(
        self,
        balancers: int,
        servers: int,
        rate: float,
        load: float,
        seed: int,
        cold: dict[str, Any],
        skewed: bool = False,
    ) -> None:
        self.random = random.Random(seed)
        self.settings = Settings(
            classes=(SMALL, LARGE),
            balancers=balancers,
            max_attempts=4,
            may_hedge=True,
            **cold,
        )
        self.now, self.rate = START_MS, rate
        self.servers = {f"s{i}": Server() for i in range(servers)}
        self.tenth = max(servers // 10, 1)
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.count = 0
        self.asked, self.served, self.refused, self.cold_calls = 0, 0, 0, 0
        self.worst = -math.inf
        self.balancers = [self.new_balancer() for _ in range(balancers)]
        parts = [self.random.choice((0.5, 0.5, 0.5, 4.0)) if skewed else 1.0 for _ in self.balancers]
        # Calls a millisecond of each balancer.
        self.pace = [part / sum(parts) * load * servers * rate / 1_000 for part in parts]
        self.open: list[dict[int, Call]] = [{} for _ in self.balancers]
        for i in range(balancers):
            self.await_call(i)

    # ---- the world ------------------------------------------------------------------------------

    def at(self, after: float, do: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.queue, (self.now + after, self.count, do))

    def run(self, span_ms: float) -> None:
        end = self.now + span_ms
        while self.queue[0][0] <= end:
            self.now, _, do = heapq.heappop(self.queue)
            do()
        self.now = end

    def warmth(self, server: Server) -> float:
        age = self.now - server.since
        if not server.since or age >= self.settings.slow_start_ms:
            return 1.0
        return (
            self.settings.slow_start_initial_fraction
            + (1 - self.settings.slow_start_initial_fraction) * age / self.settings.slow_start_ms
        )

    def member(self, name: str) -> Endpoint:
        server = self.servers[name]
        state = EndpointState.READY if server.there else EndpointState.REMOVED
        return Endpoint(name, state, started_at_ms=server.since)

    def new_balancer(self) -> LoadBalancer:
        balancer = LoadBalancer(self.settings, self.random.getrandbits(40))
        balancer.handle(
            EndpointListUpdate(EndpointListKind.SNAPSHOT, tuple(map(self.member, self.servers))), self.now
        )
        return balancer

    def tell(self, names: list[str]) -> None:
        """Tell all balancers how these servers are now."""
        news = EndpointListUpdate(EndpointListKind.DELTA, tuple(map(self.member, names)))
        for i in range(len(self.balancers)):
            self.hand(i, news)

    def join(self, count: int) -> None:
        names = [f"n{self.count}-{i}" for i in range(count)]
        self.servers |= {name: Server(self.now) for name in names}
        self.tell(names)

    def leave(self, names: list[str]) -> None:
        for name in names:
            self.servers[name].there = False
        self.tell(names)

    def come_back(self, names: list[str]) -> None:
        """The same names, as new processes."""
        for name in names:
            self.servers[name] = Server(self.now)
        self.tell(names)

    def replace(self, steps: int, pause_ms: float) -> None:
        """In each step a tenth of the servers goes and as many new ones come; the oldest go first."""
        old = list(self.servers)
        for step in range(steps):
            self.leave(old[step * self.tenth : (step + 1) * self.tenth])
            self.join(self.tenth)
            self.run(pause_ms)

    def spoil(self, names: list[str], outcome: Outcome) -> None:
        for name in names:
            self.servers[name].outcome = outcome

    def quicken(self, factor: float) -> None:
        self.pace = [factor * pace for pace in self.pace]

    def restart_balancers(self) -> None:
        """All that they knew is gone, and so are their calls."""
        self.open = [{} for _ in self.balancers]
        self.balancers = [self.new_balancer() for _ in self.balancers]

    # ---- calls ----------------------------------------------------------------------------------

    def await_call(self, i: int) -> None:
        self.at(self.random.expovariate(self.pace[i]), lambda: self.call(i))

    def call(self, i: int) -> None:
        self.await_call(i)
        cls = LARGE if self.random.random() < LARGE_PART else SMALL
        self.asked += 1
        number = self.asked
        self.open[i][number] = Call(cls)
        self.hand(i, RequestReceived(number, cls.name, cls.deadline_ms))

    def hand(
        self, i: int, event: EndpointListUpdate | RequestReceived | AttemptFinished | TimerFired
    ) -> None:
        for action in self.balancers[i].handle(event, self.now):
            self.carry_out(i, action)

    def carry_out(self, i: int, action: Action) -> None:
        match action:
            case StartAttempt(request, name, timeout):
                self.arrive(i, request, name, timeout)
            case SetTimer(moment, timer):
                owner = self.balancers[i]
                self.at(moment - self.now, lambda: self.due(i, owner, timer))
            case RejectRequest(request) | FailRequest(request):
                self.refused += 1
                del self.open[i][request]

    def due(self, i: int, owner: LoadBalancer, timer: Timer) -> None:
        if self.balancers[i] is owner:
            self.hand(i, TimerFired(timer))

    def arrive(self, i: int, request: int, name: str, timeout: float) -> None:
        server, call = self.servers[name], self.open[i][request]
        assert server.there, "sent to a server that is gone"
        work, warmth, attempt = WORK[call.cls.name], self.warmth(server), call.attempts
        call.attempts += 1
        if warmth < 1:
            self.count_cold(server, work, warmth)
        if (outcome := server.outcome) is Outcome.SUCCEEDED:
            server.free_at = max(server.free_at, self.now) + 1_000 / self.rate * work / warmth
            takes = server.free_at - self.now
            if takes > timeout:
                takes, outcome = timeout, Outcome.TIMED_OUT
        else:
            takes = 2.0
        owner = self.balancers[i]
        self.at(takes, lambda: self.ended(i, owner, request, attempt, name, outcome))

    def count_cold(self, server: Server, work: float, warmth: float) -> None:
        window = self.settings.slow_start_window_ms
        self.cold_calls += 1
        server.recent.append((self.now, work))
        server.load += work
        while server.recent[0][0] <= self.now - window:
            server.load -= server.recent.popleft()[1]
        most = self.settings.slow_start_overload_factor * warmth * self.rate * window / 1_000
        excess = (server.load - most) / (2 * math.sqrt(most) + 2)
        self.worst = max(self.worst, excess)
        server.fell = server.fell or excess > 1

    def ended(
        self, i: int, owner: LoadBalancer, request: int, attempt: int, name: str, outcome: Outcome
    ) -> None:
        if self.balancers[i] is not owner:
            return
        if outcome is Outcome.SUCCEEDED and self.open[i].pop(request, None) is not None:
            self.served += 1
        answered = request not in self.open[i]
        self.hand(i, AttemptFinished(request, attempt, name, outcome, answered))
