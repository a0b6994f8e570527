"""What is learned of an endpoint's capacity, and from what."""

from __future__ import annotations

from collections import Counter

import pytest

from loadbalancer.events import Outcome
from tests.policy.helpers import PAY, PolicyHarness, first_endpoint, serve_many, started_attempts


def test_one_slow_response_does_not_ruin_a_capacity_estimate() -> None:
    harness = PolicyHarness(2)
    serve_many(harness, {"s0": 20.0, "s1": 20.0}, 100)
    request, actions = harness.request()
    slow = first_endpoint(actions)
    harness.now += 200
    harness.finish(request, 0, slow, Outcome.SUCCEEDED)
    counts = Counter(harness.serve(duration_ms=20.0) for _ in range(400))
    assert counts[slow] > 10


def test_an_unresponsive_endpoint_loses_capacity_before_its_first_timeout() -> None:
    harness = PolicyHarness(2)
    serve_many(harness, {"s0": 20.0, "s1": 20.0}, 100)
    first = first_endpoint(harness.request()[1])
    harness.now += 500
    counts = Counter(harness.serve(duration_ms=20.0) for _ in range(20))
    assert counts[first] <= 2


def test_a_failed_attempt_counts_its_full_timeout_as_busy_time() -> None:
    """A fast failure must not look like a fast response, nor like a request in flight."""
    harness = PolicyHarness(1)
    _, actions = harness.request(PAY)
    harness.now += 5
    harness.finish(1, 0, "s0", Outcome.ERROR)
    endpoint = harness.balancer._endpoints.by_name["s0"]
    assert endpoint.in_flight == 0
    assert endpoint.busy_ms == pytest.approx(started_attempts(actions)[0].timeout_ms, rel=0.01)
    assert endpoint.served == 0


def test_large_requests_by_their_cost_hint_do_not_make_an_endpoint_look_slow() -> None:
    """Heavy-tailed work that counted as one request each made capacity estimates fluctuate."""
    harness = PolicyHarness(1)
    for hint in (20.0, 20.0, 20.0, 200.0) * 50:
        request, actions = harness.request(PAY, cost_hint_ms=hint)
        harness.now += hint * 2
        harness.finish(request, 0, first_endpoint(actions), Outcome.SUCCEEDED)
    endpoint = harness.balancer._endpoints.by_name["s0"]
    mean = (20 * 3 + 200) / 4
    endpoint.catch_up(harness.now)
    assert endpoint.served / endpoint.busy_ms == pytest.approx(1 / (2 * mean), rel=0.25)


def test_evidence_on_an_endpoint_lasts_until_its_next_request_at_a_low_rate() -> None:
    """With evidence that faded in 6 s one balancer of hundreds drew slow endpoints as often as fast ones."""
    harness = PolicyHarness(12)
    slow = "s3"
    counts: Counter[str] = Counter()
    for _ in range(150):
        harness.now += 1_500.0
        counts[
            harness.serve(duration_ms={f"s{i}": 1_500.0 if f"s{i}" == slow else 100.0 for i in range(12)})
        ] += 1
    assert 0 < counts[slow] <= 6, "a twelfth are 12 of 150"
