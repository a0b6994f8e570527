"""The number of balancers that serve this tier, this one included."""

import math

from loadbalancer.policy.arrivals import ArrivalRate
from loadbalancer.settings import Settings

BASELINE_TIME_CONSTANT_MS = 20_000.0
"""Time constant, in ms, of the decay of the baseline weight after a loss of endpoints.

After about this time, the remaining endpoints are the new baseline.
"""


class BalancerCountEstimator:
    """Estimates how many balancers serve requests, since no message reports their number.

    The balancers and endpoints of a zone fail together, and the requests of the failed balancers move to the
    others. So the estimate is the configured number times the larger of two ratios, which is capped at 1:

        weight ratio        = weight of the healthy endpoints / its baseline
        interarrival ratio  = short-term / long-term mean interarrival time

    The estimate decreases only if both ratios do. One ratio alone is no evidence: a burst also shortens the
    interarrival times, and endpoints may be removed while all balancers remain. Before the second request the
    interarrival ratio is 0. Assumes that the zones have balancers in proportion to their endpoints, and that
    clients spread evenly over the remaining balancers.

    With the configured number alone, capacity and quotas would go unused after the loss of a zone: the
    balancers of that zone no longer use their part, so each of the others must use more than before.

    Attributes:
        estimate: The estimated number of balancers, this one included; at least 1, not necessarily an
            integer.
    """

    def __init__(self, settings: Settings, arrivals: ArrivalRate) -> None:
        self._configured_count = settings.balancers
        self._arrivals = arrivals
        self._baseline_weight = 0.0
        self.estimate = float(settings.balancers)

    def update(self, weight: float, previous_update_at: float, now: float) -> None:
        """Update the estimate.

        Args:
            weight: The total weight of the healthy endpoints, regardless of their warm-up fractions.
            previous_update_at: When the previous weight was summed, or up to 100 ms earlier if the endpoint
                list has changed since; minus infinity at the first update.
            now: The current time.
        """
        decayed_weight = self._baseline_weight * math.exp(
            (previous_update_at - now) / BASELINE_TIME_CONSTANT_MS
        )
        self._baseline_weight = max(weight, decayed_weight)
        weight_ratio = weight / (self._baseline_weight or 1.0)
        long_term_ms = self._arrivals.long_term_interarrival_ms or 1.0
        interarrival_ratio = self._arrivals.short_term_interarrival_ms / long_term_ms
        self.estimate = max(self._configured_count * min(max(weight_ratio, interarrival_ratio), 1.0), 1.0)
