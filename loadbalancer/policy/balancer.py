"""The policy of one balancer instance; loadbalancer/events.py defines the events that it handles.

For each request that is not shed, the policy starts a first attempt. When the last attempt in flight ends
without a response for the client, the policy starts a retry, or rejects or fails the request.
docs/POLICY.md explains the mechanisms.
"""

import math
from random import Random

from loadbalancer.actions import (
    Action,
    CancelAttempt,
    LogMessage,
    WatchEndpoints,
)
from loadbalancer.events import (
    UNPROCESSED_OUTCOMES,
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
from loadbalancer.policy.admission import AdmissionControl, MemoryPressure, Quotas
from loadbalancer.policy.arrivals import ArrivalRate
from loadbalancer.policy.attempt_recorder import AttemptRecorder
from loadbalancer.policy.attempt_starter import AttemptStarter
from loadbalancer.policy.available_capacity import AvailableCapacity
from loadbalancer.policy.balancer_count import BalancerCountEstimator
from loadbalancer.policy.capacity import CapacityEstimator
from loadbalancer.policy.endpoint_set import EndpointSet
from loadbalancer.policy.idempotency import IdempotencyRules
from loadbalancer.policy.idle_connections import IdleConnectionLimit
from loadbalancer.policy.overload import OverloadDetector
from loadbalancer.policy.poll_backoff import PollBackoff
from loadbalancer.policy.request import Request, RequestTable
from loadbalancer.policy.retry import FailureResponses, Hedging, RetryBudgets
from loadbalancer.policy.selection import EndpointSelector
from loadbalancer.policy.service_times import CostHints, ServiceTimes
from loadbalancer.policy.slow_start import SlowStart
from loadbalancer.settings import Settings
from loadbalancer.timers import EndpointListTimer, HedgeTimer, Timer

SHEDDING_HOLD_TIME_MS = 6_000.0
"""Time after a shed request during which the balancer counts as shedding load, in milliseconds.

During this time, further shed requests are not logged, and attempts that start then do not count toward the
baseline service time.
"""


class LoadBalancer:
    """The policy of one balancer instance.

    The host calls `handle` with each event, in the order in which the events happen, and carries out the
    returned actions.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        self._may_cancel = settings.may_cancel
        self._requests = RequestTable(settings.classes)
        self._shedding_until = -math.inf
        self._actions: list[Action] = []
        self._initial_actions: list[Action] = [WatchEndpoints()] if settings.polls_discovery else []
        random = Random(seed)
        self._poll_backoff = PollBackoff(settings, random)
        self._endpoints = EndpointSet(settings, random)
        self._arrivals = ArrivalRate(settings)
        balancer_count = BalancerCountEstimator(settings, self._arrivals)
        self._available_capacity = AvailableCapacity(self._endpoints, balancer_count)
        self._overload = OverloadDetector(self._available_capacity)
        self._memory_pressure = MemoryPressure(settings)
        self._admission = AdmissionControl(settings, self._overload, Quotas(settings, balancer_count))
        capacity = CapacityEstimator(self._endpoints, self._arrivals)
        self._slow_start = SlowStart(settings, self._endpoints, self._arrivals, balancer_count, capacity)
        idempotency = IdempotencyRules(settings, self._endpoints)
        selector = EndpointSelector(settings, idempotency, self._slow_start, capacity, random)
        self._cost_hints = CostHints()
        service_times = ServiceTimes(settings)
        idle_limit = IdleConnectionLimit()
        self._recorder = AttemptRecorder(
            service_times, self._overload.sustainable_concurrency, idle_limit, self._available_capacity
        )
        self._retry_budgets = RetryBudgets()
        self._failure_responses = FailureResponses(settings, service_times)
        self._hedging = Hedging(settings, service_times)
        self._attempt_starter = AttemptStarter(
            settings, selector, self._hedging, idle_limit, self._recorder, self._slow_start
        )

    @property
    def open_requests(self) -> int:
        """The number of requests without a final response or with attempts still in flight."""
        return len(self._requests)

    @property
    def ready_endpoints(self) -> list[str]:
        """The names of the endpoints that the endpoint list marks as ready."""
        return [endpoint.entry.name for endpoint in self._endpoints.ready]

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handle an event at time `now`, in milliseconds, and return the resulting actions in order.

        Raises:
            DuplicateRequestError: A request has the id of an open request.
            UnknownClassError: A request has a class that the settings don't define.
            UnknownRequestError: An event refers to a request that is not open, or to an unknown attempt.
        """
        self._actions, self._initial_actions = self._initial_actions, []
        match event:
            case AttemptFinished():
                self._finish_attempt(event, now)
            case RequestReceived():
                self._receive_request(event, now)
            case TimerFired():
                self._handle_timer(event.timer, now)
            case EndpointListUpdate():
                self._update_endpoints(event, now)
            case ClientDisconnected():
                self._handle_disconnect(event.request_id)
            case ResponseStarted():
                self._requests.find(event).is_streaming = True
        return self._actions

    def _update_endpoints(self, event: EndpointListUpdate, now: float) -> None:
        if event.kind is EndpointListKind.FAILED:
            self._actions += self._poll_backoff.record_failure(now)
            return
        if event.kind is not EndpointListKind.CACHED:
            self._actions += self._poll_backoff.record_success()
        self._arrivals.record_endpoint_list(now)
        self._endpoints.update(event, now)
        self._available_capacity.invalidate(now)
        self._slow_start.invalidate()

    def _receive_request(self, event: RequestReceived, now: float) -> None:
        request = self._requests.add(event, now)
        request.work = self._cost_hints.relative_work(event.cost_hint_ms)
        self._arrivals.record(now)
        if not self._memory_pressure.admits(request.request_class, event.memory_use):
            self._shed(
                request, "memory is short: shedding the requests of the lowest priority weight first", now
            )
        elif not self._admission.admits(request.request_class, event.tenant, event.remaining_ms, now):
            self._shed(request, "overloaded: shedding the requests of the lowest priority weight first", now)
        elif not self._start_attempt(request, now):
            self._shed(request, "no endpoint is eligible: rejecting requests", now)

    def _shed(self, request: Request, reason: str, now: float) -> None:
        """Reject a request before its first attempt; log the reason unless load was already being shed."""
        if now > self._shedding_until:
            self._actions.append(LogMessage(reason))
        self._shedding_until = now + SHEDDING_HOLD_TIME_MS
        self._respond_with_failure(request)

    def _start_attempt(self, request: Request, now: float) -> bool:
        """Start the next attempt of a request if one is allowed; return whether it was started."""
        actions = self._attempt_starter.start(request, now, is_shedding=now <= self._shedding_until)
        self._actions += actions
        return bool(actions)

    def _handle_timer(self, timer: Timer, now: float) -> None:
        match timer:
            case EndpointListTimer():
                self._actions.append(WatchEndpoints())
            case HedgeTimer(request_id):
                # Hedging is suspended at the load at which requests of the lowest importance, 0, are shed.
                request = self._requests.get(request_id)
                if request and self._hedging.allows(request) and not self._overload.is_overloaded(0.0, now):
                    self._start_retry(request, now)

    def _finish_attempt(self, event: AttemptFinished, now: float) -> None:
        request = self._requests.find(event)
        attempt = request.attempts[event.attempt_index]
        if not attempt.is_open:
            return
        attempt.is_open = False
        attempt.may_have_run = event.outcome not in UNPROCESSED_OUTCOMES
        self._recorder.record_end(attempt, event.outcome, request, now)
        if event.is_request_complete:
            self._finish_request(request, event.outcome, now)
        elif request.needs_attempt() and not self._start_retry(request, now):
            self._respond_with_failure(request)
        self._requests.remove_if_finished(request)

    def _finish_request(self, request: Request, outcome: Outcome, now: float) -> None:
        """Finish a request whose response is complete or whose client has disconnected.

        Attempts still in flight are recorded as abandoned and, if the settings allow it, cancelled.
        """
        if request.is_response_pending and outcome is Outcome.SUCCEEDED:
            self._retry_budgets.refill()
        request.is_response_pending = False
        for attempt in request.attempts:
            if attempt.is_open:
                self._recorder.record_abandoned(attempt, request, now)
        self._cancel_open_attempts(request)

    def _start_retry(self, request: Request, now: float) -> bool:
        """Start a retry or hedged attempt if its budget has a token; return whether it was started."""
        budget = self._retry_budgets.budget_for(request)
        if not budget.has_token() or request.is_streaming or not self._start_attempt(request, now):
            return False
        budget.spend()
        return True

    def _respond_with_failure(self, request: Request) -> None:
        request.is_response_pending = False
        self._actions.append(self._failure_responses.response_to(request))
        self._requests.remove_if_finished(request)

    def _cancel_open_attempts(self, request: Request) -> None:
        if self._may_cancel and not request.is_streaming:
            self._actions.extend(
                CancelAttempt(request.id, i) for i, attempt in enumerate(request.attempts) if attempt.is_open
            )

    def _handle_disconnect(self, request_id: int) -> None:
        if request := self._requests.get(request_id):
            request.is_response_pending = False
            self._cancel_open_attempts(request)
            self._requests.remove_if_finished(request)
