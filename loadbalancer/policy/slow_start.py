"""Slow start: a limit on the requests that all balancers together send to an endpoint that is warming up.

An endpoint fails if it gets too much work within one window while it warms up. No balancer sees the requests
of the others, so each estimates what all of them send and keeps its own part small enough that the sum stays
within the limit. The derivation of the formulas is in docs/POLICY.md, "Slow start over all balancers".
"""

import math

from loadbalancer.policy.arrivals import ArrivalRate
from loadbalancer.policy.balancer_count import BalancerCountEstimator
from loadbalancer.policy.capacity import CapacityEstimator
from loadbalancer.policy.endpoint_set import EndpointSet
from loadbalancer.policy.endpoint_stats import EndpointStats
from loadbalancer.policy.outlier_detection import is_outlier
from loadbalancer.settings import Settings

# Sum of all balancers' budgets for a warming endpoint, as a fraction of the mean that the settings allow it.
# The other half is a margin for requests of more than mean work and for balancers that get more requests than
# others.
SAFETY_FRACTION = 0.5
# z-score of the upper bound of a Poisson count. 5 is wide since requests differ in work, which spreads the
# work in a window wider than the number of requests alone.
Z_SCORE = 5.0
# Interval, in milliseconds, at which the estimates are recomputed. It saves processor time only.
UPDATE_INTERVAL_MS = 100.0


class SlowStart:
    """Limits the attempts at warming endpoints so that the sum over all balancers stays within the settings.

    Two limits apply to each attempt. The rank rule lets only a fraction of the balancers call a warming
    endpoint. The budget limits how many attempts one of these balancers starts there within a window.
    """

    def __init__(
        self,
        settings: Settings,
        endpoints: EndpointSet,
        arrivals: ArrivalRate,
        balancer_count: BalancerCountEstimator,
        capacity: CapacityEstimator,
    ) -> None:
        self._overload_factor = settings.slow_start_overload_factor
        self._window_ms = settings.slow_start_window_ms
        self._endpoints = endpoints
        self._warmup = endpoints.warmup
        self._arrivals = arrivals
        self._balancer_count = balancer_count
        self._capacity = capacity
        self._updated_at = -math.inf
        self._balancers_per_endpoint = 1.0
        # Requests per millisecond, of all balancers together, for each unit of warm weight.
        self._warm_rate_per_ms = 0.0
        # Fraction of the balancers that may select warming endpoints like warm ones.
        self._unrestricted_fraction = 1.0

    def invalidate(self) -> None:
        """Recompute the estimates at the next call, after a change of the endpoint list."""
        self._updated_at = -math.inf

    def with_capacity(
        self, endpoints: list[EndpointStats], now: float, *, is_first_attempt: bool
    ) -> list[EndpointStats]:
        """Return the endpoints that may get one more attempt: warm ones, and warming ones within limits."""
        if now >= self._warmup.active_until:
            return endpoints
        self._update(now)
        return [e for e in endpoints if self._has_capacity(e, now, is_first_attempt=is_first_attempt)]

    def record_start(self, endpoint: EndpointStats, now: float) -> None:
        """Count an attempt that has started, if its endpoint is warming up."""
        if now < self._warmup.active_until and self._warmup.fraction(endpoint, now) < 1:
            endpoint.recent_starts.append(now)

    def _has_capacity(self, endpoint: EndpointStats, now: float, *, is_first_attempt: bool) -> bool:
        """Return whether an endpoint may get one more attempt of this balancer in the present window.

        Rank rule: the balancer calls a warming endpoint only if the random rank that it drew for it is at
        most the larger of the unrestricted fraction and `_max_mean_starts`. The rank stays the same over all
        windows: a new draw in each window would be one more chance to exceed the limit.

        Budget: `SAFETY_FRACTION` x overload factor x warm-up fraction x the balancer's own rate at a warm
        endpoint x window. Summed over all balancers that is `SAFETY_FRACTION` of the mean that the settings
        allow a warming endpoint of average weight. One attempt a window is always within the budget; the
        rank rule limits the sum of these.

        Retries and hedged attempts are not among the arrivals from which the unrestricted fraction is
        computed. While that fraction is below 1, the rank rule allows them by `_max_mean_starts` alone.
        """
        fraction = self._warmup.fraction(endpoint, now)
        if fraction >= 1:
            return True
        is_unrestricted = is_first_attempt or self._unrestricted_fraction >= 1
        unrestricted = self._unrestricted_fraction if is_unrestricted else 0.0
        if endpoint.slow_start_rank > max(unrestricted, self._max_mean_starts(endpoint.weight * fraction)):
            return False
        starts = endpoint.recent_starts
        while starts and starts[0] < now - self._window_ms:
            starts.popleft()
        budget = SAFETY_FRACTION * self._overload_factor * fraction
        budget = budget * self._capacity.served_per_ms * self._window_ms
        return len(starts) + 1 <= max(1.0, budget)

    def _max_mean_starts(self, weight: float) -> float:
        """Return the mean number of attempts that one balancer may start in a window at an endpoint.

        The settings allow an endpoint a mean of N = overload factor x `weight` x warm rate x window. The
        endpoint fails above the limit N + 2 sqrt(N) + 2 in a single window, which allows for the variation of
        a Poisson count. The starts of many independent balancers are a Poisson count: with mean m its upper
        bound is m + z sqrt(m). The largest m whose bound stays within the limit solves
        m + z sqrt(m) = limit: sqrt(m) = sqrt(z^2/4 + limit) - z/2. Each of the balancers that call the
        endpoint gets an equal part of m.

        One attempt of each of two balancers never exceeds the limit, which is at least 2.

        Args:
            weight: The weight of the endpoint times its warm-up fraction.
        """
        if self._balancers_per_endpoint <= 2:
            return 1.0
        allowed = self._overload_factor * weight * self._warm_rate_per_ms * self._window_ms
        limit = allowed + 2 * math.sqrt(allowed) + 2
        root = math.sqrt(Z_SCORE**2 / 4 + limit) - Z_SCORE / 2
        return float(root**2) / self._balancers_per_endpoint

    def _update(self, now: float) -> None:
        """Recompute the warm rate and the unrestricted fraction if they are older than the interval.

        The warm rate assumes that all balancers send alike: it is this balancer's rate for each unit of
        weight, times the balancers that call an endpoint. The balancer's rate is what its warm endpoints
        serve; as long as too little time has passed for that evidence, the arrivals stand in for the missing
        fraction of it, spread evenly over the subset. The lower bound is the median capacity: the rate of an
        endpoint that always has one attempt in flight.

        Guards against balancers that each get few requests, and against restarted ones without evidence:
        both would take an endpoint's capacity for nearly 0 and send it nothing.
        """
        subset = self._endpoints.subset
        if now - self._updated_at < UPDATE_INTERVAL_MS or not subset:
            return
        self._updated_at = now
        arrivals, capacity = self._arrivals, self._capacity
        self._balancers_per_endpoint = max(
            self._balancer_count.estimate * len(subset) / len(self._endpoints.ready), 1.0
        )
        age_ms = now - arrivals.started_at
        missing_evidence = math.exp(-age_ms / capacity.time_constant_ms) if capacity.served_per_ms else 1.0
        arrival_rate = missing_evidence * arrivals.long_term_rate_per_ms(now)
        own_rate = capacity.served_per_ms * len(subset) + arrival_rate
        rate = own_rate / sum(e.weight for e in subset) * self._balancers_per_endpoint
        self._warm_rate_per_ms = max(rate, capacity.median)
        self._unrestricted_fraction = self._compute_unrestricted_fraction(now)

    def _compute_unrestricted_fraction(self, now: float) -> float:
        """Return the fraction of the balancers that may select warming endpoints like warm ones.

        With W the weight of the warm endpoints of the subset, V that of the warming ones (each times its
        warm-up fraction), R this balancer's requests in a window and M the sum of the limits
        `_max_mean_starts`, unrestricted balancers send R V / (W + V) requests to warming endpoints. That is
        within M if W + V >= R V / M. Otherwise a fraction u of the balancers calls each warming endpoint,
        with u R V / (W + u V) = M, and the warm endpoints take the rest. Without warm endpoints, a balancer
        sends all its requests to those of the n endpoints of the subset that it may call, if there is one,
        with R (1 - (1 - u)^n) = M.

        Guards against warming endpoints that get the load of removed warm ones, or of a burst. Outliers
        count neither as warm nor as warming: they get no requests.
        """
        warm = warming = max_mean_starts = 0.0
        subset = self._endpoints.subset
        for endpoint in subset:
            if is_outlier(endpoint):
                continue
            fraction = self._warmup.fraction(endpoint, now)
            if fraction < 1:
                warming += endpoint.weight * fraction
                max_mean_starts += self._max_mean_starts(endpoint.weight * fraction)
            else:
                warm += endpoint.weight
        requests = self._arrivals.short_term_rate_per_ms(now) * self._window_ms
        required = requests * warming / max_mean_starts if max_mean_starts else math.inf  # R V / M
        if warm + warming >= required:
            return 1.0
        if warm:
            return warm / (required - warming)
        return float(1.0 - (1.0 - warming / required) ** (1 / len(subset)))
