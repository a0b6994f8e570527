"""Records the start and the end of each attempt as evidence on endpoints, classes and connections."""

import math

from loadbalancer.events import Outcome
from loadbalancer.policy.available_capacity import AvailableCapacity
from loadbalancer.policy.endpoint_stats import EndpointStats
from loadbalancer.policy.idle_connections import IdleConnectionLimit
from loadbalancer.policy.overload import SustainableConcurrency
from loadbalancer.policy.request import Attempt, Request
from loadbalancer.policy.service_times import ServiceTimes

# Wait after which an unanswered attempt counts as lost in full, in expected service times of its request (the
# mean of its class times its expected work). Before that, an attempt counts in proportion to the wait, since
# a short wait is hardly evidence.
FULL_LOSS_SERVICE_TIMES = 2.0
# Outcomes after which the connection can be used again. This group and the two below are tuples: a look-up in
# a set would call `Enum.__hash__`, which is a Python function.
REUSABLE_CONNECTION_OUTCOMES = (Outcome.SUCCEEDED, Outcome.ERROR)
# Outcomes that show whether an idle connection was alive.
LIVENESS_EVIDENCE_OUTCOMES = (Outcome.SUCCEEDED, Outcome.TIMED_OUT, Outcome.RESET)
# Outcomes that are no evidence on the endpoint: the attempt was ended by this replica.
NO_EVIDENCE_OUTCOMES = (Outcome.CANCELLED, Outcome.NOT_SENT)


class AttemptRecorder:
    """Writes the evidence on endpoints, service times, sustainable concurrency and idle connections."""

    def __init__(
        self,
        service_times: ServiceTimes,
        sustainable_concurrency: SustainableConcurrency,
        idle_limit: IdleConnectionLimit,
        available: AvailableCapacity,
    ) -> None:
        self._service_times = service_times
        self._sustainable_concurrency = sustainable_concurrency
        self._idle_limit = idle_limit
        self._available = available
        self._in_flight = 0

    def start(
        self, endpoint: EndpointStats, idle_ms: float, timeout_ms: float, now: float, *, is_shedding: bool
    ) -> Attempt:
        """Record the start of an attempt and return it.

        An attempt counts toward the baseline service time if the replica has at most one attempt in flight
        per unit of its part of the available capacity, and sheds no load: during an overload service times
        are inflated, however little of the load comes from this replica.

        Args:
            endpoint: Where the attempt goes.
            idle_ms: How long its connection has been idle; 0 if new, in use or not known.
            timeout_ms: How long it may take.
            now: The current time.
            is_shedding: Whether load is being shed.
        """
        endpoint.catch_up(now)
        endpoint.in_flight += 1
        self._in_flight += 1
        has_capacity = self._in_flight <= max(
            self._available.weight / self._available.balancer_count.estimate, 1.0
        )
        is_baseline = has_capacity and not is_shedding
        return Attempt(endpoint, idle_ms, now, now + timeout_ms, is_baseline)

    def record_end(self, attempt: Attempt, outcome: Outcome, request: Request, now: float) -> None:
        """Record the end of an attempt.

        Guards against endpoints that fail quickly and so look fast: a failed attempt adds the rest of its
        timeout to the time that attempts spent at the endpoint, and no served work.
        """
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
        self._in_flight -= 1

    def record_abandoned(self, attempt: Attempt, request: Request, now: float) -> None:
        """Record that another attempt brought the response while this one was still unanswered."""
        self._idle_limit.record(attempt.idle_ms, is_unresponsive=True)
        self._record_loss(attempt, request, now)

    def _record_loss(self, attempt: Attempt, request: Request, now: float) -> None:
        """Count an unanswered attempt as lost, in proportion to how long the request waited for it.

        The amount is the wait over FULL_LOSS_SERVICE_TIMES expected service times, and at most 1.
        """
        class_name = request.request_class.name
        mean_ms = self._service_times.mean_ms(class_name)
        full_loss_ms = FULL_LOSS_SERVICE_TIMES * request.expected_work * mean_ms
        lost = min((now - attempt.sent_at) / full_loss_ms, 1.0)
        attempt.endpoint.record_outcome(class_name, served=0.0, lost=lost)

    def _record_success(self, attempt: Attempt, request: Request, now: float) -> None:
        class_name, expected_work = request.request_class.name, request.expected_work
        elapsed_ms, service_times = now - attempt.sent_at, self._service_times
        if attempt.is_baseline:
            service_times.record_baseline(class_name, elapsed_ms / expected_work)
        # May sum the available capacity, which brings the evidence of every endpoint up to date and reads its
        # outcomes. The attempt is added to the evidence after that.
        self._sustainable_concurrency.record_completion(
            expected_work * service_times.baseline_ms(class_name), now
        )
        service_times.record(class_name, elapsed_ms)
        attempt.endpoint.served_work += request.work
        attempt.endpoint.record_outcome(class_name, served=1.0, lost=0.0)
