"""The learned capacity of each endpoint: work served a millisecond of our time there."""

import math

from loadbalancer.policy.arrivals import ArrivalRate
from loadbalancer.policy.endpoint_set import EndpointSet
from loadbalancer.policy.endpoint_stats import EVIDENCE_TIME_CONSTANT_MS, UPDATE_INTERVAL_MS, EndpointStats

# Evidence is kept longer where fewer attempts than this an endpoint came within its usual memory.
MIN_ATTEMPTS_PER_TIME_CONSTANT = 4.0
MAX_CAPACITY_TIME_CONSTANT_MS = 20_000.0
# The median counts as so many attempts, so that one slow response does not ruin an estimate.
PSEUDO_OBSERVATIONS = 2.0
MIN_SERVED_WORK = 0.5  # work that an endpoint must have served of late to count in the median
MEDIAN_INTERVAL_MS = 500.0  # the median is taken anew after this; it only saves work


class CapacityEstimator:
    """Estimates the capacity of endpoints from what they served and the time our attempts spent there."""

    def __init__(self, endpoints: EndpointSet, arrivals: ArrivalRate) -> None:
        self._endpoints = endpoints
        self._warmup = endpoints.warmup
        self._arrivals = arrivals
        self._median_at = -math.inf
        self.median = 0.0  # of the known estimates for each unit of weight; 0 while none is known
        self.served_per_ms = 0.0  # what a warm endpoint of the subset serves of our requests
        self.time_constant_ms = EVIDENCE_TIME_CONSTANT_MS  # evidence on capacity fades by 1/e over this

    def estimates(self, endpoints: list[EndpointStats], median: float, now: float) -> list[float]:
        """For each endpoint served work over our time in flight there, leaning on `median` times its weight.

        A balancer of hundreds calls an endpoint too seldom to learn its weight by itself.
        """
        estimates = []
        is_any_warming_up = now < self._warmup.active_until
        for endpoint in endpoints:
            if now - endpoint.updated_at >= UPDATE_INTERVAL_MS:
                endpoint.catch_up(now)
            prior = median * endpoint.weight
            estimate = (endpoint.served + PSEUDO_OBSERVATIONS) / (
                endpoint.busy_ms + PSEUDO_OBSERVATIONS / prior
            )
            if is_any_warming_up and (fraction := self._warmup.fraction(endpoint, now)) < 1:
                estimate = min(estimate, prior * fraction)
            estimates.append(estimate)
        return estimates

    def current_median(self, now: float) -> float:
        """The median, taken anew if the last one is old; 1 while none is known."""
        if now - self._median_at >= MEDIAN_INTERVAL_MS:
            self._median_at = now
            self._update(now)
        return self.median or 1.0

    def _update(self, now: float) -> None:
        ready, subset = self._endpoints.ready, self._endpoints.subset
        known = sorted(
            e.served / (e.busy_ms * e.weight) for e in ready if e.served > MIN_SERVED_WORK and e.busy_ms > 0
        )
        self.median = known[len(known) // 2] if known else self.median
        if warm := [e.served for e in subset if self._warmup.fraction(e, now) >= 1]:
            self.served_per_ms = sum(warm) / len(warm) / self.time_constant_ms
        # Guards against evidence that fades between two attempts: of hundreds, one balancer makes few.
        wanted = MIN_ATTEMPTS_PER_TIME_CONSTANT * self._arrivals.short_term_interarrival_ms * len(subset)
        self.time_constant_ms = min(max(EVIDENCE_TIME_CONSTANT_MS, wanted), MAX_CAPACITY_TIME_CONSTANT_MS)
        for endpoint in ready:
            endpoint.capacity_time_constant_ms = self.time_constant_ms
