"""The weight of the endpoints that can take requests."""

import math

from loadbalancer.policy.endpoint_set import EndpointSet
from loadbalancer.policy.endpoint_stats import EndpointStats
from loadbalancer.policy.outlier_detection import is_outlier
from loadbalancer.policy.peers import PeerEstimator

UPDATE_INTERVAL_MS = 100.0  # the available capacity is summed anew after this; it only saves work


class AvailableCapacity:
    """The sum of weights over the endpoints that can take requests.

    Endpoints that warm up count by their warm-up fraction, outliers not at all.
    """

    def __init__(self, endpoints: EndpointSet, peers: PeerEstimator) -> None:
        self._endpoints = endpoints
        self._warmup = endpoints.warmup
        self.peers = peers  # their estimate follows the sum
        self._updated_at = -math.inf
        self.weight = 1.0  # the last sum; never 0
        # The ready endpoints that connects do not fail at; all ready ones if they do at each.
        self.reachable: list[EndpointStats] = []

    def invalidate(self, now: float) -> None:
        """The endpoint list has changed: sum anew when next asked."""
        self._updated_at = min(self._updated_at, now - UPDATE_INTERVAL_MS)

    def update(self, now: float) -> float:
        """Return the sum, taken anew if the last one is old."""
        if now - self._updated_at >= UPDATE_INTERVAL_MS:
            ready = self._endpoints.ready
            for endpoint in ready:
                endpoint.catch_up(now)
            self.reachable = [e for e in ready if e.connect_failures <= 1] or ready
            healthy = [e for e in self.reachable if not is_outlier(e)]
            self.weight = sum(e.weight * self._warmup.fraction(e, now) for e in healthy) or 1.0
            self.peers.update(sum(e.weight for e in healthy), self._updated_at, now)
            self._updated_at = now
        return self.weight
