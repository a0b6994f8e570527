"""Every decision of the balancer; what it takes is in loadbalancer/events.py.

A request's way: it is shed or an attempt is started; each attempt that finishes brings the response, a retry
or a final failure.
"""

from __future__ import annotations

import math
from collections import deque
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
from loadbalancer.policy.endpoint_stats import EVIDENCE_MEMORY_MS
from loadbalancer.policy.idempotency import IdempotencyRules
from loadbalancer.policy.overload import OverloadDetector
from loadbalancer.policy.peers import PeerEstimator
from loadbalancer.policy.poll_backoff import PollBackoff
from loadbalancer.policy.request import Attempt, Request
from loadbalancer.policy.selection import EndpointSelector
from loadbalancer.policy.service_times import CostHints, ServiceTimes
from loadbalancer.policy.slow_start import SlowStart
from loadbalancer.settings import Idempotency, Settings
from loadbalancer.timers import EndpointListTimer, HedgeTimer, Timer

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
        random = Random(seed)
        self._poll_backoff = PollBackoff(settings, random)
        self._endpoints = EndpointSet(settings, random)
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
        self._slow_start = SlowStart(settings, self._endpoints, self._arrivals, self._peers, self._capacity)
        self._selector = EndpointSelector(
            settings, IdempotencyRules(settings, self._endpoints), self._slow_start, self._capacity, random
        )
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
        self._slow_start.invalidate()

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
        if over or (server := self._selector.select(request, now)) is None:
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
        self._slow_start.record_start(server, now)
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

    # ---- the ordinary path ----------------------------------------------------------------------

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
