"""The number of balancer replicas that serve this tier, this one included."""

import math

from loadbalancer.policy.arrivals import ArrivalRate
from loadbalancer.settings import Settings

# Time constant, in ms, by which the baseline weight decays after a loss of endpoints. For about this long a
# loss counts as one; after that the endpoints that are left are the new baseline.
BASELINE_TIME_CONSTANT_MS = 20_000.0


class BalancerCountEstimator:
    """Estimates how many replicas serve requests, which no message reports.

    Replicas and endpoints of a zone fail together, and the requests of the lost replicas come to the others.
    So the estimate is the configured number, times the larger of two ratios (at most 1):

        weight ratio        = weight of the healthy endpoints / its baseline
        interarrival ratio  = short-term / long-term mean interarrival time

    Both must fall for the estimate to fall. Assumes that zones have replicas in proportion to endpoints and
    that clients spread over the replicas that are left.

    Before the second request the interarrival ratio is 0.

    Guards against capacity and quotas that go unused: when a zone is lost, its replicas no longer use their
    part, and each replica that is left must use more than its configured part. A fall of one ratio alone is
    no evidence: more requests may be a burst, and endpoints may be removed without any replica.

    Attributes:
        estimate: The estimated number of replicas, this one included; at least 1, not necessarily an integer.
    """

    def __init__(self, settings: Settings, arrivals: ArrivalRate) -> None:
        self._configured = settings.balancers
        self._arrivals = arrivals
        self._baseline_weight = 0.0
        self.estimate = float(settings.balancers)

    def update(self, weight: float, updated_at: float, now: float) -> None:
        """Estimate the number again.

        Args:
            weight: The weight of the endpoints that can take requests, without their warm-up fractions.
            updated_at: When the previous weight was summed, or up to 100 ms earlier if the endpoint list has
                changed since; minus infinity before the first sum.
            now: The current time.
        """
        decayed = self._baseline_weight * math.exp((updated_at - now) / BASELINE_TIME_CONSTANT_MS)
        self._baseline_weight = max(weight, decayed)
        weight_ratio = weight / (self._baseline_weight or 1.0)
        long_term_ms = self._arrivals.long_term_interarrival_ms or 1.0
        interarrival_ratio = self._arrivals.short_term_interarrival_ms / long_term_ms
        self.estimate = max(self._configured * min(max(weight_ratio, interarrival_ratio), 1.0), 1.0)
