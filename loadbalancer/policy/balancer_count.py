"""Estimates the number of balancers of this tier, including this one."""

import math

from loadbalancer.policy.arrivals import ArrivalRate
from loadbalancer.settings import Settings

BASELINE_TIME_CONSTANT_MS = 20_000.0
"""Time constant, in ms, of the decay of the baseline weight after a loss of endpoints.

After about this time, the remaining endpoints are the new baseline.
"""


class BalancerCountEstimator:
    """Estimates how many balancers of this tier are running, since no message reports their number.

    The balancers and endpoints of a zone fail together, and the requests of the failed balancers move to the
    other balancers. So the estimate is the configured number times the larger of two ratios, capped at 1:

        weight ratio        = weight of the healthy endpoints / its baseline
        interarrival ratio  = short-term / long-term mean interarrival time

    The estimate decreases only if both ratios do. Neither ratio alone shows a loss of balancers: a burst also
    shortens the interarrival times, and endpoints may be removed while all balancers remain. Before the
    second request the interarrival ratio is 0. The estimate assumes that the number of balancers in each zone
    is proportional to the number of endpoints there, and that clients spread evenly over the remaining
    balancers.

    If the configured number were used after the loss of a zone, the capacity and quotas assigned to the lost
    balancers would be unused, since the other balancers would not increase their shares.

    Attributes:
        estimate: The estimated number of balancers, including this one; at least 1, not necessarily an
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
            previous_update_at: The time of the previous update, or up to 100 ms before it if the endpoint
                list has changed since then; minus infinity at the first update.
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
