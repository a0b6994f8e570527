"""The load balancer's decisions; the events it takes are in loadbalancer/events.py.

A request's way: it is shed or an attempt is started; each attempt that finishes brings the response, a retry
or a final failure.
"""

import math
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
from loadbalancer.errors import DuplicateRequestError, UnknownClassError, UnknownRequestError
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
from loadbalancer.policy.attempt_recorder import AttemptRecorder
from loadbalancer.policy.available_capacity import AvailableCapacity
from loadbalancer.policy.capacity import CapacityEstimator
from loadbalancer.policy.endpoint_set import EndpointSet
from loadbalancer.policy.idempotency import IdempotencyRules
from loadbalancer.policy.idle_connections import IdleConnectionLimit
from loadbalancer.policy.overload import OverloadDetector
from loadbalancer.policy.peers import PeerEstimator
from loadbalancer.policy.poll_backoff import PollBackoff
from loadbalancer.policy.request import Request
from loadbalancer.policy.retry import Hedging, RetryBudgets
from loadbalancer.policy.selection import EndpointSelector
from loadbalancer.policy.service_times import CostHints, ServiceTimes
from loadbalancer.policy.slow_start import SlowStart
from loadbalancer.settings import Idempotency, Settings
from loadbalancer.timers import EndpointListTimer, HedgeTimer, Timer

# We count as shedding load for so long after a request was shed; the log has one line for all of it.
SHEDDING_MEMORY_MS = 6_000.0


class LoadBalancer:
    """The decisions of one balancer instance: feed it events in order, carry out the actions it returns."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self._settings = settings
        self._classes = {c.name: c for c in settings.classes}
        self._requests: dict[int, Request] = {}
        self._shedding_until = -math.inf
        self._actions: list[Action] = []
        self._initial_actions: list[Action] = [WatchEndpoints()] if settings.polls_discovery else []
        random = Random(seed)
        self._poll_backoff = PollBackoff(settings, random)
        self._endpoints = EndpointSet(settings, random)
        self._arrivals = ArrivalRate(settings)
        peers = PeerEstimator(settings, self._arrivals)
        self._available = AvailableCapacity(self._endpoints, peers)
        self._overload = OverloadDetector(self._available)
        self._admission = AdmissionControl(settings, self._overload, Quotas(settings, peers))
        capacity = CapacityEstimator(self._endpoints, self._arrivals)
        self._slow_start = SlowStart(settings, self._endpoints, self._arrivals, peers, capacity)
        self._selector = EndpointSelector(
            settings, IdempotencyRules(settings, self._endpoints), self._slow_start, capacity, random
        )
        self._cost_hints = CostHints()
        self._service_times = ServiceTimes(settings)
        self._idle_limit = IdleConnectionLimit()
        self._recorder = AttemptRecorder(
            self._service_times, self._overload.sustainable_concurrency, self._idle_limit, self._available
        )
        self._retry_budgets = RetryBudgets()
        self._hedging = Hedging(settings, self._service_times)

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
                self._find_request(event).is_streaming = True
        return self._actions

    def _update_endpoints(self, event: EndpointListUpdate, now: float) -> None:
        if event.kind is EndpointListKind.FAILED:
            self._poll_again(now)
            return
        if self._poll_backoff.is_failing and event.kind is not EndpointListKind.CACHED:
            self._poll_backoff.reset()
            self._actions.append(LogMessage("endpoint list is reachable again"))
        self._arrivals.start(now)
        self._endpoints.update(event, now)
        self._available.invalidate(now)
        self._slow_start.invalidate()

    def _poll_again(self, now: float) -> None:
        """The endpoint list is out of reach: the last one stands."""
        if not self._poll_backoff.is_failing:
            self._actions.append(LogMessage("endpoint list is unreachable; keeping the last one"))
        self._actions.append(SetTimer(self._poll_backoff.record_failure(now), EndpointListTimer()))

    def _receive(self, event: RequestReceived, now: float) -> None:
        if event.request_id in self._requests:
            raise DuplicateRequestError(event.request_id)
        if event.class_name not in self._classes:
            raise UnknownClassError(event.request_id, event.class_name)
        request_class = self._classes[event.class_name]
        useful_until = now + event.remaining_ms
        if not request_class.late_value:
            useful_until = min(useful_until, now + request_class.latency_objective_ms)
        work = self._cost_hints.relative_work(event.cost_hint_ms)
        request = Request(event.request_id, request_class, useful_until, work)
        self._requests[request.id] = request
        self._arrivals.record(now)
        if not self._admission.admits(request_class, event.tenant, event.remaining_ms, now):
            self._shed(request, "overloaded: shedding the requests of the lowest priority weight first", now)
        elif not self._try_start_attempt(request, now):
            self._shed(request, "no endpoint is eligible: rejecting requests", now)

    def _shed(self, request: Request, reason: str, now: float) -> None:
        """Give up a request that was never sent; one line in the log for a whole spell."""
        if now > self._shedding_until:
            self._actions.append(LogMessage(reason))
        self._shedding_until = now + SHEDDING_MEMORY_MS
        self._respond_with_failure(request)

    def _try_start_attempt(self, request: Request, now: float) -> bool:
        timeout_ms = request.useful_until - now
        if timeout_ms <= self._settings.tick_ms or len(request.attempts) >= self._settings.max_attempts:
            return False
        endpoint = self._selector.select(request, now)
        if endpoint is None:
            return False
        idle_ms = 0.0 if endpoint.in_flight else max(now - endpoint.last_used_at, 0.0)
        if idle_ms and (request.attempts or idle_ms >= self._idle_limit.limit_ms):
            # What is unused for so long may be dead.
            self._actions.append(CloseIdleConnections(endpoint.entry.name))
            idle_ms = 0.0
        hedge_delay_ms = self._hedging.delay_ms(request, timeout_ms)
        if hedge_delay_ms is not None:
            self._actions.append(SetTimer(now + hedge_delay_ms, HedgeTimer(request.id)))
        is_shedding = now <= self._shedding_until
        attempt = self._recorder.start(endpoint, idle_ms, timeout_ms, now, is_shedding=is_shedding)
        request.attempts.append(attempt)
        self._slow_start.record_start(endpoint, now)
        self._actions.append(StartAttempt(request.id, endpoint.entry.name, timeout_ms))
        return True

    def _fire_timer(self, timer: Timer, now: float) -> None:
        match timer:
            case EndpointListTimer():
                self._actions.append(WatchEndpoints())
            case HedgeTimer(request_id):
                # It is held back as soon as the least important work would be shed.
                request = self._requests.get(request_id)
                if request and self._hedging.allows(request) and not self._overload.is_overloaded(0.0, now):
                    self._try_retry(request, now)

    def _find_request(self, event: AttemptFinished | ResponseStarted) -> Request:
        request = self._requests.get(event.request_id)
        if request is None or not 0 <= event.attempt_index < len(request.attempts):
            raise UnknownRequestError(event.request_id, event.attempt_index)
        return request

    def _finish_attempt(self, event: AttemptFinished, now: float) -> None:
        request = self._find_request(event)
        attempt = request.attempts[event.attempt_index]
        if not attempt.is_open:
            return
        attempt.is_open = False
        attempt.may_have_run = event.outcome not in NEVER_RAN
        self._recorder.record_end(attempt, event.outcome, request, now)
        if event.is_answered:
            self._finish_request(request, event.outcome, now)
        elif request.needs_attempt() and not self._try_retry(request, now):
            self._respond_with_failure(request)
        self._forget_if_finished(request)

    def _finish_request(self, request: Request, outcome: Outcome, now: float) -> None:
        """The client has its response: what else is open was waited for in vain."""
        if request.is_response_pending and outcome is Outcome.SUCCEEDED:
            self._retry_budgets.earn()
        request.is_response_pending = False
        for attempt in request.attempts:
            if attempt.is_open:
                self._recorder.record_abandoned(attempt, request, now)
        self._cancel_open_attempts(request)

    def _try_retry(self, request: Request, now: float) -> bool:
        """Make a further attempt, if the budget for those of its kind has a token left."""
        budget = self._retry_budgets.budget_for(request)
        if not budget.allows() or request.is_streaming or not self._try_start_attempt(request, now):
            return False
        budget.spend()
        return True

    def _respond_with_failure(self, request: Request) -> None:
        request.is_response_pending = False
        if request.request_class.idempotency is Idempotency.SAFE or not request.may_have_run():
            # By the time that a mean request takes there is room again, of attempts that are open now.
            service_time = self._service_times.mean_ms(request.request_class.name)
            after_ms = min(service_time, self._settings.max_retry_after_ms)
            self._actions.append(RejectRequest(request.id, after_ms))
        else:
            self._actions.append(FailRequest(request.id))
        self._forget_if_finished(request)

    def _cancel_open_attempts(self, request: Request) -> None:
        if self._settings.may_cancel and not request.is_streaming:
            self._actions.extend(
                CancelAttempt(request.id, i) for i, attempt in enumerate(request.attempts) if attempt.is_open
            )

    def _disconnect_client(self, request_id: int) -> None:
        if request := self._requests.get(request_id):
            request.is_response_pending = False
            self._cancel_open_attempts(request)
            self._forget_if_finished(request)

    def _forget_if_finished(self, request: Request) -> None:
        if not request.is_response_pending and not request.has_open_attempt():
            self._requests.pop(request.id, None)
