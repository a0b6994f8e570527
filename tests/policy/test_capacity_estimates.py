"""Capacity estimates of endpoints, and the statistics that they are based on."""

from __future__ import annotations

from collections import Counter
from random import Random
from typing import TYPE_CHECKING

import pytest

from loadbalancer.events import EndpointListKind, EndpointListUpdate, Outcome
from loadbalancer.policy.arrivals import ArrivalRate
from loadbalancer.policy.attempt_recorder import AttemptRecorder
from loadbalancer.policy.available_capacity import AvailableCapacity
from loadbalancer.policy.balancer_count import BalancerCountEstimator
from loadbalancer.policy.endpoint_set import EndpointSet
from loadbalancer.policy.idle_connections import IdleConnectionLimit
from loadbalancer.policy.overload import SustainableConcurrency
from loadbalancer.policy.request import Request
from loadbalancer.policy.service_times import CostHints, ServiceTimes
from tests.policy.helpers import (
    PAY,
    PolicyHarness,
    endpoint_list,
    first_endpoint,
    make_settings,
    serve_many,
    started_attempts,
)

if TYPE_CHECKING:
    from loadbalancer.policy.endpoint_stats import EndpointStats

START_MS = 1_000.0
# The latency objective of PAY, whose late responses have no value.
TIMEOUT_MS = 1_000.0


def test_one_slow_response_hardly_changes_estimate() -> None:
    harness = PolicyHarness(2)
    serve_many(harness, {"s0": 20.0, "s1": 20.0}, 100)
    request, actions = harness.request()
    slow = first_endpoint(actions)
    harness.now += 200
    harness.finish(request, 0, slow, Outcome.SUCCEEDED)
    counts = Counter(harness.serve(duration_ms=20.0) for _ in range(400))
    assert counts[slow] > 10


def test_unresponsive_endpoint_loses_capacity_before_timeout() -> None:
    harness = PolicyHarness(2)
    serve_many(harness, {"s0": 20.0, "s1": 20.0}, 100)
    first = first_endpoint(harness.request()[1])
    harness.now += 500
    counts = Counter(harness.serve(duration_ms=20.0) for _ in range(20))
    assert counts[first] <= 2


def make_recorder_and_endpoint() -> tuple[AttemptRecorder, EndpointStats]:
    """Return an attempt recorder for a list of one endpoint, and the statistics of that endpoint."""
    settings = make_settings()
    endpoints = EndpointSet(settings, Random(1))
    endpoints.update(EndpointListUpdate(EndpointListKind.SNAPSHOT, endpoint_list(1)), START_MS)
    available_capacity = AvailableCapacity(endpoints, BalancerCountEstimator(settings, ArrivalRate(settings)))
    recorder = AttemptRecorder(
        ServiceTimes(settings),
        SustainableConcurrency(available_capacity),
        IdleConnectionLimit(),
        available_capacity,
    )
    return recorder, endpoints.by_name["s0"]


def test_failed_attempt_adds_timeout_to_busy_time() -> None:
    """A fast failure must not count as a fast response or as an attempt in flight."""
    recorder, endpoint = make_recorder_and_endpoint()
    attempt = recorder.start(endpoint, 0.0, TIMEOUT_MS, START_MS, is_shedding=False)
    assert endpoint.in_flight == 1
    recorder.record_end(attempt, Outcome.ERROR, Request(1, PAY, START_MS + TIMEOUT_MS), START_MS + 5)
    assert endpoint.in_flight == 0
    assert endpoint.busy_ms == pytest.approx(TIMEOUT_MS, rel=0.01)
    assert endpoint.served_work == 0


def test_fast_failing_endpoint_gets_fewer_requests() -> None:
    """If fast failures counted as fast responses, the failing endpoint would get half of the requests."""
    harness = PolicyHarness(2)
    serve_many(harness, {"s0": 20.0, "s1": 20.0}, 20)
    request, actions = harness.request(PAY)
    failed = first_endpoint(actions)
    assert started_attempts(actions)[0].timeout_ms == TIMEOUT_MS
    harness.now += 5
    harness.finish(request, 0, failed, Outcome.ERROR)
    counts = Counter(harness.serve(duration_ms=1.0) for _ in range(40))
    assert counts[failed] <= 10, "the failed endpoint has 1,200 of 1,400 ms of busy time"


def test_capacity_accounts_for_cost_hints() -> None:
    """If every request counted as equal work, estimates would fluctuate with heavy-tailed work."""
    recorder, endpoint = make_recorder_and_endpoint()
    cost_hints, now = CostHints(), START_MS
    for request_id, hint_ms in enumerate((20.0, 20.0, 20.0, 200.0) * 50):
        request = Request(request_id, PAY, now + TIMEOUT_MS, cost_hints.relative_work(hint_ms))
        attempt = recorder.start(endpoint, 0.0, TIMEOUT_MS, now, is_shedding=False)
        now += hint_ms * 2
        recorder.record_end(attempt, Outcome.SUCCEEDED, request, now)
    mean_ms = (20 * 3 + 200) / 4
    endpoint.advance_to(now)
    assert endpoint.served_work / endpoint.busy_ms == pytest.approx(1 / (2 * mean_ms), rel=0.25)


def test_time_constant_grows_at_low_request_rate() -> None:
    """With a fixed time constant of 6 s, the statistics would decay to nearly 0 between two requests.

    Each of hundreds of balancers would then select slow endpoints as often as fast ones.
    """
    harness = PolicyHarness(12)
    slow = "s3"
    counts: Counter[str] = Counter()
    for _ in range(150):
        harness.now += 1_500.0
        counts[
            harness.serve(duration_ms={f"s{i}": 1_500.0 if f"s{i}" == slow else 100.0 for i in range(12)})
        ] += 1
    assert 0 < counts[slow] <= 6, "an even distribution would send 12 of 150 requests to s3"
