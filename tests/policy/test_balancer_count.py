"""The balancer count is estimated from the remaining endpoints and the arrival rate of requests."""

from __future__ import annotations

import pytest

from loadbalancer.settings import Tenant
from tests.policy.helpers import PolicyHarness, endpoint_list, send_until_shed


def serve_at_interval(harness: PolicyHarness, interval_ms: float, seconds: int) -> None:
    for _ in range(int(seconds * 1_000 / interval_ms)):
        harness.serve(duration_ms=5.0)
        harness.now += interval_ms - 5.0


@pytest.mark.parametrize(
    ("remaining", "interval_ms", "count_falls"),
    [(5, 10.0, True), (10, 10.0, False), (5, 40.0, False), (10, 40.0, False)],
)
def test_balancer_count_after_zone_loss(remaining: int, interval_ms: float, *, count_falls: bool) -> None:
    """If the count were fixed, three remaining balancers of seven would use 3/7 of the remaining capacity."""
    harness = PolicyHarness(10, balancers=4)
    serve_at_interval(harness, 40.0, 10)
    harness.update_endpoints(*endpoint_list(10)[:remaining])
    serve_at_interval(harness, interval_ms, 3)
    admitted_per_endpoint = len(send_until_shed(harness)) / remaining
    assert (admitted_per_endpoint > 4) if count_falls else (admitted_per_endpoint < 3), (
        "the limit is 8 for each endpoint, over all balancers"
    )


def test_lower_balancer_count_raises_quotas() -> None:
    harness = PolicyHarness(10, balancers=4, tenants=(Tenant("small", 30.0),), over_quota_weight=0.0)
    serve_at_interval(harness, 40.0, 10)
    harness.update_endpoints(*endpoint_list(10)[:5])
    serve_at_interval(harness, 10.0, 3)
    assert len(send_until_shed(harness, tenant="small")) > 20, (
        "a quarter of the quota allows only 15 requests"
    )
