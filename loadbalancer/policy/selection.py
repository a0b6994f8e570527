"""Selection of the endpoint for an attempt: a draw weighted by capacity, then least load."""

import math
from bisect import bisect
from itertools import accumulate
from random import Random

from loadbalancer.policy.capacity import CapacityEstimator
from loadbalancer.policy.endpoint_stats import EndpointStats
from loadbalancer.policy.idempotency import IdempotencyRules
from loadbalancer.policy.outlier_detection import without_outliers
from loadbalancer.policy.request import Request
from loadbalancer.policy.slow_start import SlowStart
from loadbalancer.settings import Settings

MAX_SAMPLES = 4  # the most endpoints drawn for an attempt, while each one drawn holds an attempt of ours


class EndpointSelector:
    """Selects endpoints among those that a request may be sent to."""

    def __init__(
        self,
        settings: Settings,
        idempotency: IdempotencyRules,
        slow_start: SlowStart,
        capacity: CapacityEstimator,
        random: Random,
    ) -> None:
        self._own_zone = settings.zone
        self._idempotency = idempotency
        self._slow_start = slow_start
        self._capacity = capacity
        self._random = random

    def select(self, request: Request, now: float) -> EndpointStats | None:
        """The endpoint for the next attempt of a request; None if none may take it."""
        median = self._capacity.current_median(now)
        eligible = self._idempotency.eligible(request, now)
        eligible = self._slow_start.with_capacity(eligible, not request.attempts, now)
        if request.attempts:
            attempted = [a.endpoint for a in request.attempts]
            eligible = [e for e in eligible if e not in attempted] or eligible
        if not eligible:
            return None
        eligible = without_outliers(eligible, request.request_class.name, now)
        return self._draw(eligible, self._capacity.estimates(eligible, median, now))

    def _draw(self, eligible: list[EndpointStats], capacities: list[float]) -> EndpointStats:
        """Draw by capacity, up to the first that holds no attempt of ours; take the least loaded."""
        local = list(accumulate(_weigh_by_zone(eligible, capacities, self._own_zone)))
        overall = list(accumulate(capacities))
        random = self._random.random
        best, selected = (math.inf, 0.0, 0.0), eligible[-1]
        for sample in range(MAX_SAMPLES):
            # Against overloading our zone: others may have endpoints that nobody calls.
            sums = overall if sample else local
            i = min(bisect(sums, random() * sums[-1]), len(eligible) - 1)
            endpoint, capacity = eligible[i], capacities[i]
            load = ((endpoint.in_flight + 1) / capacity, -capacity, random())
            if load < best:
                best, selected = load, endpoint
            # Without attempts of ours in view (1/c) would send all to the largest: the draw decides.
            if not endpoint.in_flight:
                break
        return selected


def _weigh_by_zone(endpoints: list[EndpointStats], capacities: list[float], own_zone: str) -> list[float]:
    """Weigh the draw so that requests stay in our zone, and spill to the zones with more than their part."""
    zones: dict[str, float] = {}
    for endpoint, capacity in zip(endpoints, capacities, strict=True):
        zone = endpoint.entry.zone
        zones[zone] = zones.get(zone, 0.0) + capacity
    if not own_zone or own_zone not in zones or len(zones) < 2:
        return capacities
    part = sum(zones.values()) / len(zones)
    excess = {zone: max(capacity - part, 0.0) for zone, capacity in zones.items()}
    total_excess = sum(excess.values())  # 0 where all are alike but for rounding
    spill = max(part - zones[own_zone], 0.0) / total_excess if total_excess else 0.0
    factors = {
        zone: (min(capacity, part) if zone == own_zone else spill * excess[zone]) / capacity
        for zone, capacity in zones.items()
    }
    return [factors[e.entry.zone] * capacity for e, capacity in zip(endpoints, capacities, strict=True)]
