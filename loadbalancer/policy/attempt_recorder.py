"""Updates the statistics on endpoints, classes and connections at the start and the end of each attempt."""

import math

from loadbalancer.events import Outcome
from loadbalancer.policy.available_capacity import AvailableCapacity
from loadbalancer.policy.endpoint_stats import EndpointStats
from loadbalancer.policy.idle_connections import IdleConnectionLimit
from loadbalancer.policy.overload import SustainableConcurrency
from loadbalancer.policy.request import Attempt, Request
from loadbalancer.policy.service_times import ServiceTimes

FULL_FAILURE_SERVICE_TIMES = 2.0
"""Time without a response, in expected service times, after which an attempt counts as one full failure.

The expected service time of a request is the mean service time of its class times the request's expected
work. An attempt that ends earlier without a response counts as a fraction of a failure, in proportion to its
duration: a healthy endpoint may not have responded by then either.
"""
REUSABLE_CONNECTION_OUTCOMES = (Outcome.SUCCEEDED, Outcome.ERROR)
"""Outcomes after which the connection can be reused.

This constant and the two below are tuples: a lookup in a set would call `Enum.__hash__`, which is slow
because it is implemented in Python.
"""
LIVENESS_OUTCOMES = (Outcome.SUCCEEDED, Outcome.TIMED_OUT, Outcome.RESET)
"""Outcomes that show whether an idle connection was still alive when it was used."""
INCONCLUSIVE_OUTCOMES = (Outcome.CANCELLED, Outcome.NOT_SENT)
"""Outcomes that do not show whether the endpoint is healthy, since this balancer ended the attempt."""


class AttemptRecorder:
    """Updates statistics from the outcomes of attempts.

    These are the statistics of the endpoints, the mean service times, the estimate of the sustainable
    concurrency and the learned idle limit of connections.
    """

    def __init__(
        self,
        service_times: ServiceTimes,
        sustainable_concurrency: SustainableConcurrency,
        idle_limit: IdleConnectionLimit,
        available_capacity: AvailableCapacity,
    ) -> None:
        self._service_times = service_times
        self._sustainable_concurrency = sustainable_concurrency
        self._idle_limit = idle_limit
        self._available_capacity = available_capacity
        self._in_flight = 0

    def start(
        self, endpoint: EndpointStats, idle_ms: float, timeout_ms: float, now: float, *, is_shedding: bool
    ) -> Attempt:
        """Record the start of an attempt and return it.

        An attempt counts toward the baseline service time if the balancer has at most one attempt in flight
        per unit of its share of the available capacity, and is not shedding load. The second condition is
        needed because service times are inflated during an overload, even if little of the load comes from
        this balancer.

        Args:
            endpoint: The endpoint that the attempt is sent to.
            idle_ms: How long the connection of the attempt has been idle; 0 if the connection is new, in use
                or unknown.
            timeout_ms: The time until the attempt times out.
            now: The current time.
            is_shedding: Whether the balancer is shedding load.
        """
        endpoint.advance_to(now)
        endpoint.in_flight += 1
        self._in_flight += 1
        has_capacity = self._in_flight <= max(
            self._available_capacity.weight / self._available_capacity.balancer_count.estimate, 1.0
        )
        is_baseline = has_capacity and not is_shedding
        return Attempt(endpoint, idle_ms, now, now + timeout_ms, is_baseline)

    def record_end(self, attempt: Attempt, outcome: Outcome, request: Request, now: float) -> None:
        """Record the end of an attempt.

        A failed attempt adds its full timeout to the busy time of the endpoint, and no served work. If only
        its duration were added, an endpoint that fails quickly would appear to be fast.
        """
        endpoint, class_name = attempt.endpoint, request.request_class.name
        endpoint.advance_to(now)
        endpoint.last_used_at = now if outcome in REUSABLE_CONNECTION_OUTCOMES else math.inf
        if outcome in LIVENESS_OUTCOMES:
            self._idle_limit.record(attempt.idle_ms, is_unresponsive=outcome is not Outcome.SUCCEEDED)
        if outcome is Outcome.CONNECT_FAILED:
            endpoint.record_connect_failure()
        elif outcome not in INCONCLUSIVE_OUTCOMES and outcome is not Outcome.TIMED_OUT:
            endpoint.connect_failures = 0.0
        if outcome is Outcome.SUCCEEDED:
            self._record_success(attempt, request, now)
        elif outcome not in INCONCLUSIVE_OUTCOMES:
            endpoint.busy_ms += max(attempt.times_out_at - now, 0.0)
            if outcome is Outcome.TIMED_OUT:
                self._record_missing_response(attempt, request, now)
            else:
                endpoint.record_outcome(class_name, succeeded=0.0, failed=1.0)
        endpoint.in_flight -= 1
        self._in_flight -= 1

    def record_abandoned(self, attempt: Attempt, request: Request, now: float) -> None:
        """Record that the request has finished before this attempt got a response."""
        self._idle_limit.record(attempt.idle_ms, is_unresponsive=True)
        self._record_missing_response(attempt, request, now)

    def _record_missing_response(self, attempt: Attempt, request: Request, now: float) -> None:
        """Count an attempt without a response as a failure, or as a fraction of one.

        The fraction is the attempt's duration divided by FULL_FAILURE_SERVICE_TIMES expected service times,
        and at most 1.
        """
        class_name = request.request_class.name
        mean_ms = self._service_times.mean_ms(class_name)
        full_failure_ms = FULL_FAILURE_SERVICE_TIMES * request.expected_work * mean_ms
        failed = min((now - attempt.started_at) / full_failure_ms, 1.0)
        attempt.endpoint.record_outcome(class_name, succeeded=0.0, failed=failed)

    def _record_success(self, attempt: Attempt, request: Request, now: float) -> None:
        class_name, expected_work = request.request_class.name, request.expected_work
        elapsed_ms, service_times = now - attempt.started_at, self._service_times
        if attempt.is_baseline:
            service_times.record_baseline(class_name, elapsed_ms / expected_work)
        # This call may recompute the available capacity, which advances and reads the statistics of every
        # endpoint. Therefore the attempt is added to the statistics only afterwards.
        self._sustainable_concurrency.record_completion(
            expected_work * service_times.baseline_ms(class_name), now
        )
        service_times.record(class_name, elapsed_ms)
        attempt.endpoint.served_work += request.work
        attempt.endpoint.record_outcome(class_name, succeeded=1.0, failed=0.0)
