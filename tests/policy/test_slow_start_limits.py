"""Slow-start limits on the requests that one balancer sends to warming endpoints."""

from __future__ import annotations

from collections import Counter

from loadbalancer.endpoints import Endpoint
from loadbalancer.events import EndpointListKind
from tests.policy.helpers import PolicyHarness, serve_many, started_attempts


def test_warming_endpoint_gets_few_requests() -> None:
    harness = PolicyHarness(4)
    serve_many(harness, dict.fromkeys(("s0", "s1", "s2", "s3"), 10.0))
    harness.update_endpoints(Endpoint("s0", started_at_ms=harness.now), kind=EndpointListKind.DELTA)
    counts = Counter(s.endpoint for _ in range(16) for s in started_attempts(harness.request()[1]))
    assert counts["s0"] <= 2 < min(counts["s1"], counts["s2"], counts["s3"])


def test_limits_hold_without_warm_endpoints() -> None:
    harness = PolicyHarness(2)
    harness.update_endpoints(*(Endpoint(f"s{i}", started_at_ms=harness.now) for i in range(2)))
    counts = Counter(s.endpoint for _ in range(50) for s in started_attempts(harness.request()[1]))
    assert set(counts.values()) == {1}
