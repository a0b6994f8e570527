"""The available capacity: the weight of the endpoints that can take requests."""

import math
from typing import TYPE_CHECKING

from loadbalancer.policy.balancer_count import BalancerCountEstimator
from loadbalancer.policy.endpoint_set import EndpointSet
from loadbalancer.policy.outlier_detection import is_outlier

if TYPE_CHECKING:
    from loadbalancer.policy.endpoint_stats import EndpointStats

# Age, in ms, at which the sum is taken again: long enough to cost little at hundreds of requests a second,
# short against the second in which overload builds up.
UPDATE_INTERVAL_MS = 100.0


class AvailableCapacity:
    """Sums the weight of the endpoints that can take requests; the replica estimate follows each sum.

    An endpoint in slow start counts with its weight times its warm-up fraction, an outlier not at all.
    Weights are relative: the endpoint list gives an ordinary endpoint the weight 1.

    Guards against limits that count capacity which is not there: requests meant for lost or warming
    endpoints would all go to the others.

    Attributes:
        balancer_count: The estimate of the replica count.
        weight: The last sum; 1 if no endpoint can take requests, so that no limit derived from it is 0.
        reachable: The ready endpoints whose connects succeed; all ready ones if connects fail at each.
    """

    def __init__(self, endpoints: EndpointSet, balancer_count: BalancerCountEstimator) -> None:
        self._endpoints = endpoints
        self._warmup = endpoints.warmup
        self.balancer_count = balancer_count
        self._updated_at = -math.inf
        self.weight = 1.0
        self.reachable: list[EndpointStats] = []

    def invalidate(self, now: float) -> None:
        """Have the next call of `update` take the sum again: the endpoint list has changed."""
        self._updated_at = min(self._updated_at, now - UPDATE_INTERVAL_MS)

    def update(self, now: float) -> float:
        """Return the sum, taken again if the last one is older than UPDATE_INTERVAL_MS."""
        if now - self._updated_at >= UPDATE_INTERVAL_MS:
            ready = self._endpoints.ready
            for endpoint in ready:
                endpoint.catch_up(now)
            self.reachable = [e for e in ready if e.connect_failures <= 1] or ready
            healthy = [e for e in self.reachable if not is_outlier(e)]
            self.weight = sum(e.weight * self._warmup.fraction(e, now) for e in healthy) or 1.0
            self.balancer_count.update(sum(e.weight for e in healthy), self._updated_at, now)
            self._updated_at = now
        return self.weight
