"""Estimates the capacity of each endpoint, in work per millisecond of busy time.

docs/POLICY.md has the formula, its source and the reasons for the constants.
"""

import math

from loadbalancer.policy.arrivals import ArrivalRate
from loadbalancer.policy.endpoint_set import EndpointSet
from loadbalancer.policy.endpoint_stats import (
    STATISTICS_TIME_CONSTANT_MS,
    STATISTICS_UPDATE_INTERVAL_MS,
    EndpointStats,
)

MIN_ATTEMPTS_PER_TIME_CONSTANT = 4.0
"""Minimum mean number of attempts per endpoint of the subset within one time constant.

At low request rates, the time constant is increased until it covers this number. The number exceeds
PSEUDO_OBSERVATIONS, so that the attempts within one time constant outweigh the prior.
"""
MAX_CAPACITY_TIME_CONSTANT_MS = 20_000.0
"""Upper bound of the time constant, in ms: estimates must reflect an endpoint's recovery within a minute."""
PSEUDO_OBSERVATIONS = 2.0
"""Number of fictitious attempts, served at the prior capacity, that are added to each endpoint's statistics.

With two, a single slow response of an endpoint with few attempts does not distort the estimate much.
"""
MIN_SERVED_WORK = 0.5
"""Recently served work, in units of the mean request, that an endpoint must exceed to count in the median."""
MEDIAN_INTERVAL_MS = 500.0
"""Age, in ms, at which the median is recomputed; sorting all endpoints for each request is too expensive."""


class CapacityEstimator:
    """Estimates the capacity of each endpoint, shrunk toward a prior if few attempts have been recorded.

        prior    = median * weight
        capacity = (served_work + k) / (busy_ms + k / prior),  k = PSEUDO_OBSERVATIONS

    `served_work` is the work that the endpoint has served for this balancer, and `busy_ms` the total time
    that this balancer's attempts have spent there; both decay exponentially. By Little's law, served_work /
    busy_ms is the throughput of these attempts divided by their mean number in flight. `median` is the median
    of served_work / (busy_ms * weight) over the endpoints that have recently served work.

    The prior is needed because one of hundreds of balancers sends an endpoint too few requests to learn the
    endpoint's capacity from its own attempts alone.

    Attributes:
        median: Median capacity per unit of weight, in work per ms; 0 until an endpoint has served work.
        served_work_per_ms: The mean rate at which a warm endpoint of the subset serves work for this
            balancer.
        time_constant_ms: The time constant with which `served_work` and `busy_ms` decay.
    """

    def __init__(self, endpoints: EndpointSet, arrivals: ArrivalRate) -> None:
        self._endpoints = endpoints
        self._warmup = endpoints.warmup
        self._arrivals = arrivals
        self._median_updated_at = -math.inf
        self.median = 0.0
        self.served_work_per_ms = 0.0
        self.time_constant_ms = STATISTICS_TIME_CONSTANT_MS

    def estimates(self, endpoints: list[EndpointStats], median: float, now: float) -> list[float]:
        """Return the capacity of each endpoint, in the order given.

        The estimate of an endpoint in slow start is at most the prior times its warm-up fraction.
        """
        estimates = []
        is_any_warming_up = now < self._warmup.active_until
        for endpoint in endpoints:
            if now - endpoint.updated_at >= STATISTICS_UPDATE_INTERVAL_MS:
                endpoint.advance_to(now)
            prior = median * endpoint.weight
            pseudo_busy_ms = PSEUDO_OBSERVATIONS / prior
            estimate = (endpoint.served_work + PSEUDO_OBSERVATIONS) / (endpoint.busy_ms + pseudo_busy_ms)
            if is_any_warming_up and (fraction := self._warmup.fraction(endpoint, now)) < 1:
                estimate = min(estimate, prior * fraction)
            estimates.append(estimate)
        return estimates

    def current_median(self, now: float) -> float:
        """Return the median, recomputed if it is MEDIAN_INTERVAL_MS old; 1 until an endpoint has served work.

        Until an endpoint has served work, endpoints are selected by weight alone, and any positive value
        gives the same result. If no endpoint has served work recently, the last median is kept.
        """
        if now - self._median_updated_at >= MEDIAN_INTERVAL_MS:
            self._median_updated_at = now
            self._update(now)
        return self.median or 1.0

    def _update(self, now: float) -> None:
        ready, subset = self._endpoints.ready, self._endpoints.subset
        capacities_per_weight = sorted(
            e.served_work / (e.busy_ms * e.weight)
            for e in ready
            if e.served_work > MIN_SERVED_WORK and e.busy_ms > 0
        )
        self.median = (
            capacities_per_weight[len(capacities_per_weight) // 2] if capacities_per_weight else self.median
        )
        # A sum that decays with the time constant T converges to T times the rate of the additions.
        if warm_served_work := [e.served_work for e in subset if self._warmup.fraction(e, now) >= 1]:
            self.served_work_per_ms = sum(warm_served_work) / len(warm_served_work) / self.time_constant_ms
        # If there are hundreds of balancers, each one starts few attempts per endpoint: with a short time
        # constant, the statistics of an endpoint would decay to nearly 0 between two attempts.
        interval_ms = self._arrivals.short_term_interarrival_ms
        required_ms = MIN_ATTEMPTS_PER_TIME_CONSTANT * interval_ms * len(subset)
        time_constant_ms = min(max(STATISTICS_TIME_CONSTANT_MS, required_ms), MAX_CAPACITY_TIME_CONSTANT_MS)
        self.time_constant_ms = time_constant_ms
        for endpoint in ready:
            endpoint.capacity_time_constant_ms = time_constant_ms
