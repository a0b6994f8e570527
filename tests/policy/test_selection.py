"""Endpoint selection by capacity, load, weight and subset."""

from __future__ import annotations

from collections import Counter
from random import Random
from typing import TYPE_CHECKING

import pytest

from loadbalancer.actions import StartAttempt
from loadbalancer.endpoints import Endpoint
from loadbalancer.events import EndpointListKind, EndpointListUpdate
from loadbalancer.policy.arrivals import ArrivalRate
from loadbalancer.policy.balancer_count import BalancerCountEstimator
from loadbalancer.policy.capacity import CapacityEstimator
from loadbalancer.policy.endpoint_set import EndpointSet
from loadbalancer.policy.idempotency import IdempotencyRules
from loadbalancer.policy.request import Request
from loadbalancer.policy.selection import EndpointSelector
from loadbalancer.policy.slow_start import SlowStart
from tests.policy.helpers import (
    READ,
    PolicyHarness,
    count_by_endpoint,
    endpoint_list,
    first_endpoint,
    make_settings,
    serve_many,
)

if TYPE_CHECKING:
    from loadbalancer.policy.endpoint_stats import EndpointStats
    from loadbalancer.settings import Settings


def test_requests_spread_over_equal_endpoints() -> None:
    counts = count_by_endpoint(PolicyHarness(4), 2_000)
    assert len(counts) == 4
    assert min(counts.values()) > 100


def test_requests_are_distributed_by_learned_capacity() -> None:
    harness = PolicyHarness(2)
    serve_many(harness, {"s0": 10.0, "s1": 30.0})
    counts = Counter(harness.serve(duration_ms=10.0) for _ in range(200))
    assert counts["s0"] > 1.7 * counts["s1"], "the ratio starts at 3 to 1 and approaches 1 to 1"


def test_busy_endpoints_are_avoided() -> None:
    harness = PolicyHarness(2)
    counts = Counter(first_endpoint(harness.request()[1]) for _ in range(8))
    assert abs(counts["s0"] - counts["s1"]) <= 4


def test_new_endpoint_starts_at_median_capacity() -> None:
    harness = PolicyHarness(3)
    serve_many(harness, {"s0": 10.0, "s1": 20.0, "s2": 60.0})
    harness.update_endpoints(*endpoint_list(3), Endpoint("new"))
    counts = Counter(first_endpoint(harness.request()[1]) for _ in range(9))
    assert counts["s0"] >= counts["new"] > counts["s2"]


def test_unused_endpoints_are_sampled_by_weight() -> None:
    """If four endpoints were always sampled, the largest of them would be selected too often.

    One of many balancers rarely has an attempt in flight at any of the four. The load of each is then
    1 / capacity, which is lowest at the largest.
    """
    counts: Counter[str] = Counter()
    for seed in range(1_000):
        harness = PolicyHarness(0, seed=seed)
        harness.update_endpoints(
            Endpoint("s0", weight=4.0), *(Endpoint(f"s{i}", weight=1.0) for i in range(1, 7))
        )
        counts[first_endpoint(harness.request()[1])] += 1
    assert 330 < counts["s0"] < 470, "s0 has 4 of 10 units of weight"
    assert min(counts.values()) > 60


@pytest.mark.parametrize("weight", [0.0, -1.0, float("inf"), float("nan")])
def test_invalid_weights_are_tolerated(weight: float) -> None:
    harness = PolicyHarness(0)
    harness.update_endpoints(Endpoint("s0", weight=weight), Endpoint("s1"))
    assert {harness.serve() for _ in range(60)} == {"s0", "s1"}


def test_subset_is_stable() -> None:
    """Without a subset, each endpoint gets too few requests to learn its capacity or reuse connections."""
    subsets = []
    for seed in range(40):
        harness = PolicyHarness(60, seed=seed, balancers=300)
        subsets.append({harness.serve() for _ in range(300)})
        harness.update_endpoints(Endpoint("s60"), kind=EndpointListKind.DELTA)
        assert len({harness.serve() for _ in range(100)} - subsets[-1]) <= 1, (
            "a new entry replaces at most one endpoint of the subset"
        )
    assert {len(subset) for subset in subsets} == {12}
    assert len(set[str]().union(*subsets)) > 55, "different balancers have different subsets"
    harness = PolicyHarness(20, balancers=10)
    assert len({harness.serve() for _ in range(400)}) == 20, "with few balancers, each uses all endpoints"


def test_actions_depend_only_on_events_and_seed() -> None:
    def run(seed: int) -> list[object]:
        harness = PolicyHarness(6, seed=seed)
        for i in range(200):
            harness.serve(duration_ms=5.0 + i % 7)
        return [a for a in harness.actions if isinstance(a, StartAttempt)]

    assert run(3) == run(3) != run(4)


class FixedCapacities(CapacityEstimator):
    """A capacity estimator that returns fixed capacities."""

    def __init__(self, endpoints: EndpointSet, arrivals: ArrivalRate, capacities: dict[str, float]) -> None:
        super().__init__(endpoints, arrivals)
        self._capacities = capacities

    def estimates(self, endpoints: list[EndpointStats], median: float, now: float) -> list[float]:
        return [self._capacities[endpoint.entry.name] for endpoint in endpoints]


def make_selector(
    settings: Settings, endpoints: EndpointSet, capacities: dict[str, float]
) -> EndpointSelector:
    """Return a selector for endpoints with given capacities."""
    arrivals = ArrivalRate(settings)
    estimator = FixedCapacities(endpoints, arrivals, capacities)
    slow_start = SlowStart(
        settings, endpoints, arrivals, BalancerCountEstimator(settings, arrivals), estimator
    )
    idempotency = IdempotencyRules(settings, endpoints)
    return EndpointSelector(settings, idempotency, slow_start, estimator, Random(1))


def test_tie_goes_to_larger_capacity() -> None:
    now, settings = 1_000.0, make_settings()
    endpoints = EndpointSet(settings, Random(1))
    endpoints.update(EndpointListUpdate(EndpointListKind.SNAPSHOT, endpoint_list(2)), now)
    selector = make_selector(settings, endpoints, {"s0": 2.0, "s1": 1.0})
    # The loads are equal: (3 + 1) / 2 = (1 + 1) / 1.
    endpoints.by_name["s0"].in_flight = 3
    endpoints.by_name["s1"].in_flight = 1
    request = Request(1, READ, expires_at=now + 1_000)
    selected = [selector.select(request, now) for _ in range(2_000)]
    counts = Counter(endpoint.entry.name for endpoint in selected if endpoint)
    assert counts["s0"] > 1_900, (
        "s1 is selected only if none of the four samples is s0, once in 81 selections"
    )
    assert counts["s1"] > 5
