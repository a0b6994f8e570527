"""Records attempts in the evidence: when they start, how they end, and what they leave open."""

import math

from loadbalancer.events import Outcome
from loadbalancer.policy.available_capacity import AvailableCapacity
from loadbalancer.policy.endpoint_stats import EndpointStats
from loadbalancer.policy.idle_connections import IdleConnectionLimit
from loadbalancer.policy.overload import SustainableConcurrency
from loadbalancer.policy.request import Attempt, Request
from loadbalancer.policy.service_times import ServiceTimes

FULL_LOSS_SERVICE_TIMES = 2.0  # an attempt waited for over so many mean service times counts as lost in full
REUSABLE_CONNECTION_OUTCOMES = frozenset({Outcome.SUCCEEDED, Outcome.ERROR})  # it can be used again
# The outcomes that tell of an idle connection whether it was alive.
LIVENESS_EVIDENCE_OUTCOMES = frozenset({Outcome.SUCCEEDED, Outcome.TIMED_OUT, Outcome.RESET})
NO_EVIDENCE_OUTCOMES = frozenset({Outcome.CANCELLED, Outcome.NOT_SENT})  # they tell nothing of the endpoint


class AttemptRecorder:
    """Writes the evidence on endpoints, service times, sustainable and idle connections."""

    def __init__(
        self,
        service_times: ServiceTimes,
        sustainable: SustainableConcurrency,
        idle_limit: IdleConnectionLimit,
        available: AvailableCapacity,
    ) -> None:
        self._service_times = service_times
        self._sustainable = sustainable
        self._idle_limit = idle_limit
        self._available = available
        self._open_attempts = 0

    def start(
        self, endpoint: EndpointStats, idle_ms: float, timeout_ms: float, is_shedding: bool, now: float
    ) -> Attempt:
        """Start an attempt on a connection that was idle for so long.

        While we shed load it is no baseline: however little of the overload is ours, it takes longer.
        """
        endpoint.catch_up(now)
        endpoint.in_flight += 1
        self._open_attempts += 1
        has_room = self._open_attempts <= max(self._available.weight / self._available.peers.count, 1.0)
        is_baseline = has_room and not is_shedding
        return Attempt(endpoint, idle_ms, now, now + timeout_ms, is_baseline)

    def record_end(self, attempt: Attempt, outcome: Outcome, request: Request, now: float) -> None:
        """Count a served attempt; count a failed one with its full timeout: it must not look quick."""
        endpoint, class_name = attempt.endpoint, request.request_class.name
        endpoint.catch_up(now)
        endpoint.last_used_at = now if outcome in REUSABLE_CONNECTION_OUTCOMES else math.inf
        if outcome in LIVENESS_EVIDENCE_OUTCOMES:
            self._idle_limit.record(attempt.idle_ms, is_unresponsive=outcome is not Outcome.SUCCEEDED)
        if outcome is Outcome.CONNECT_FAILED:
            endpoint.record_connect_failure()
        elif outcome not in NO_EVIDENCE_OUTCOMES and outcome is not Outcome.TIMED_OUT:
            endpoint.connect_failures = 0.0
        if outcome is Outcome.SUCCEEDED:
            self._record_success(attempt, request, now)
        elif outcome not in NO_EVIDENCE_OUTCOMES:
            endpoint.busy_ms += max(attempt.ends_at - now, 0.0)
            if outcome is Outcome.TIMED_OUT:
                self._record_loss(attempt, request, now)
            else:
                endpoint.record_outcome(class_name, served=0.0, lost=1.0)
        endpoint.in_flight -= 1
        self._open_attempts -= 1

    def record_abandoned(self, attempt: Attempt, request: Request, now: float) -> None:
        """Count an attempt that is open still while another one brought the response."""
        self._idle_limit.record(attempt.idle_ms, is_unresponsive=True)
        self._record_loss(attempt, request, now)

    def _record_loss(self, attempt: Attempt, request: Request, now: float) -> None:
        """Count an attempt that was waited for in vain; one with hardly any time tells little."""
        class_name = request.request_class.name
        patience = FULL_LOSS_SERVICE_TIMES * request.expected_work * self._service_times.mean_ms(class_name)
        lost = min((now - attempt.sent_at) / patience, 1.0)
        attempt.endpoint.record_outcome(class_name, served=0.0, lost=lost)

    def _record_success(self, attempt: Attempt, request: Request, now: float) -> None:
        class_name, expected_work = request.request_class.name, request.expected_work
        elapsed, service_times = now - attempt.sent_at, self._service_times
        if attempt.is_baseline:
            service_times.record_baseline(class_name, elapsed / expected_work)
        # Brings all endpoints up to date: it comes before this attempt counts as served there.
        self._sustainable.record(expected_work * service_times.baseline_ms(class_name), now)
        service_times.record(class_name, elapsed)
        attempt.endpoint.served += request.work
        attempt.endpoint.record_outcome(class_name, served=1.0, lost=0.0)
