"""How many balancers are at work, this one among them."""

import math

from loadbalancer.policy.arrivals import ArrivalRate
from loadbalancer.settings import Settings

BASELINE_TIME_CONSTANT_MS = (
    20_000.0  # the usual weight of all endpoints fades by 1/e over this once endpoints are lost
)


class PeerEstimator:
    """Estimates how many balancers are left, which no message tells."""

    def __init__(self, settings: Settings, arrivals: ArrivalRate) -> None:
        self._configured = settings.balancers
        self._arrivals = arrivals
        self._baseline_weight = 0.0
        self.count = float(settings.balancers)  # at least 1

    def update(self, weight: float, updated_at: float, now: float) -> None:
        """Estimate anew: as many balancers are left as endpoints, if requests say so too.

        Guards against keeping to our part where a zone went with its balancers, whose requests come to us.
        More requests alone may be a burst, and fewer endpoints alone take no balancer with them.

        `weight` is that of the endpoints that can take requests, `updated_at` when it was last taken.
        """
        faded = self._baseline_weight * math.exp((updated_at - now) / BASELINE_TIME_CONSTANT_MS)
        self._baseline_weight = max(weight, faded)
        weight_ratio = weight / (self._baseline_weight or 1.0)
        pause_ratio = self._arrivals.short_term_interarrival_ms / (
            self._arrivals.long_term_interarrival_ms or 1.0
        )
        self.count = max(self._configured * min(max(weight_ratio, pause_ratio), 1.0), 1.0)
