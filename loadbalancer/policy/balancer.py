"""Every decision of the balancer; what it takes is in loadbalancer/events.py.

A request's path: `_arrived` sheds it (`_admitted`) or sends it (`_try_send`); `_pick` chooses its server: the
ordinary path. `_ended` books each outcome and, if an answer is still owed, tries again (`_try_again`)
or gives up. `_harmless` tells where another attempt does no harm.
"""

from __future__ import annotations

import math
import random
from bisect import bisect
from collections import deque
from itertools import accumulate

from loadbalancer.actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    LogMessage,
    RejectRequest,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from loadbalancer.endpoints import Endpoint, EndpointState
from loadbalancer.events import (
    NEVER_RAN,
    AttemptFinished,
    ClientDisconnected,
    EndpointListKind,
    EndpointListUpdate,
    Event,
    Outcome,
    RequestReceived,
    ResponseStarted,
    TimerFired,
)
from loadbalancer.settings import Idempotency, IdempotencyScope, RequestClass, Settings
from loadbalancer.timers import EndpointListTimer, HedgeTimer, Timer

DRAWS = 4  # the most for d of the design, while each server drawn holds a call of ours
MEMORY_MS = 6_000.0  # evidence fades by 1/e over this; long enough for a few calls, short enough to recover
MEMORY_MOST_MS, MEMORY_CALLS = 20_000.0, 4.0  # or longer, till it holds so many calls a server
PRIOR_CALLS = 2.0  # calls' worth of belief in the median, so that one slow answer does not ruin an estimate
LOSS_TIMES = 2.0  # a call waited for over so many usual times counts as lost in full
STEP_MS = 20.0  # estimates are brought up to date in steps of this; it only saves work
HEDGE_TIMES, HEDGE_PART = 4.0, 0.5  # a second copy: after so many usual answers, or this part of its time
# Tokens for further attempts where one may have run: for each answer, at the start and at the most.
RETRY_EARNED, RETRY_FIRST, RETRY_BURST = 0.2, 2.0, 10.0  # a fleet that restarts in an outage must not feed it
# The same where none ran. Half of the servers may go with a zone: one for each answer, and one for chance.
RESEND_EARNED, RESEND_FIRST, RESEND_BURST = 2.0, 20.0, 20.0
QUOTA_BURST_MS = 2_000.0  # a tenant may use this much of its share at once
COLD_SAFETY = 0.5  # the part of a cold server's budget that we use: other balancers and heavy calls count too
COLD_CHANCE = 5.0  # times the root of a mean count that its limit leaves to chance; calls differ in work
MEDIAN_STEP_MS = 500.0  # the median is taken anew after this; it only saves work
FLEET_STEP_MS = 100.0  # the servers that can take calls are counted anew after this; it only saves work
OFFER_CALLS = 50.0  # what is usual is smoothed over so many calls
IDLE_CALLS = 40  # so many last calls on idle connections tell how long these live
CROWD_EASE, CROWD_FULL = 4.0, 8.0  # calls out for each unit of size that shed the least and the dearest work
CLASS_ROOT = 1 / 3  # of what a class is worth: each class counts by itself, too, and must not starve
CROWD_LEAST = 8  # so many calls of ours are no burst: one balancer of hundreds has them by chance
STRETCH_EASE, STRETCH_FULL = 1.0, 1.8  # how many usual times calls may take: least and dearest work
STRETCH_LEAST = 0.5  # a server's usual calls that are taken as served without evidence, over all balancers
DONE_FIRST = 0.25  # of the bound, two calls a server, are taken as served before the first is
USUAL_PART = 0.2  # of its aim, for a call at servers that are not crowded, until we know better
CROWD_MS = 1_000.0  # our calls are averaged over this: longer than a call, shorter than servers bear a crowd
LATE_CALLS, USUAL_CALLS = 30, 1_000  # requests that tell how often they come now, and usually
TRY_PART = 0.9  # of the longest time that clients give a try; less tells a further one
USUAL_MS = 20_000.0  # a lost server is missed for this
SUBSET_MIN = 12  # servers that a balancer keeps to at the least: losing a few must leave a choice
SUBSET_COVER = 30  # balancers that keep to each server: their chance parts then even out to a fifth
ASIDE_CALLS, ASIDE_SHARE, ASIDE_MOST = (
    2.0,
    1 / 3,
    4.0,
)  # calls lost, of how many, and how many count: `_sound`
LIST_RETRY_MS = 500.0  # from one call for the list to the next, doubled at each failure
LIST_RETRY_MOST_MS = 2_000.0  # and at the most: what is new when discovery is back counts as told after 6 s
LIST_REST_MS = 250.0  # after a failure at the least: what a silent watch missed counts 2 s after its wait


class _Server:
    """What is known of one server: its list entry, our calls there and the evidence on its capacity."""

    __slots__ = tuple("away busy in_flight luck member memory rank ready seen sends".split())
    __slots__ += tuple("served size turn used".split())

    def __init__(self, member: Endpoint, now: float, rank: float) -> None:
        self.member, self.rank = member, rank
        self.ready, self.size, self.used = False, 1.0, math.inf
        self.memory = MEMORY_MS
        self.in_flight = 0  # m of the design
        self.sends: deque[float] = deque()
        self.turn = rank * 1e6 % 1.0  # the balancers with the lowest call it while it is cold: `_cold_room`
        self.forget(now)

    def forget(self, now: float) -> None:
        """Drop the evidence: the process behind the name is a new one."""
        self.served, self.busy, self.seen = 0.0, 0.0, now
        self.luck: dict[str, tuple[float, float]] = {}  # calls served and lost, by class
        self.away = 0.0  # connects failed since it last answered

    def catch_up(self, now: float) -> None:
        """Bring the evidence to `now`: calls in flight add time, and all of it fades."""
        fade = math.exp((self.seen - now) / self.memory)
        self.served *= fade
        self.busy = self.busy * fade + self.in_flight * (now - self.seen)
        fade = math.exp((self.seen - now) / MEMORY_MS)
        self.luck = {cls: (good * fade, bad * fade) for cls, (good, bad) in self.luck.items()}
        self.away *= fade
        self.seen = now

    def note(self, cls: str, served: float, lost: float) -> None:
        """Count a call by its class; so little is kept that a server is tried again within seconds."""
        good, bad = self.luck.get(cls, (0.0, 0.0))
        good, bad = good + served, bad + lost
        scale = min(ASIDE_MOST / bad, 1.0) if bad else 1.0
        self.luck[cls] = good * scale, bad * scale

    def is_lost(self) -> bool:
        """Whether it is away, or loses calls of any class: several of late, and a good part of them."""
        good, bad = (sum(part) for part in zip(*self.luck.values(), strict=True)) if self.luck else (0.0, 0.0)
        return self.away > 1 or (bad >= ASIDE_CALLS and bad >= ASIDE_SHARE * (good + bad))

    def loses(self, cls: str) -> bool:
        """Whether it loses this class: several calls of late, and a good part of them."""
        good, bad = self.luck.get(cls, (0.0, 0.0))
        return bad >= ASIDE_CALLS and bad >= ASIDE_SHARE * (good + bad)


class _Attempt:
    __slots__ = tuple("ends idle light out ran sent server".split())

    def __init__(self, server: _Server, idle: float, now: float, timeout: float) -> None:
        self.server, self.idle, self.sent, self.ends = server, idle, now, now + timeout
        self.out, self.ran = True, True  # it may have run until its outcome proves otherwise
        self.light = False  # whether the servers held hardly a call each as it went out


class _RetryBudget:
    """A token bucket of further attempts, filled by answers and by nothing else.

    Guards against further attempts that multiply over the tiers: every balancer on a path sees a failure at
    its end, and if calls that arrive earned them, each tier would add its part to what the tier above added.
    An answer is one, however many tiers it passes: over `d` tiers further attempts come to `d` times what an
    answer earns, and where nothing is served to what the buckets held. It harms where most calls fail at
    random, and many further attempts would have been answered.
    """

    __slots__ = ("_burst", "_earned", "_tokens")

    def __init__(self, earned: float, first: float, burst: float) -> None:
        self._earned, self._tokens, self._burst = earned, first, burst

    def earn(self) -> None:
        """A request got its answer from a server."""
        self._tokens = min(self._burst, self._tokens + self._earned)

    def allows(self) -> bool:
        """Whether a further attempt may go out."""
        return self._tokens >= 1

    def spend(self) -> None:
        """A further attempt goes out."""
        self._tokens -= 1


class _Request:
    __slots__ = tuple("arrived attempts cls id owed size streaming useful_until".split())

    def __init__(self, event: RequestReceived, cls: RequestClass, now: float) -> None:
        self.id, self.cls = event.request_id, cls
        self.arrived, deadline = now, now + event.remaining_ms
        self.useful_until = deadline if cls.late_value else min(deadline, now + cls.latency_objective_ms)
        self.attempts: list[_Attempt] = []
        self.owed, self.streaming = True, False
        self.size = 1.0  # its work over the usual, where a hint tells

    @property
    def heft(self) -> float:
        """How many times longer than usual it may take."""
        return max(self.size, 1.0)

    def is_out(self) -> bool:
        return any(a.out for a in self.attempts)


class LoadBalancer:
    """The decisions of one balancer instance: feed it events in order, carry out the actions it returns."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self._settings = settings
        self._classes = {c.name: c for c in settings.classes}
        self._random = random.Random(seed)
        self._servers: dict[str, _Server] = {}
        self._ready: list[_Server] = []
        self._near: list[_Server] = []
        self._requests: dict[int, _Request] = {}
        # The time that a call of each class takes, as we see it.
        self._work = {c.name: c.latency_objective_ms * USUAL_PART for c in settings.classes}
        # The same at servers that have hardly a call each, and how many such calls tell it.
        self._usual = {c.name: (c.latency_objective_ms * USUAL_PART, PRIOR_CALLS) for c in settings.classes}
        self._out = 0  # attempts of ours that are out
        self._dearest = max(c.priority_weight for c in settings.classes) or 1.0
        self._able: list[_Server] = []
        self._fleet, self._fleet_at, self._fleet_usual = 1.0, -math.inf, 0.0
        self._arrivals, self._arrived_at, self._pause, self._usual_pause = 0, 0.0, 0.0, 0.0
        self._peers = float(settings.balancers)  # balancers held to be at work, with us
        self._mean_out, self._out_seen = 0.0, 0.0
        self._memory = MEMORY_MS  # evidence on capacity fades by 1/e over this
        self._done, self._done_at = 0.0, -math.inf  # calls out, were those served of late as quick as usual
        self._list_failures, self._shedding_until = 0, -math.inf
        self._list_ask_at = -math.inf  # when the list is, or was, asked for again after a failure
        self._median, self._median_at, self._usual_rate, self._cold_until = 0.0, -math.inf, 0.0, 0.0
        self._born, self._cold_at, self._holders = math.inf, -math.inf, 1.0
        self._cold_rate, self._cold_part = 0.0, 1.0  # `_judge_cold`
        self._longest = {c.name: 0.0 for c in settings.classes}  # that a client gave a try of late
        self._quota = {t.name: t.quota_per_s / 1000 for t in settings.tenants}
        self._share: dict[str, float] = {}  # requests that a tenant may still send inside its share
        self._share_seen: dict[str, float] = {}
        self._unsaid: list[Action] = [WatchEndpoints()] if settings.polls_discovery else []
        self._idles: deque[tuple[float, bool]] = deque(maxlen=IDLE_CALLS)
        self._idle_limit, self._hint = math.inf, 0.0
        self._retries = _RetryBudget(RETRY_EARNED, RETRY_FIRST, RETRY_BURST)
        self._resends = _RetryBudget(RESEND_EARNED, RESEND_FIRST, RESEND_BURST)
        self._actions: list[Action] = []

    def handle(self, event: Event, now: float) -> list[Action]:
        """Take one event at time `now` and return what to do, in order."""
        self._actions, self._unsaid = self._unsaid, []
        match event:
            case AttemptFinished():
                self._ended(event, now)
            case RequestReceived():
                self._arrived(event, now)
            case TimerFired():
                self._due(event.timer, now)
            case EndpointListUpdate():
                self._listed(event, now)
            case ClientDisconnected():
                self._left(event.request_id)
            case ResponseStarted():
                self._made(event)[0].streaming = True
        return self._actions

    # ---- the list -------------------------------------------------------------------------------

    def _listed(self, event: EndpointListUpdate, now: float) -> None:
        if event.kind is EndpointListKind.FAILED:
            # The list is out of reach: the old one stands; ask again, not all balancers in step. What grows
            # is the time from call to call: one that was slow to fail has been pause enough.
            most = min(LIST_RETRY_MOST_MS, self._settings.poll_deadline_ms / 3)
            pause = min(LIST_RETRY_MS * 2 ** min(self._list_failures, 9), most)
            spread = 0.5 + self._random.random()
            self._list_failures += 1
            if self._list_failures == 1:
                self._actions.append(LogMessage("server list out of reach; keeping the last one"))
            rested = now + min(LIST_REST_MS, pause) * spread
            self._list_ask_at = max(min(self._list_ask_at, now) + pause * spread, rested)
            self._actions.append(SetTimer(self._list_ask_at, EndpointListTimer()))
            return
        if self._list_failures and event.kind is not EndpointListKind.CACHED:
            self._list_failures = 0
            self._actions.append(LogMessage("server list is back"))
        self._born = min(self._born, now)
        if event.kind is not EndpointListKind.DELTA:
            for known in self._servers.values():
                known.ready = False  # missing from a whole list means gone
        for member in event.endpoints:
            if (server := self._servers.get(member.name)) is None:
                server = self._servers[member.name] = _Server(member, now, self._random.random())
            if member.started_at_ms > server.member.started_at_ms:
                server.forget(now)  # the same name, a new process
            server.member, server.ready = member, member.state is EndpointState.READY
            server.size = member.weight if 0 < member.weight < math.inf else 1.0  # a list may give odd ones
        self._servers = {name: s for name, s in self._servers.items() if s.ready or s.in_flight}
        self._ready = [s for s in self._servers.values() if s.ready]
        # A balancer of hundreds calls each of all too seldom to learn it, or to use a connection twice.
        keep = max(SUBSET_MIN, math.ceil(len(self._ready) * SUBSET_COVER / self._settings.balancers))
        self._near = sorted(self._ready, key=lambda s: s.rank)[:keep]
        self._fleet_at = min(self._fleet_at, now - FLEET_STEP_MS)  # count anew
        newest = max((s.member.started_at_ms for s in self._ready), default=0.0)
        self._cold_until = newest + self._settings.slow_start_ms
        self._cold_at = -math.inf  # judge anew

    # ---- a request's path -----------------------------------------------------------------------

    def _arrived(self, event: RequestReceived, now: float) -> None:
        if event.request_id in self._requests:
            raise ValueError(f"request {event.request_id} has arrived before")
        if event.class_name not in self._classes:
            raise ValueError(f"request {event.request_id} is of unknown class {event.class_name!r}")
        request = _Request(event, self._classes[event.class_name], now)
        self._requests[request.id] = request
        if event.cost_hint_ms > 0:
            self._hint += (
                (event.cost_hint_ms - self._hint) / OFFER_CALLS if self._hint else event.cost_hint_ms
            )
            request.size = event.cost_hint_ms / self._hint
        self._count_arrival(now)
        if self._settings.tier == 0 and not self._admitted(request, event.tenant, event.remaining_ms, now):
            self._shed(request, "too many calls are out: shedding the least worth first", now)
        elif not self._try_send(request, now):
            self._shed(request, "no server may take a call: refusing", now)

    def _admitted(self, request: _Request, tenant: str | None, remaining: float, now: float) -> bool:
        """Shed load by worth: the dearer a request, the more calls may be out when it is let in."""
        over = self._over_share(tenant, now)
        part = (request.cls.priority_weight / self._dearest) ** CLASS_ROOT
        part *= self._settings.over_quota_weight if over else 1.0
        if self._came_late(request.cls, remaining):
            part *= request.cls.late_value
        if self._crowded(part, now):
            return False
        if tenant in self._share and not over:
            self._share[tenant] -= 1  # what is shed uses up nothing: its client may ask again
        return True

    def _came_late(self, cls: RequestClass, remaining: float) -> bool:
        """Whether it is a client's further try, past its aim before it came.

        Guards against clients that give each try a part of the deadline only: what is missing from it has
        not passed. A further try gets less than a first one only where little is left of the deadline.
        """
        longest = max(remaining, self._longest[cls.name] * (1 - 1 / USUAL_CALLS))
        self._longest[cls.name] = longest
        return remaining < TRY_PART * longest and cls.deadline_ms - remaining > cls.latency_objective_ms

    def _crowded(self, part: float, now: float) -> bool:
        """Whether too many calls are out for work of this part of the dearest's worth.

        Guards against crowding whatever its cause (overload, lost servers, slow ones) before the servers slow
        down: late answers come too late to tell, and work of widely varying size looks late without a crowd.
        The calls of all balancers are judged by ours: each of the others is held to have our mean, since what
        we have by chance at this moment they have not; a burst that all get passes no chance (a square root).
        It harms where callers spread unevenly over the balancers.
        """
        most = (CROWD_EASE + (CROWD_FULL - CROWD_EASE) * part) * self._able_fleet(now)
        out = sum(s.in_flight for s in self._able)  # calls elsewhere crowd none of those that are left
        self._mean_out += (out - self._mean_out) * (1 - math.exp((self._out_seen - now) / CROWD_MS))
        self._out_seen = now
        others = self._mean_out * (self._peers - 1)
        own = most / self._peers
        if out + others >= most or out >= max(own + math.sqrt(own), CROWD_LEAST):
            return True
        # A tier behind the servers shows neither in their number nor in their list, but in their answers.
        stretch = STRETCH_EASE + (STRETCH_FULL - STRETCH_EASE) * part
        able = stretch * (self._done_rate(now) + STRETCH_LEAST * self._fleet / self._peers)
        return min(out, self._mean_out) >= able or out >= max(able + math.sqrt(able), CROWD_LEAST)

    def _done_rate(self, now: float) -> float:
        """The calls that would be out if those served of late had taken no longer than usual.

        Guards against a crowd behind the servers, whatever they hold themselves: calls out over this tell how
        many times longer than usual they take. A balancer knows nothing at its start, and hundreds start at
        once: were all that the bound lets in taken as done, servers would tip before the first answers tell.
        """
        most = CROWD_FULL * self._able_fleet(now) / self._peers
        first = self._done_at == -math.inf
        self._done = (
            DONE_FIRST * most if first else min(self._done * math.exp((self._done_at - now) / CROWD_MS), most)
        )
        self._done_at = now
        return self._done

    def _able_fleet(self, now: float) -> float:
        """The size of the servers that can take calls: cold ones by their warmth, lost ones not at all."""
        if now - self._fleet_at >= FLEET_STEP_MS:
            for server in self._ready:
                server.catch_up(now)
            self._able = [s for s in self._ready if s.away <= 1] or self._ready
            there = [s for s in self._able if not s.is_lost()]
            self._fleet = sum(s.size * self._warmth(s, now) for s in there) or 1.0
            self._count_peers(sum(s.size for s in there), now)
            self._fleet_at = now
        return self._fleet

    def _count_peers(self, there: float, now: float) -> None:
        """Judge how many balancers are left, which nobody tells: as many as servers, if requests say so too.

        Guards against keeping to our part where a zone went with its balancers, whose requests come to us.
        More requests alone may be a burst, and fewer servers alone take no balancer with them.
        """
        missed = self._fleet_usual * math.exp((self._fleet_at - now) / USUAL_MS)
        self._fleet_usual = max(there, missed)
        left = max(there / (self._fleet_usual or 1.0), self._pause / (self._usual_pause or 1.0))
        self._peers = max(self._settings.balancers * min(left, 1.0), 1.0)

    def _count_arrival(self, now: float) -> None:
        """Learn how often requests come."""
        if self._arrivals:
            pause = now - self._arrived_at
            self._pause += (pause - self._pause) / min(self._arrivals, LATE_CALLS)
            self._usual_pause += (pause - self._usual_pause) / min(self._arrivals, USUAL_CALLS)
        self._arrivals, self._arrived_at = self._arrivals + 1, now

    def _shed(self, request: _Request, reason: str, now: float) -> None:
        """Give up a request that was never sent; one line in the log for a whole spell."""
        if now > self._shedding_until:
            self._actions.append(LogMessage(reason))
        self._shedding_until = now + MEMORY_MS
        self._give_up(request)

    def _try_send(self, request: _Request, now: float) -> bool:
        timeout = request.useful_until - now
        over = timeout <= self._settings.tick_ms or len(request.attempts) >= self._settings.max_attempts
        if over or (server := self._pick(request, now)) is None:
            return False
        idle = 0.0 if server.in_flight else max(now - server.used, 0.0)
        if idle and (request.attempts or idle >= self._idle_limit):
            self._actions.append(
                CloseIdleConnections(server.member.name)
            )  # what is unused so long may be dead
            idle = 0.0
        repeatable = (
            request.cls.idempotency is not Idempotency.NOT_IDEMPOTENT and self._settings.max_attempts > 1
        )
        if repeatable and self._settings.may_hedge and not request.attempts:
            # Guards against silence and slowness of any cause: hung or failing servers, dropped connections.
            # It could harm by adding to a crowd: it keeps to the retry budget, and a crowd holds it back.
            # Where no second copy may go out, none is made room for: to cut the call short loses its work.
            patience = min(HEDGE_TIMES * request.heft * self._work[request.cls.name], HEDGE_PART * timeout)
            self._actions.append(SetTimer(now + patience, HedgeTimer(request.id)))
        server.catch_up(now)
        server.in_flight += 1
        self._out += 1
        request.attempts.append(_Attempt(server, idle, now, timeout))
        # Shedding, we know of a crowd: however little of it is ours, calls take longer than usual.
        light = self._out <= max(self._fleet / self._peers, 1.0) and now > self._shedding_until
        request.attempts[-1].light = light
        if now < self._cold_until and self._warmth(server, now) < 1:
            server.sends.append(now)
        self._actions.append(StartAttempt(request.id, server.member.name, timeout))
        return True

    def _due(self, timer: Timer, now: float) -> None:
        hedging = isinstance(timer, HedgeTimer) and self._settings.may_hedge
        request = self._requests.get(timer.request_id) if isinstance(timer, HedgeTimer) and hedging else None
        if isinstance(timer, EndpointListTimer):
            self._actions.append(WatchEndpoints())
        elif request and request.owed and len(request.attempts) == 1 and not self._crowded(0.0, now):
            self._try_again(request, now)

    def _made(self, event: AttemptFinished | ResponseStarted) -> tuple[_Request, _Attempt]:
        request = self._requests.get(event.request_id)
        if request is None or not 0 <= event.attempt_index < len(request.attempts):
            raise ValueError(f"attempt {event.attempt_index} of request {event.request_id} was never made")
        return request, request.attempts[event.attempt_index]

    def _ended(self, event: AttemptFinished, now: float) -> None:
        request, attempt = self._made(event)
        if not attempt.out:
            return
        attempt.out, attempt.ran = False, event.outcome not in NEVER_RAN
        self._book(attempt, event.outcome, request, now)
        if event.is_answered:
            if request.owed and event.outcome is Outcome.SUCCEEDED:
                self._retries.earn()
                self._resends.earn()
            request.owed = False
            for beaten in (a for a in request.attempts if a.out):
                self._note_idle(beaten, silent=True)
                self._note_loss(beaten, request, now)
            self._cancel_rest(request)
        elif request.owed and not request.is_out() and not self._try_again(request, now):
            self._give_up(request)
        self._drop_if_over(request)

    def _note_idle(self, attempt: _Attempt, silent: bool) -> None:
        """Learn from which idle time on connections die: the least with two silent calls, and most silent.

        Guards against connections dropped unseen, by anyone; harms by handshakes if the silence is another.
        """
        if attempt.idle:
            self._idles.append((attempt.idle, silent))
            dead = sorted(idle for idle, was_silent in self._idles if was_silent)
            longer = {idle: sum(other >= idle for other, _ in self._idles) for idle in dead}
            known = (d for i, d in enumerate(dead) if len(dead) - i >= max(2.0, 0.6 * longer[d]))
            self._idle_limit = next(known, math.inf)

    def _note_loss(self, attempt: _Attempt, request: _Request, now: float) -> None:
        """A call was lost at its server, or waited for in vain; one with hardly any time tells little."""
        usual = LOSS_TIMES * request.heft * self._work[request.cls.name]
        attempt.server.note(request.cls.name, 0.0, min((now - attempt.sent) / usual, 1.0))

    def _try_again(self, request: _Request, now: float) -> bool:
        """Make a further attempt, if the budget for those of its kind has one left."""
        budget = self._retries if any(a.ran for a in request.attempts) else self._resends
        if not budget.allows() or request.streaming or not self._try_send(request, now):
            return False
        budget.spend()
        return True

    def _give_up(self, request: _Request) -> None:
        request.owed = False
        harmless = request.cls.idempotency is Idempotency.SAFE or not any(a.ran for a in request.attempts)
        # By the time that a usual call takes there is room again, of calls that are out now.
        after = min(self._work[request.cls.name], self._settings.max_retry_after_ms)
        self._actions.append(RejectRequest(request.id, after) if harmless else FailRequest(request.id))
        self._drop_if_over(request)

    def _cancel_rest(self, request: _Request) -> None:
        if self._settings.may_cancel and not request.streaming:
            self._actions.extend(
                CancelAttempt(request.id, i) for i, a in enumerate(request.attempts) if a.out
            )

    def _left(self, request_id: int) -> None:
        if request := self._requests.get(request_id):
            request.owed = False
            self._cancel_rest(request)
            self._drop_if_over(request)

    def _drop_if_over(self, request: _Request) -> None:
        if not request.owed and not request.is_out():
            self._requests.pop(request.id, None)

    def _over_share(self, tenant: str | None, now: float) -> bool:
        """Whether this tenant is past our part of its share; its excess is worth little."""
        rate = self._quota.get(tenant or "")
        if rate is None or tenant is None:
            return False
        rate /= self._peers
        level, seen = self._share.get(tenant, QUOTA_BURST_MS * rate), self._share_seen.get(tenant, now)
        self._share[tenant] = min(QUOTA_BURST_MS * rate, level + (now - seen) * rate)
        self._share_seen[tenant] = now
        return self._share[tenant] < 1

    # ---- the rules: no doubled effect -----------------------------------------------------------

    def _harmless(self, request: _Request, now: float) -> list[_Server]:
        """The servers to which the next attempt can do no harm: those we keep to, if none may have run."""
        cls = request.cls
        ran = next((a for a in request.attempts if a.ran), None)
        if ran is None or cls.idempotency is Idempotency.SAFE:
            return self._near
        begins = now + self._settings.tick_ms + self._settings.connect_timeout_ms  # at the latest
        if cls.idempotency is Idempotency.NOT_IDEMPOTENT or begins >= ran.sent + cls.idempotency_window_ms:
            return []
        # A server that restarted since may have forgotten what it saw: not asked again.
        able = [s for s in self._ready if s.member.started_at_ms <= ran.sent]
        if cls.idempotency_scope is IdempotencyScope.ALL:
            return able
        if cls.idempotency_scope is IdempotencyScope.ZONE:
            return [s for s in able if s.member.zone == ran.server.member.zone]
        return [s for s in able if s.member.cell == ran.server.member.cell]

    # ---- the ordinary path ----------------------------------------------------------------------

    def _pick(self, request: _Request, now: float) -> _Server | None:
        """Draw servers by capacity, up to the first that holds none of our calls; take the least loaded."""
        median = self._known_median(now)
        able = self._harmless(request, now)
        if now < self._cold_until:
            self._judge_cold(now)
            able = [s for s in able if self._cold_room(s, not request.attempts, now)]
        if request.attempts:
            able = [s for s in able if all(a.server is not s for a in request.attempts)] or able
        if not able:
            return None
        able = self._sound(able, request.cls.name, now)
        capacity = [self._capacity(s, median, now) for s in able]
        near, wide = list(accumulate(self._by_zone(able, capacity))), list(accumulate(capacity))
        best, chosen = (math.inf, 0.0, 0.0), able[-1]
        for draw in range(DRAWS):
            sums = wide if draw else near  # against crowding our zone: others may have servers nobody calls
            i = min(bisect(sums, self._random.random() * sums[-1]), len(able) - 1)
            load = ((able[i].in_flight + 1) / capacity[i], -capacity[i], self._random.random())
            if load < best:
                best, chosen = load, able[i]
            if not able[i].in_flight:
                break  # with none of our calls in view (1/c) would send all to the largest: the draw decides
        return chosen

    def _sound(self, able: list[_Server], cls: str, now: float) -> list[_Server]:
        """Set aside the servers that lose the calls of this class, as long as most do not.

        Guards against servers that hang or fail for one class and serve the others well, which their capacity
        over all classes hides; dead and very slow ones go sooner by it too. Where most lose calls the cause
        is a common one and nobody is set aside. It harms where the rest is then crowded; what is known fades
        within seconds, and one more call lost sets the server aside again. Where connects fail one after
        another the server is away, whatever it did before, and however many others are.
        """
        for server in able:
            if (server.luck or server.away) and now - server.seen >= STEP_MS:
                server.catch_up(now)
        able = [s for s in able if s.away <= 1] or able
        sound = [s for s in able if not s.loses(cls)]
        return sound if 2 * len(sound) >= len(able) else able

    def _by_zone(self, able: list[_Server], capacity: list[float]) -> list[float]:
        """Weigh the draw so that calls stay in our zone, and spill to the zones with more than their part."""
        zones: dict[str, float] = {}
        for server, c in zip(able, capacity, strict=True):
            zones[server.member.zone] = zones.get(server.member.zone, 0.0) + c
        own = self._settings.zone
        if not own or own not in zones or len(zones) < 2:
            return capacity
        part = sum(zones.values()) / len(zones)
        over = {zone: max(c - part, 0.0) for zone, c in zones.items()}
        room = sum(over.values())  # 0 where all are alike but for rounding
        spill = max(part - zones[own], 0.0) / room if room else 0.0
        weight = {z: (min(c, part) if z == own else spill * over[z]) / c for z, c in zones.items()}
        return [weight[s.member.zone] * c for s, c in zip(able, capacity, strict=True)]

    def _capacity(self, server: _Server, median: float, now: float) -> float:
        """C of the design: served calls over our time in flight there, leaning on the median."""
        if now - server.seen >= STEP_MS:
            server.catch_up(now)
        median *= server.size  # a fleet of hundreds is called too seldom to learn its sizes
        estimate = (server.served + PRIOR_CALLS) / (server.busy + PRIOR_CALLS / median)
        warmth = self._warmth(server, now) if now < self._cold_until else 1.0
        return min(estimate, median * warmth) if warmth < 1 else estimate

    def _known_median(self, now: float) -> float:
        """The median of the known estimates for each unit of registered size; taken now and then only."""
        if now - self._median_at >= MEDIAN_STEP_MS:
            self._median_at = now
            known = sorted(s.served / (s.busy * s.size) for s in self._ready if s.served > 0.5 and s.busy > 0)
            self._median = known[len(known) // 2] if known else self._median
            if warm := [s.served for s in self._near if self._warmth(s, now) >= 1]:
                self._usual_rate = sum(warm) / len(warm) / self._memory
            # Guards against evidence that fades between two calls: of hundreds, one balancer makes few.
            wanted = MEMORY_CALLS * self._pause * len(self._near)
            self._memory = min(max(MEMORY_MS, wanted), MEMORY_MOST_MS)
            for server in self._ready:
                server.memory = self._memory
        return self._median or 1.0

    def _book(self, attempt: _Attempt, outcome: Outcome, request: _Request, now: float) -> None:
        """Count a served call; book a failure at its full time-out: it must not look quick."""
        server, cls = attempt.server, request.cls
        server.catch_up(now)
        server.used = now if outcome in (Outcome.SUCCEEDED, Outcome.ERROR) else math.inf
        if outcome in (Outcome.SUCCEEDED, Outcome.TIMED_OUT, Outcome.RESET):
            self._note_idle(attempt, outcome is not Outcome.SUCCEEDED)
        if outcome is Outcome.CONNECT_FAILED:
            server.away = min(server.away + 1, ASIDE_MOST)
        elif outcome not in (Outcome.CANCELLED, Outcome.NOT_SENT, Outcome.TIMED_OUT):
            server.away = 0.0
        elapsed = now - attempt.sent
        if outcome is Outcome.SUCCEEDED:
            usual, calls = self._usual[cls.name]
            if attempt.light:
                calls = min(calls + 1, OFFER_CALLS)
                usual += (elapsed / request.heft - usual) / calls
                self._usual[cls.name] = usual, calls
            self._done = (
                self._done_rate(now)
                + request.heft * max(usual, cls.latency_objective_ms * USUAL_PART) / CROWD_MS
            )
            self._work[cls.name] += (elapsed - self._work[cls.name]) / OFFER_CALLS
            server.served += request.size
            server.note(cls.name, 1.0, 0.0)
        elif outcome not in (Outcome.CANCELLED, Outcome.NOT_SENT):
            server.busy += max(attempt.ends - now, 0.0)
            if outcome is Outcome.TIMED_OUT:
                self._note_loss(attempt, request, now)
            else:
                server.note(cls.name, 0.0, 1.0)
        server.in_flight -= 1
        self._out -= 1

    # ---- the rules: cold servers ----------------------------------------------------------------

    def _warmth(self, server: _Server, now: float) -> float:
        """The share of its capacity that a server has at the least, by its age."""
        age = now - server.member.started_at_ms
        if server.member.started_at_ms <= 0 or age >= self._settings.slow_start_ms:
            return 1.0
        return 1.0 - (1.0 - self._settings.slow_start_initial_fraction) * (
            1.0 - max(age, 0.0) / self._settings.slow_start_ms
        )

    def _cold_room(self, server: _Server, first: bool, now: float) -> bool:
        """Whether a cold server can take one more call in this window (a burst would push it over).

        Each balancer sends a part of multiple x warmth x its own rate to a warm server: they add up to a warm
        load. The one call always allowed is drawn at most warmth times as often as a warm server is; where
        hundreds could send one each, only so many balancers call the server at all as keep the sum in its
        limit: the same ones in each window, since each new draw would be one more chance to exceed it.
        """
        if (warmth := self._warmth(server, now)) >= 1:
            return True
        # Further attempts come on top of the requests that `_judge_cold` counts.
        part = self._cold_part if first or self._cold_part >= 1 else 0.0
        if server.turn > max(part, self._cold_mean(server.size * warmth)):
            return False
        window = self._settings.slow_start_window_ms
        while server.sends and server.sends[0] < now - window:
            server.sends.popleft()
        budget = COLD_SAFETY * self._settings.slow_start_overload_factor * warmth * self._usual_rate * window
        return len(server.sends) + 1 <= max(1.0, budget)

    def _cold_mean(self, size: float) -> float:
        """Our part of the calls that all may send in a window to a cold server of this size x warmth.

        The rule allows N + 2 x root of N + 2; a count about the mean m spreads by its root, so m and
        COLD_CHANCE times its root make up the limit. One call of each of two balancers never exceeds it.
        """
        if self._holders <= 2:
            return 1.0
        allowed = (
            self._settings.slow_start_overload_factor
            * size
            * self._cold_rate
            * self._settings.slow_start_window_ms
        )
        most = allowed + 2 * math.sqrt(allowed) + 2
        return float((math.sqrt(COLD_CHANCE**2 / 4 + most) - COLD_CHANCE / 2) ** 2) / self._holders

    def _arrival_rate(self, pause: float, calls: int, now: float) -> float:
        """Requests a millisecond, by the mean pause between so many of them, or by all since our start."""
        if self._arrivals >= calls:
            return 1.0 / (pause + self._settings.tick_ms / calls)
        return self._arrivals / (now - self._born + self._settings.slow_start_window_ms)

    def _judge_cold(self, now: float) -> None:
        """Judge what a warm server takes, and which part of the balancers may draw cold ones as they would.

        Guards against balancers that each see few calls, and restarted ones that know nothing yet: a server
        takes at the least what all send it if they do as we do (or, too new to tell, if requests come level
        over our servers), and at the least one call at a time. Where the calls that cold ones are due exceed
        their part (warm ones went, a burst, a tight rule), the warm ones take the rest.
        """
        if now - self._cold_at < FLEET_STEP_MS or not self._near:
            return
        self._cold_at = now
        near = len(self._near)
        self._holders = max(self._peers * near / len(self._ready), 1.0)
        unseen = math.exp((self._born - now) / self._memory) if self._usual_rate else 1.0
        ours = self._usual_rate * near + unseen * self._arrival_rate(self._usual_pause, USUAL_CALLS, now)
        self._cold_rate = max(ours / sum(s.size for s in self._near) * self._holders, self._median)
        warm = cold = mean = 0.0
        for server in self._near:
            if not server.is_lost():
                warmth = self._warmth(server, now)
                if warmth < 1:
                    cold += server.size * warmth
                    mean += self._cold_mean(server.size * warmth)
                else:
                    warm += server.size
        calls = self._arrival_rate(self._pause, LATE_CALLS, now) * self._settings.slow_start_window_ms
        wanted = calls * cold / mean if mean else math.inf  # size that could take all our calls at this mean
        if warm + cold >= wanted:
            self._cold_part = 1.0
        elif warm:
            self._cold_part = warm / (wanted - cold)
        else:  # with no warm one, any that we may call takes all of ours
            self._cold_part = 1.0 - (1.0 - cold / wanted) ** (1 / near)
