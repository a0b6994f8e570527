"""The available capacity: the total weight of the healthy endpoints, reduced for those in slow start."""

import math
from typing import TYPE_CHECKING

from loadbalancer.policy.balancer_count import BalancerCountEstimator
from loadbalancer.policy.endpoint_set import EndpointSet
from loadbalancer.policy.outlier_detection import is_outlier

if TYPE_CHECKING:
    from loadbalancer.policy.endpoint_stats import EndpointStats

UPDATE_INTERVAL_MS = 100.0
"""Age, in ms, at which the sum is recomputed.

Recomputing it costs little at hundreds of requests per second. The interval is short compared with the
second in which an overload builds up.
"""


class AvailableCapacity:
    """Sums the weights of the healthy endpoints, and updates the balancer count with each sum.

    The weight of an endpoint in slow start is multiplied by its warm-up fraction; outliers are left out.
    Weights are relative: an ordinary endpoint has the weight 1 in the endpoint list.

    If limits counted the capacity of unreachable or warming endpoints in full, the requests admitted for them
    would all go to the other endpoints.

    Attributes:
        balancer_count: The estimated number of balancers.
        weight: The last sum; 1 if no endpoint is healthy, so that no limit derived from the sum is 0.
        reachable: The ready endpoints that accept connections; all ready ones if connects fail at all of
            them.
    """

    def __init__(self, endpoints: EndpointSet, balancer_count: BalancerCountEstimator) -> None:
        self._endpoints = endpoints
        self._warmup = endpoints.warmup
        self.balancer_count = balancer_count
        self._updated_at = -math.inf
        self.weight = 1.0
        self.reachable: list[EndpointStats] = []

    def invalidate(self, now: float) -> None:
        """Make the next call of `update` recompute the sum because the endpoint list has changed."""
        self._updated_at = min(self._updated_at, now - UPDATE_INTERVAL_MS)

    def update(self, now: float) -> float:
        """Return the sum, recomputed if it is at least UPDATE_INTERVAL_MS old."""
        if now - self._updated_at >= UPDATE_INTERVAL_MS:
            ready = self._endpoints.ready
            for endpoint in ready:
                endpoint.advance_to(now)
            self.reachable = [e for e in ready if e.connect_failures <= 1] or ready
            healthy = [e for e in self.reachable if not is_outlier(e)]
            self.weight = sum(e.weight * self._warmup.fraction(e, now) for e in healthy) or 1.0
            self.balancer_count.update(sum(e.weight for e in healthy), self._updated_at, now)
            self._updated_at = now
        return self.weight
