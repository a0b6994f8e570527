"""Failing endpoints are ejected, and later receive requests again."""

from __future__ import annotations

from collections import Counter

from loadbalancer.events import ClientDisconnected, Outcome
from tests.policy.helpers import PAY, PolicyHarness, count_by_endpoint, first_endpoint, started_attempts


def count_while_s0_fails(harness: PolicyHarness, requests: int) -> Counter[str]:
    """Send requests while s0 fails quickly and the other endpoints succeed; count them by endpoint."""
    counts: Counter[str] = Counter()
    for _ in range(requests):
        request, actions = harness.request(PAY)
        endpoint = first_endpoint(actions)
        counts[endpoint] += 1
        harness.now += 5
        harness.finish(request, 0, endpoint, Outcome.ERROR if endpoint == "s0" else Outcome.SUCCEEDED)
    return counts


def test_fast_failing_endpoint_is_avoided() -> None:
    assert count_while_s0_fails(PolicyHarness(2, tier=1), 60)["s0"] < 10


def test_recovered_endpoint_is_selected_again() -> None:
    harness = PolicyHarness(2, tier=1)  # inner tiers shed no load
    count_while_s0_fails(harness, 30)
    counts = Counter(harness.serve(duration_ms=20.0) for _ in range(1_500))
    assert counts["s0"] > 10


def test_unreachable_endpoints_are_ejected_despite_past_successes() -> None:
    """If past successes outweighed failed connects, endpoints of a lost zone would still get requests."""
    harness = PolicyHarness(5, seed=3)
    for _ in range(200):
        harness.serve(duration_ms=20.0)
    counts: Counter[str] = Counter()
    for _ in range(200):
        request, actions = harness.request(PAY)
        endpoint = first_endpoint(actions)
        counts[endpoint] += 1
        harness.now += 5
        is_unreachable = endpoint in ("s0", "s1", "s2")
        actions = harness.finish(
            request, 0, endpoint, Outcome.CONNECT_FAILED if is_unreachable else Outcome.SUCCEEDED
        )
        for attempt in started_attempts(actions):
            harness.handle(ClientDisconnected(request))
            harness.finish(request, 1, attempt.endpoint, Outcome.CANCELLED)
    assert counts["s0"] + counts["s1"] + counts["s2"] <= 8, (
        "unreachable endpoints are ejected even if they are the majority"
    )
    harness.now += 20_000
    assert "s0" in count_by_endpoint(harness, 50), (
        "s0 receives requests again after the statistics have decayed"
    )
