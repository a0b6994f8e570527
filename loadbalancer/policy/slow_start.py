"""Slow start: how many requests all balancers together send to an endpoint that warms up."""

import math

from loadbalancer.policy.arrivals import ArrivalRate
from loadbalancer.policy.capacity import CapacityEstimator
from loadbalancer.policy.endpoint_set import EndpointSet
from loadbalancer.policy.endpoint_stats import EndpointStats
from loadbalancer.policy.outlier_detection import is_outlier
from loadbalancer.policy.peers import PeerEstimator
from loadbalancer.settings import Settings

SLOW_START_SAFETY = 0.5  # of an endpoint's budget: other balancers and heavy requests count too
# Standard deviations (the root of a mean count) that a limit leaves to chance; requests differ in work.
SLOW_START_DEVIATIONS = 5.0
UPDATE_INTERVAL_MS = 100.0  # the figures are taken anew after this; it only saves work


class SlowStart:
    """Limits the attempts at endpoints that warm up, so that over all balancers they keep to the rule."""

    def __init__(
        self,
        settings: Settings,
        endpoints: EndpointSet,
        arrivals: ArrivalRate,
        peers: PeerEstimator,
        capacity: CapacityEstimator,
    ) -> None:
        self._overload_factor = settings.slow_start_overload_factor
        self._window_ms = settings.slow_start_window_ms
        self._endpoints = endpoints
        self._warmup = endpoints.warmup
        self._arrivals = arrivals
        self._peers = peers
        self._capacity = capacity
        self._updated_at = -math.inf
        self._balancers_per_endpoint = 1.0
        self._warm_rate = 0.0  # requests a millisecond, of all balancers, for each unit of warm weight
        self._fraction = 1.0  # of the balancers: so many may select endpoints that warm up as they would

    def invalidate(self) -> None:
        """The endpoint list has changed: take the figures anew when next asked."""
        self._updated_at = -math.inf

    def with_capacity(
        self, endpoints: list[EndpointStats], is_first_attempt: bool, now: float
    ) -> list[EndpointStats]:
        """The endpoints that may be sent one more attempt: all that are warm, and some that are not."""
        if now >= self._warmup.active_until:
            return endpoints
        self._update(now)
        return [e for e in endpoints if self._has_slow_start_capacity(e, is_first_attempt, now)]

    def record_start(self, endpoint: EndpointStats, now: float) -> None:
        """Count an attempt that was started, if the endpoint is in its slow start."""
        if now < self._warmup.active_until and self._warmup.fraction(endpoint, now) < 1:
            endpoint.recent_starts.append(now)

    def _has_slow_start_capacity(self, endpoint: EndpointStats, is_first_attempt: bool, now: float) -> bool:
        """Whether an endpoint can take one more attempt in this window (a burst would overload it).

        Each balancer sends a part of factor x warm-up fraction x its own rate to a warm endpoint: they add up
        to a warm load. The one attempt always allowed is selected at most the warm-up fraction times as often
        as a warm endpoint is; where hundreds could send one each, only so many balancers call the endpoint at
        all as keep the sum in its limit: the same ones in each window, since each new draw would be one more
        chance to exceed it.
        """
        fraction = self._warmup.fraction(endpoint, now)
        if fraction >= 1:
            return True
        # Retries come on top of the requests that `_update` counts.
        part = self._fraction if is_first_attempt or self._fraction >= 1 else 0.0
        if endpoint.slow_start_rank > max(part, self._mean_starts(endpoint.weight * fraction)):
            return False
        starts = endpoint.recent_starts
        while starts and starts[0] < now - self._window_ms:
            starts.popleft()
        budget = SLOW_START_SAFETY * self._overload_factor * fraction
        budget = budget * self._capacity.served_per_ms * self._window_ms
        return len(starts) + 1 <= max(1.0, budget)

    def _mean_starts(self, weight: float) -> float:
        """Our part of the attempts that all may start in a window at an endpoint of this warm weight.

        The rule allows N + 2 x root of N + 2; a count about the mean m spreads by its root, so m and
        SLOW_START_DEVIATIONS times its root make up the limit. One attempt of each of two balancers never
        exceeds it.
        """
        if self._balancers_per_endpoint <= 2:
            return 1.0
        allowed = self._overload_factor * weight * self._warm_rate * self._window_ms
        limit = allowed + 2 * math.sqrt(allowed) + 2
        root = math.sqrt(SLOW_START_DEVIATIONS**2 / 4 + limit) - SLOW_START_DEVIATIONS / 2
        return float(root**2) / self._balancers_per_endpoint

    def _update(self, now: float) -> None:
        """Estimate what a warm endpoint takes, and which part of the balancers may select the others freely.

        Guards against balancers that each see few requests, and restarted ones that know nothing yet: an
        endpoint takes at the least what all send it if they do as we do (or, too new to tell, if requests
        come evenly over our endpoints), and at the least one attempt at a time.
        """
        subset = self._endpoints.subset
        if now - self._updated_at < UPDATE_INTERVAL_MS or not subset:
            return
        self._updated_at = now
        arrivals, capacity = self._arrivals, self._capacity
        self._balancers_per_endpoint = max(self._peers.count * len(subset) / len(self._endpoints.ready), 1.0)
        age = now - arrivals.started_at
        unseen = math.exp(-age / capacity.time_constant_ms) if capacity.served_per_ms else 1.0
        own_rate = capacity.served_per_ms * len(subset) + unseen * arrivals.long_term_rate_per_ms(now)
        rate = own_rate / sum(e.weight for e in subset) * self._balancers_per_endpoint
        self._warm_rate = max(rate, capacity.median)
        self._fraction = self._unrestricted_fraction(now)

    def _unrestricted_fraction(self, now: float) -> float:
        """The part of the balancers that may select endpoints in slow start as they would warm ones.

        Where the requests that are due at these exceed their part (warm ones went, a burst, a tight rule),
        the warm ones take the rest.
        """
        warm = warming = mean_starts = 0.0
        subset = self._endpoints.subset
        for endpoint in subset:
            if is_outlier(endpoint):
                continue
            fraction = self._warmup.fraction(endpoint, now)
            if fraction < 1:
                warming += endpoint.weight * fraction
                mean_starts += self._mean_starts(endpoint.weight * fraction)
            else:
                warm += endpoint.weight
        requests = self._arrivals.short_term_rate_per_ms(now) * self._window_ms
        # The weight that could take all our requests at this mean.
        wanted = requests * warming / mean_starts if mean_starts else math.inf
        if warm + warming >= wanted:
            return 1.0
        if warm:
            return warm / (wanted - warming)
        # With no warm one, any that we may call takes all of ours.
        return float(1.0 - (1.0 - warming / wanted) ** (1 / len(subset)))
