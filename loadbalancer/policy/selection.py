"""Endpoint selection: samples a few endpoints by capacity and selects the one with the lowest load."""

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

MAX_SAMPLED_ENDPOINTS = 4
"""Maximum number of endpoints sampled for an attempt.

The published algorithm samples two endpoints. Sampling more adds little cost, since sampling continues only
while every endpoint sampled so far has an attempt of this balancer in flight.
"""


class EndpointSelector:
    """Selects the endpoint for an attempt among the eligible endpoints.

    This is Algorithm 1 of Berenbrink et al., "Balls into non-uniform bins": it samples endpoints with
    probability proportional to capacity and selects the sampled endpoint with the lowest load. The load is
    (attempts in flight + 1) / capacity, which includes the attempt to be started. Of endpoints with equal
    load, the one with the larger capacity is selected.
    """

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
        """Return the endpoint for the next attempt of a request; None if no endpoint is eligible.

        The eligible endpoints are those that the idempotency rules and slow start allow, except the outliers
        for the class. Endpoints that the request has already been sent to are eligible only if no others are.
        """
        median = self._capacity.current_median(now)
        eligible = self._idempotency.eligible(request, now)
        eligible = self._slow_start.within_limits(eligible, now, is_first_attempt=not request.attempts)
        if request.attempts:
            attempted = [a.endpoint for a in request.attempts]
            eligible = [e for e in eligible if e not in attempted] or eligible
        if not eligible:
            return None
        eligible = without_outliers(eligible, request.request_class.name, now)
        return self._sample_by_capacity(eligible, self._capacity.estimates(eligible, median, now))

    def _sample_by_capacity(self, eligible: list[EndpointStats], capacities: list[float]) -> EndpointStats:
        """Sample endpoints by capacity and return the one with the lowest load.

        Only the first sample prefers the balancer's own zone. If all samples did, endpoints of that zone
        could be overloaded while endpoints of other zones are idle.

        Sampling stops at the first endpoint without an attempt of this balancer in flight. The load of such
        an endpoint is 1 / capacity, so if sampling continued, the endpoint with the largest capacity would be
        preferred, and many balancers with few requests each would overload it. Because sampling stops, they
        select endpoints without attempts in proportion to capacity.
        """
        zone_sums = list(accumulate(_zone_adjusted_weights(eligible, capacities, self._own_zone)))
        capacity_sums = list(accumulate(capacities))
        random = self._random.random
        lowest_key, selected = (math.inf, 0.0, 0.0), eligible[-1]
        for sample in range(MAX_SAMPLED_ENDPOINTS):
            sums = capacity_sums if sample else zone_sums
            i = min(bisect(sums, random() * sums[-1]), len(eligible) - 1)
            endpoint, capacity = eligible[i], capacities[i]
            sort_key = ((endpoint.in_flight + 1) / capacity, -capacity, random())
            if sort_key < lowest_key:
                lowest_key, selected = sort_key, endpoint
            if not endpoint.in_flight:
                break
        return selected


def _zone_adjusted_weights(
    endpoints: list[EndpointStats], capacities: list[float], own_zone: str
) -> list[float]:
    """Return the weights for the first sample, which prefers the balancer's zone up to the zone's capacity.

    If the balancers are spread evenly over the zones, each zone has to serve as many requests as a zone of
    mean capacity can. A zone below the mean capacity serves as many of its requests as its own capacity
    allows; the other requests spill over to the zones above the mean, in proportion to these zones' excess
    over the mean. A zone above the mean serves all its requests. The weights are the capacities if the
    balancer's zone is unknown, has no endpoint, or is the only zone.
    """
    zone_capacities: dict[str, float] = {}
    for endpoint, capacity in zip(endpoints, capacities, strict=True):
        zone = endpoint.entry.zone
        zone_capacities[zone] = zone_capacities.get(zone, 0.0) + capacity
    if not own_zone or own_zone not in zone_capacities or len(zone_capacities) < 2:
        return capacities
    mean = sum(zone_capacities.values()) / len(zone_capacities)
    excess = {zone: max(capacity - mean, 0.0) for zone, capacity in zone_capacities.items()}
    total_excess = sum(excess.values())  # 0 if all zones have the same capacity, apart from rounding
    spill_fraction = max(mean - zone_capacities[own_zone], 0.0) / total_excess if total_excess else 0.0
    factors = {
        zone: (min(capacity, mean) if zone == own_zone else spill_fraction * excess[zone]) / capacity
        for zone, capacity in zone_capacities.items()
    }
    return [factors[e.entry.zone] * capacity for e, capacity in zip(endpoints, capacities, strict=True)]
