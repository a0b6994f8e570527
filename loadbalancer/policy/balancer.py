"""Every decision of the balancer; what it takes is in loadbalancer/events.py.

A request's way: `_receive` sheds it (`_admits`) or starts an attempt (`_try_start_attempt`) at the endpoint
that `_select` chooses. `_finish_attempt` records each outcome and, if a response is still owed, retries
(`_try_retry`) or gives up. `_idempotent_endpoints` tells where a retry is harmless.
"""

from __future__ import annotations

import math
from bisect import bisect
from collections import deque
from itertools import accumulate
from random import Random

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
from loadbalancer.policy.admission import AdmissionControl, Quotas
from loadbalancer.policy.arrivals import ArrivalRate
from loadbalancer.policy.available_capacity import AvailableCapacity
from loadbalancer.policy.capacity import CapacityEstimator
from loadbalancer.policy.endpoint_set import EndpointSet
from loadbalancer.policy.endpoint_stats import EVIDENCE_MEMORY_MS, EndpointStats
from loadbalancer.policy.outlier_detection import is_outlier, without_outliers
from loadbalancer.policy.overload import OverloadDetector
from loadbalancer.policy.peers import PeerEstimator
from loadbalancer.policy.poll_backoff import PollBackoff
from loadbalancer.policy.request import Attempt, Request
from loadbalancer.policy.service_times import CostHints, ServiceTimes
from loadbalancer.settings import Idempotency, IdempotencyScope, Settings
from loadbalancer.timers import EndpointListTimer, HedgeTimer, Timer

MAX_SAMPLES = 4  # the most for d of the design, while each server drawn holds a call of ours
# Calls' worth of belief in the median, so that one slow answer does not ruin an estimate
LOST_SERVICE_TIMES = 2.0  # a call waited for over so many usual times counts as lost in full
# The hedged attempt is sent after so many mean service times, or after this part of the request's timeout.
HEDGE_SERVICE_TIMES = 4.0
HEDGE_TIMEOUT_FRACTION = 0.5
# Tokens for retries where an attempt may have run. Endpoints that restart in an outage must not feed it.
RETRY_TOKENS_PER_RESPONSE = 0.2
RETRY_INITIAL_TOKENS = 2.0
RETRY_MAX_TOKENS = 10.0
# Tokens for retries where none ran. Half of the endpoints may go with a zone: one for each response, and
# one for chance.
RESEND_TOKENS_PER_RESPONSE = 2.0
RESEND_INITIAL_TOKENS = 20.0
RESEND_MAX_TOKENS = 20.0
# The part of a cold server's budget that we use: other balancers and heavy calls count too
SLOW_START_INTERVAL_MS = 100.0  # the figures of slow start are taken anew after this
SLOW_START_SAFETY = 0.5
# Times the root of a mean count that its limit leaves to chance; calls differ in work
SLOW_START_DEVIATIONS = 5.0
# The servers that can take calls are counted anew after this; it only saves work
IDLE_SAMPLES = 40  # so many last calls on idle connections tell how long these live


class RetryBudget:
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


class LoadBalancer:
    """The decisions of one balancer instance: feed it events in order, carry out the actions it returns."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self._settings = settings
        self._classes = {c.name: c for c in settings.classes}
        self._random = Random(seed)
        self._poll_backoff = PollBackoff(settings, self._random)
        self._endpoints = EndpointSet(settings, self._random)
        self._warmup = self._endpoints.warmup
        self._requests: dict[int, Request] = {}
        self._cost_hints = CostHints()
        self._service_times = ServiceTimes(settings)
        self._open_attempts = 0  # attempts of ours that are out
        self._arrivals = ArrivalRate(settings)
        self._peers = PeerEstimator(settings, self._arrivals)
        self._available = AvailableCapacity(self._endpoints, self._peers)
        self._overload = OverloadDetector(self._available)
        self._admission = AdmissionControl(settings, self._overload, Quotas(settings, self._peers))
        self._capacity = CapacityEstimator(self._endpoints, self._arrivals)
        self._shedding_until = -math.inf
        self._slow_start_updated_at, self._subset_peers = -math.inf, 1.0
        self._slow_start_rate, self._slow_start_fraction = 0.0, 1.0  # `_update_slow_start`
        self._initial_actions: list[Action] = [WatchEndpoints()] if settings.polls_discovery else []
        self._idle_samples: deque[tuple[float, bool]] = deque(maxlen=IDLE_SAMPLES)
        self._idle_limit_ms = math.inf
        self._retries = RetryBudget(RETRY_TOKENS_PER_RESPONSE, RETRY_INITIAL_TOKENS, RETRY_MAX_TOKENS)
        self._resends = RetryBudget(RESEND_TOKENS_PER_RESPONSE, RESEND_INITIAL_TOKENS, RESEND_MAX_TOKENS)
        self._actions: list[Action] = []

    @property
    def open_requests(self) -> int:
        """Requests to which a response is owed, or that have open attempts."""
        return len(self._requests)

    @property
    def ready_endpoints(self) -> list[str]:
        """The names of the endpoints that the list says take requests."""
        return [endpoint.entry.name for endpoint in self._endpoints.ready]

    def handle(self, event: Event, now: float) -> list[Action]:
        """Take one event at time `now` and return what to do, in order."""
        self._actions, self._initial_actions = self._initial_actions, []
        match event:
            case AttemptFinished():
                self._finish_attempt(event, now)
            case RequestReceived():
                self._receive(event, now)
            case TimerFired():
                self._fire_timer(event.timer, now)
            case EndpointListUpdate():
                self._update_endpoints(event, now)
            case ClientDisconnected():
                self._disconnect_client(event.request_id)
            case ResponseStarted():
                self._find_attempt(event)[0].is_streaming = True
        return self._actions

    # ---- the list -------------------------------------------------------------------------------

    def _update_endpoints(self, event: EndpointListUpdate, now: float) -> None:
        if event.kind is EndpointListKind.FAILED:
            self._poll_again(now)
            return
        if self._poll_backoff.is_failing and event.kind is not EndpointListKind.CACHED:
            self._poll_backoff.reset()
            self._actions.append(LogMessage("server list is back"))
        self._arrivals.start(now)
        self._endpoints.update(event, now)
        self._available.invalidate(now)
        self._slow_start_updated_at = -math.inf

    def _poll_again(self, now: float) -> None:
        """The endpoint list is out of reach: the last one stands."""
        if not self._poll_backoff.is_failing:
            self._actions.append(LogMessage("server list out of reach; keeping the last one"))
        self._actions.append(SetTimer(self._poll_backoff.record_failure(now), EndpointListTimer()))

    # ---- a request's path -----------------------------------------------------------------------

    def _receive(self, event: RequestReceived, now: float) -> None:
        if event.request_id in self._requests:
            raise ValueError(f"request {event.request_id} has arrived before")
        if event.class_name not in self._classes:
            raise ValueError(f"request {event.request_id} is of unknown class {event.class_name!r}")
        request_class = self._classes[event.class_name]
        useful_until = now + event.remaining_ms
        if not request_class.late_value:
            useful_until = min(useful_until, now + request_class.latency_objective_ms)
        work = self._cost_hints.relative_work(event.cost_hint_ms)
        request = Request(event.request_id, request_class, useful_until, work)
        self._requests[request.id] = request
        self._arrivals.record(now)
        if not self._admission.admits(request_class, event.tenant, event.remaining_ms, now):
            self._shed(request, "too many calls are out: shedding the least worth first", now)
        elif not self._try_start_attempt(request, now):
            self._shed(request, "no server may take a call: refusing", now)

    def _shed(self, request: Request, reason: str, now: float) -> None:
        """Give up a request that was never sent; one line in the log for a whole spell."""
        if now > self._shedding_until:
            self._actions.append(LogMessage(reason))
        self._shedding_until = now + EVIDENCE_MEMORY_MS
        self._respond_with_failure(request)

    def _try_start_attempt(self, request: Request, now: float) -> bool:
        timeout = request.useful_until - now
        over = timeout <= self._settings.tick_ms or len(request.attempts) >= self._settings.max_attempts
        if over or (server := self._select(request, now)) is None:
            return False
        idle = 0.0 if server.in_flight else max(now - server.last_used_at, 0.0)
        if idle and (request.attempts or idle >= self._idle_limit_ms):
            self._actions.append(
                CloseIdleConnections(server.entry.name)
            )  # what is unused so long may be dead
            idle = 0.0
        repeatable = (
            request.request_class.idempotency is not Idempotency.NOT_IDEMPOTENT
            and self._settings.max_attempts > 1
        )
        if repeatable and self._settings.may_hedge and not request.attempts:
            # Guards against silence and slowness of any cause: hung or failing servers, dropped connections.
            # It could harm by adding to a crowd: it keeps to the retry budget, and a crowd holds it back.
            # Where no second copy may go out, none is made room for: to cut
            # the call short loses its work.
            patience = min(
                HEDGE_SERVICE_TIMES
                * request.expected_work
                * self._service_times.mean_ms(request.request_class.name),
                HEDGE_TIMEOUT_FRACTION * timeout,
            )
            self._actions.append(SetTimer(now + patience, HedgeTimer(request.id)))
        server.catch_up(now)
        server.in_flight += 1
        self._open_attempts += 1
        # Shedding, we know of a crowd: however little of it is ours, calls take longer than usual.
        light = (
            self._open_attempts <= max(self._available.weight / self._peers.count, 1.0)
            and now > self._shedding_until
        )
        request.attempts.append(Attempt(server, idle, now, now + timeout, light))
        if now < self._warmup.active_until and self._warmup.fraction(server, now) < 1:
            server.recent_starts.append(now)
        self._actions.append(StartAttempt(request.id, server.entry.name, timeout))
        return True

    def _fire_timer(self, timer: Timer, now: float) -> None:
        hedging = isinstance(timer, HedgeTimer) and self._settings.may_hedge
        request = self._requests.get(timer.request_id) if isinstance(timer, HedgeTimer) and hedging else None
        if isinstance(timer, EndpointListTimer):
            self._actions.append(WatchEndpoints())
        elif (
            request
            and request.is_response_owed
            and len(request.attempts) == 1
            and not self._overload.is_overloaded(0.0, now)
        ):
            self._try_retry(request, now)

    def _find_attempt(self, event: AttemptFinished | ResponseStarted) -> tuple[Request, Attempt]:
        request = self._requests.get(event.request_id)
        if request is None or not 0 <= event.attempt_index < len(request.attempts):
            raise ValueError(f"attempt {event.attempt_index} of request {event.request_id} was never made")
        return request, request.attempts[event.attempt_index]

    def _finish_attempt(self, event: AttemptFinished, now: float) -> None:
        request, attempt = self._find_attempt(event)
        if not attempt.is_open:
            return
        attempt.is_open, attempt.may_have_run = False, event.outcome not in NEVER_RAN
        self._record_attempt(attempt, event.outcome, request, now)
        if event.is_answered:
            if request.is_response_owed and event.outcome is Outcome.SUCCEEDED:
                self._retries.earn()
                self._resends.earn()
            request.is_response_owed = False
            for beaten in (a for a in request.attempts if a.is_open):
                self._record_idle_time(beaten, silent=True)
                self._record_loss(beaten, request, now)
            self._cancel_open_attempts(request)
        elif (
            request.is_response_owed and not request.has_open_attempt() and not self._try_retry(request, now)
        ):
            self._respond_with_failure(request)
        self._forget_if_finished(request)

    def _record_idle_time(self, attempt: Attempt, silent: bool) -> None:
        """Learn from which idle time on connections die: the least with two silent calls, and most silent.

        Guards against connections dropped unseen, by anyone; harms by handshakes if the silence is another.
        """
        if attempt.idle_ms:
            self._idle_samples.append((attempt.idle_ms, silent))
            dead = sorted(idle for idle, was_silent in self._idle_samples if was_silent)
            longer = {idle: sum(other >= idle for other, _ in self._idle_samples) for idle in dead}
            known = (d for i, d in enumerate(dead) if len(dead) - i >= max(2.0, 0.6 * longer[d]))
            self._idle_limit_ms = next(known, math.inf)

    def _record_loss(self, attempt: Attempt, request: Request, now: float) -> None:
        """A call was lost at its server, or waited for in vain; one with hardly any time tells little."""
        usual = (
            LOST_SERVICE_TIMES
            * request.expected_work
            * self._service_times.mean_ms(request.request_class.name)
        )
        attempt.endpoint.record_outcome(
            request.request_class.name, 0.0, min((now - attempt.sent_at) / usual, 1.0)
        )

    def _try_retry(self, request: Request, now: float) -> bool:
        """Make a further attempt, if the budget for those of its kind has one left."""
        budget = self._retries if request.may_have_run() else self._resends
        if not budget.allows() or request.is_streaming or not self._try_start_attempt(request, now):
            return False
        budget.spend()
        return True

    def _respond_with_failure(self, request: Request) -> None:
        request.is_response_owed = False
        harmless = request.request_class.idempotency is Idempotency.SAFE or not any(
            a.may_have_run for a in request.attempts
        )
        # By the time that a usual call takes there is room again, of calls that are out now.
        after = min(
            self._service_times.mean_ms(request.request_class.name), self._settings.max_retry_after_ms
        )
        self._actions.append(RejectRequest(request.id, after) if harmless else FailRequest(request.id))
        self._forget_if_finished(request)

    def _cancel_open_attempts(self, request: Request) -> None:
        if self._settings.may_cancel and not request.is_streaming:
            self._actions.extend(
                CancelAttempt(request.id, i) for i, a in enumerate(request.attempts) if a.is_open
            )

    def _disconnect_client(self, request_id: int) -> None:
        if request := self._requests.get(request_id):
            request.is_response_owed = False
            self._cancel_open_attempts(request)
            self._forget_if_finished(request)

    def _forget_if_finished(self, request: Request) -> None:
        if not request.is_response_owed and not request.has_open_attempt():
            self._requests.pop(request.id, None)

    # ---- the rules: no doubled effect -----------------------------------------------------------

    def _idempotent_endpoints(self, request: Request, now: float) -> list[EndpointStats]:
        """The servers to which the next attempt can do no harm: those we keep to, if none may have run."""
        cls = request.request_class
        ran = next((a for a in request.attempts if a.may_have_run), None)
        if ran is None or cls.idempotency is Idempotency.SAFE:
            return self._endpoints.subset
        begins = now + self._settings.tick_ms + self._settings.connect_timeout_ms  # at the latest
        if cls.idempotency is Idempotency.NOT_IDEMPOTENT or begins >= ran.sent_at + cls.idempotency_window_ms:
            return []
        # A server that restarted since may have forgotten what it saw: not asked again.
        able = [s for s in self._endpoints.ready if s.entry.started_at_ms <= ran.sent_at]
        if cls.idempotency_scope is IdempotencyScope.ALL:
            return able
        if cls.idempotency_scope is IdempotencyScope.ZONE:
            return [s for s in able if s.entry.zone == ran.endpoint.entry.zone]
        return [s for s in able if s.entry.cell == ran.endpoint.entry.cell]

    # ---- the ordinary path ----------------------------------------------------------------------

    def _select(self, request: Request, now: float) -> EndpointStats | None:
        """Draw servers by capacity, up to the first that holds none of our calls; take the least loaded."""
        median = self._capacity.current_median(now)
        able = self._idempotent_endpoints(request, now)
        if now < self._warmup.active_until:
            self._update_slow_start(now)
            able = [s for s in able if self._has_slow_start_capacity(s, not request.attempts, now)]
        if request.attempts:
            able = [s for s in able if all(a.endpoint is not s for a in request.attempts)] or able
        if not able:
            return None
        able = without_outliers(able, request.request_class.name, now)
        capacity = [self._capacity.estimate(s, median, now) for s in able]
        near, wide = list(accumulate(self._weigh_by_zone(able, capacity))), list(accumulate(capacity))
        best, chosen = (math.inf, 0.0, 0.0), able[-1]
        for draw in range(MAX_SAMPLES):
            # Against crowding our zone: others may have servers nobody calls
            sums = wide if draw else near
            i = min(bisect(sums, self._random.random() * sums[-1]), len(able) - 1)
            load = ((able[i].in_flight + 1) / capacity[i], -capacity[i], self._random.random())
            if load < best:
                best, chosen = load, able[i]
            if not able[i].in_flight:
                # With none of our calls in view (1/c) would send all to the largest: the draw decides
                break
        return chosen

    def _weigh_by_zone(self, able: list[EndpointStats], capacity: list[float]) -> list[float]:
        """Weigh the draw so that calls stay in our zone, and spill to the zones with more than their part."""
        zones: dict[str, float] = {}
        for server, c in zip(able, capacity, strict=True):
            zones[server.entry.zone] = zones.get(server.entry.zone, 0.0) + c
        own = self._settings.zone
        if not own or own not in zones or len(zones) < 2:
            return capacity
        part = sum(zones.values()) / len(zones)
        over = {zone: max(c - part, 0.0) for zone, c in zones.items()}
        room = sum(over.values())  # 0 where all are alike but for rounding
        spill = max(part - zones[own], 0.0) / room if room else 0.0
        weight = {z: (min(c, part) if z == own else spill * over[z]) / c for z, c in zones.items()}
        return [weight[s.entry.zone] * c for s, c in zip(able, capacity, strict=True)]

    def _record_attempt(self, attempt: Attempt, outcome: Outcome, request: Request, now: float) -> None:
        """Count a served call; book a failure at its full time-out: it must not look quick."""
        server, cls = attempt.endpoint, request.request_class
        server.catch_up(now)
        server.last_used_at = now if outcome in (Outcome.SUCCEEDED, Outcome.ERROR) else math.inf
        if outcome in (Outcome.SUCCEEDED, Outcome.TIMED_OUT, Outcome.RESET):
            self._record_idle_time(attempt, outcome is not Outcome.SUCCEEDED)
        if outcome is Outcome.CONNECT_FAILED:
            server.record_connect_failure()
        elif outcome not in (Outcome.CANCELLED, Outcome.NOT_SENT, Outcome.TIMED_OUT):
            server.connect_failures = 0.0
        elapsed = now - attempt.sent_at
        if outcome is Outcome.SUCCEEDED:
            service_times = self._service_times
            if attempt.is_baseline:
                service_times.record_baseline(cls.name, elapsed / request.expected_work)
            baseline_ms = request.expected_work * service_times.baseline_ms(cls.name)
            self._overload.completions.record(baseline_ms, now)
            service_times.record(cls.name, elapsed)
            server.served += request.work
            server.record_outcome(cls.name, 1.0, 0.0)
        elif outcome not in (Outcome.CANCELLED, Outcome.NOT_SENT):
            server.busy_ms += max(attempt.ends_at - now, 0.0)
            if outcome is Outcome.TIMED_OUT:
                self._record_loss(attempt, request, now)
            else:
                server.record_outcome(cls.name, 0.0, 1.0)
        server.in_flight -= 1
        self._open_attempts -= 1

    # ---- the rules: cold servers ----------------------------------------------------------------

    def _has_slow_start_capacity(self, server: EndpointStats, first: bool, now: float) -> bool:
        """Whether a cold server can take one more call in this window (a burst would push it over).

        Each balancer sends a part of multiple x warmth x its own rate to a warm server: they add up to a warm
        load. The one call always allowed is drawn at most warmth times as often as a warm server is; where
        hundreds could send one each, only so many balancers call the server at all as keep the sum in its
        limit: the same ones in each window, since each new draw would be one more chance to exceed it.
        """
        if (warmth := self._warmup.fraction(server, now)) >= 1:
            return True
        # Further attempts come on top of the requests that `_update_slow_start` counts.
        part = self._slow_start_fraction if first or self._slow_start_fraction >= 1 else 0.0
        if server.slow_start_rank > max(part, self._slow_start_mean(server.weight * warmth)):
            return False
        window = self._settings.slow_start_window_ms
        while server.recent_starts and server.recent_starts[0] < now - window:
            server.recent_starts.popleft()
        budget = (
            SLOW_START_SAFETY
            * self._settings.slow_start_overload_factor
            * warmth
            * self._capacity.served_per_ms
            * window
        )
        return len(server.recent_starts) + 1 <= max(1.0, budget)

    def _slow_start_mean(self, size: float) -> float:
        """Our part of the calls that all may send in a window to a cold server of this size x warmth.

        The rule allows N + 2 x root of N + 2; a count about the mean m spreads by its root, so m and
        SLOW_START_DEVIATIONS times its root make up the limit. One call of each of two balancers never
        exceeds it.
        """
        if self._subset_peers <= 2:
            return 1.0
        allowed = (
            self._settings.slow_start_overload_factor
            * size
            * self._slow_start_rate
            * self._settings.slow_start_window_ms
        )
        most = allowed + 2 * math.sqrt(allowed) + 2
        return (
            float((math.sqrt(SLOW_START_DEVIATIONS**2 / 4 + most) - SLOW_START_DEVIATIONS / 2) ** 2)
            / self._subset_peers
        )

    def _update_slow_start(self, now: float) -> None:
        """Judge what a warm server takes, and which part of the balancers may draw cold ones as they would.

        Guards against balancers that each see few calls, and restarted ones that know nothing yet: a server
        takes at the least what all send it if they do as we do (or, too new to tell, if requests come level
        over our servers), and at the least one call at a time. Where the calls that cold ones are due exceed
        their part (warm ones went, a burst, a tight rule), the warm ones take the rest.
        """
        if now - self._slow_start_updated_at < SLOW_START_INTERVAL_MS or not self._endpoints.subset:
            return
        self._slow_start_updated_at = now
        near = len(self._endpoints.subset)
        self._subset_peers = max(self._peers.count * near / len(self._endpoints.ready), 1.0)
        unseen = (
            math.exp((self._arrivals.started_at - now) / self._capacity.memory_ms)
            if self._capacity.served_per_ms
            else 1.0
        )
        ours = self._capacity.served_per_ms * near + unseen * self._arrivals.usual_per_ms(now)
        self._slow_start_rate = max(
            ours / sum(s.weight for s in self._endpoints.subset) * self._subset_peers, self._capacity.median
        )
        warm = cold = mean = 0.0
        for server in self._endpoints.subset:
            if not is_outlier(server):
                warmth = self._warmup.fraction(server, now)
                if warmth < 1:
                    cold += server.weight * warmth
                    mean += self._slow_start_mean(server.weight * warmth)
                else:
                    warm += server.weight
        calls = self._arrivals.recent_per_ms(now) * self._settings.slow_start_window_ms
        # Size that could take all our calls at this mean
        wanted = calls * cold / mean if mean else math.inf
        if warm + cold >= wanted:
            self._slow_start_fraction = 1.0
        elif warm:
            self._slow_start_fraction = warm / (wanted - cold)
        else:  # with no warm one, any that we may call takes all of ours
            self._slow_start_fraction = 1.0 - (1.0 - cold / wanted) ** (1 / near)
