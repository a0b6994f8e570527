"""Endpoints in the balancer's zone are preferred up to the capacity of the zone."""

from __future__ import annotations

from collections import Counter

from loadbalancer.endpoints import Endpoint
from tests.policy.helpers import PAY, PolicyHarness, first_endpoint


def count_by_zone(weights: dict[str, float]) -> Counter[str]:
    """Send the first request of each of 600 new balancers in zone `a`; count the requests by endpoint zone.

    Each zone in `weights` has one endpoint of the given weight.
    """
    counts: Counter[str] = Counter()
    for seed in range(600):
        harness = PolicyHarness(0, seed=seed, zone="a")
        harness.update_endpoints(
            *(Endpoint(zone, zone=zone, weight=weight) for zone, weight in weights.items())
        )
        counts[first_endpoint(harness.request()[1])] += 1
    return counts


def test_zone_with_sufficient_capacity_serves_its_requests() -> None:
    assert count_by_zone({"a": 1.0, "b": 1.0, "c": 0.5}) == {"a": 600}
    assert count_by_zone({"a": 0.3, "b": 0.3, "c": 0.3}) == {"a": 600}
    rounded_weight = 0.1 + 0.2  # the weights and their mean differ only by rounding
    assert count_by_zone({"a": rounded_weight, "b": 0.3, "c": rounded_weight}).keys() <= {"a", "b", "c"}


def test_small_zone_spills_over_to_larger_zones() -> None:
    counts = count_by_zone({"a": 1.0, "b": 3.0, "c": 2.0})
    assert 240 < counts["a"] < 360, "the capacity of zone a, 1, is half of the mean, 2"
    assert counts["c"] == 0
    assert counts["b"] == 600 - counts["a"]


def test_load_limits_zone_preference() -> None:
    """If load were ignored, one zone could get two or three times the requests of another.

    The endpoints of that zone would then remain slow.
    """
    in_own_zone = []
    for endpoints in (1, 3):
        in_own_zone.append(0)
        for seed in range(30):
            harness = PolicyHarness(0, seed=seed, zone="a", may_hedge=False)
            harness.update_endpoints(
                *(Endpoint(f"{zone}{i}", zone=zone) for zone in "abcd" for i in range(endpoints))
            )
            in_own_zone[-1] += sum(
                first_endpoint(harness.request(PAY)[1])[0] == "a" for _ in range(2 * endpoints)
            )
    assert in_own_zone[0] <= 45  # all 30 first requests, and at most half of the 30 others
    assert 30 * 2 <= in_own_zone[1] <= 30 * 6 * 0.7  # only the first sample prefers the zone


def test_loaded_zone_spills_over_to_other_zones() -> None:
    """If both balancers sent nearly all requests to their own zone, two of the four zones would be idle."""
    # Only the first tier sheds load, so with tier=1 a new balancer admits all 16 requests.
    harness = PolicyHarness(0, zone="a", balancers=2, may_hedge=False, tier=1)
    harness.update_endpoints(*(Endpoint(zone, zone=zone) for zone in "abcd"))
    counts = Counter(first_endpoint(harness.request(PAY)[1]) for _ in range(16))
    assert counts.keys() == {"a", "b", "c", "d"}
    assert max(counts.values()) == counts["a"] < 12


def test_zone_without_endpoints_uses_all_other_zones() -> None:
    assert count_by_zone({"b": 1.0, "c": 1.0}).keys() == {"b", "c"}
