"""Slow start: limits the requests that all balancers together send to an endpoint that is warming up.

An endpoint fails if it receives too much work within one window while it warms up. No balancer sees the
requests of the other balancers, so each balancer estimates the requests of all of them and restricts its own
so that the sum remains within the limit. docs/POLICY.md derives the formulas in "Slow start over all
balancers".
"""

import math

from loadbalancer.policy.arrivals import ArrivalRate
from loadbalancer.policy.balancer_count import BalancerCountEstimator
from loadbalancer.policy.capacity import CapacityEstimator
from loadbalancer.policy.endpoint_set import EndpointSet
from loadbalancer.policy.endpoint_stats import EndpointStats
from loadbalancer.policy.outlier_detection import is_outlier
from loadbalancer.settings import Settings

SAFETY_FRACTION = 0.5
"""Sum of all balancers' budgets for a warming endpoint, as a fraction of the mean number of attempts allowed.

The other half is a margin for requests with more than average work and for balancers that receive more
requests than others.
"""
Z_SCORE = 5.0
"""z-score of the upper bound of a Poisson count.

It is as large as 5 because requests differ in work, so the work in a window varies more than the number of
requests.
"""
UPDATE_INTERVAL_MS = 100.0
"""Age, in milliseconds, at which the estimates are recomputed; recomputing them more often costs CPU time."""


class SlowStart:
    """Limits attempts at warming endpoints so that all balancers together comply with the configured limit.

    Two limits apply to each attempt. The rank rule allows only a fraction of the balancers to send requests
    to a warming endpoint. The budget limits the number of attempts that each of these balancers starts there
    within a window.
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
        # Requests per millisecond of all balancers together, per unit of weight of warm endpoints.
        self._warm_rate_per_ms = 0.0
        # Fraction of the balancers that may select warming endpoints as freely as warm ones.
        self._unrestricted_fraction = 1.0

    def invalidate(self) -> None:
        """Make the next call of `within_limits` recompute the estimates because the endpoint list changed."""
        self._updated_at = -math.inf

    def within_limits(
        self, endpoints: list[EndpointStats], now: float, *, is_first_attempt: bool
    ) -> list[EndpointStats]:
        """Return the warm endpoints, and the warming ones that may receive one more attempt."""
        if now >= self._warmup.active_until:
            return endpoints
        self._update(now)
        return [e for e in endpoints if self._is_within_limits(e, now, is_first_attempt=is_first_attempt)]

    def record_start(self, endpoint: EndpointStats, now: float) -> None:
        """Record the start of an attempt if its endpoint is warming up."""
        if now < self._warmup.active_until and self._warmup.fraction(endpoint, now) < 1:
            endpoint.recent_starts.append(now)

    def _is_within_limits(self, endpoint: EndpointStats, now: float, *, is_first_attempt: bool) -> bool:
        """Return whether an endpoint may receive one more attempt of this balancer in the current window.

        Rank rule: the balancer uses a warming endpoint only if the random rank that it has drawn for the
        endpoint is not above the larger of the unrestricted fraction and `_max_mean_starts`. The rank is the
        same in all windows, since a new rank in each window would be another chance to exceed the limit.

        Budget: `SAFETY_FRACTION` x overload factor x warm-up fraction x the balancer's own rate at a warm
        endpoint x window. Summed over all balancers, the budget is `SAFETY_FRACTION` of the mean that the
        settings allow for a warming endpoint of average weight. One attempt per window is always within the
        budget; the rank rule limits the sum of these attempts.

        The unrestricted fraction is computed from arriving requests, which do not include retries and hedged
        attempts. For those, the rank rule ignores the unrestricted fraction while it is below 1 and uses only
        `_max_mean_starts`.
        """
        fraction = self._warmup.fraction(endpoint, now)
        if fraction >= 1:
            return True
        is_fraction_applicable = is_first_attempt or self._unrestricted_fraction >= 1
        unrestricted_fraction = self._unrestricted_fraction if is_fraction_applicable else 0.0
        if endpoint.slow_start_rank > max(
            unrestricted_fraction, self._max_mean_starts(endpoint.weight * fraction)
        ):
            return False
        starts = endpoint.recent_starts
        while starts and starts[0] < now - self._window_ms:
            starts.popleft()
        budget = SAFETY_FRACTION * self._overload_factor * fraction
        budget = budget * self._capacity.served_work_per_ms * self._window_ms
        return len(starts) + 1 <= max(1.0, budget)

    def _max_mean_starts(self, weight: float) -> float:
        """Return the mean number of attempts that one balancer may start at an endpoint in a window.

        The settings allow a mean of N = overload factor x `weight` x warm rate x window attempts at an
        endpoint. The endpoint fails if the attempts in a single window exceed the limit N + 2 sqrt(N) + 2,
        which allows for the variation of a Poisson count. The number of attempts that many independent
        balancers start is a Poisson count; with the mean m, its upper bound is m + z sqrt(m). The largest m
        whose bound is within the limit solves m + z sqrt(m) = limit, which gives
        sqrt(m) = sqrt(z^2/4 + limit) - z/2. The balancers that use the endpoint share m equally.

        If no more than two balancers use the endpoint, one attempt of each never exceeds the limit, which is
        at least 2.

        Args:
            weight: The weight of the endpoint times its warm-up fraction.
        """
        if self._balancers_per_endpoint <= 2:
            return 1.0
        allowed_mean = self._overload_factor * weight * self._warm_rate_per_ms * self._window_ms
        limit = allowed_mean + 2 * math.sqrt(allowed_mean) + 2
        sqrt_mean = math.sqrt(Z_SCORE**2 / 4 + limit) - Z_SCORE / 2
        return float(sqrt_mean**2) / self._balancers_per_endpoint

    def _update(self, now: float) -> None:
        """Recompute the warm rate and the unrestricted fraction if they are at least UPDATE_INTERVAL_MS old.

        The warm rate assumes that all balancers send requests at the same rate: it is this balancer's rate
        per unit of weight, times the number of balancers that use an endpoint. This balancer's rate is the
        rate at which its warm endpoints serve requests. After a restart this rate is too low at first. To
        compensate, the missing fraction is estimated from the time since the restart, and the same fraction
        of the arrival rate, spread evenly over the subset, is added. The lower bound of the warm rate is the
        median capacity: the rate of an endpoint that always has one attempt in flight.

        Without the arrival rate and the lower bound, balancers that have few requests or have restarted would
        estimate the capacity of an endpoint as nearly 0 and send no requests to warming endpoints.
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
        unlearned_fraction = (
            math.exp(-age_ms / capacity.time_constant_ms) if capacity.served_work_per_ms else 1.0
        )
        arrival_rate = unlearned_fraction * arrivals.long_term_rate_per_ms(now)
        own_rate = capacity.served_work_per_ms * len(subset) + arrival_rate
        rate = own_rate / sum(e.weight for e in subset) * self._balancers_per_endpoint
        self._warm_rate_per_ms = max(rate, capacity.median)
        self._unrestricted_fraction = self._compute_unrestricted_fraction(now)

    def _compute_unrestricted_fraction(self, now: float) -> float:
        """Return the fraction of the balancers that may select warming endpoints as freely as warm ones.

        Let W be the total weight of the warm endpoints of the subset, V that of the warming endpoints (each
        weight times the warm-up fraction), R the number of this balancer's requests in a window, and M the
        sum of the limits `_max_mean_starts`. An unrestricted balancer sends R V / (W + V) requests to warming
        endpoints, which is within M if W + V >= R V / M. If it is not, only a fraction u of the balancers
        uses each warming endpoint, and the warm endpoints receive the other requests: u solves
        u R V / (W + u V) = M. Without warm endpoints, a balancer sends all its requests to those of the n
        endpoints of the subset that it may use, if there are any, and u solves R (1 - (1 - u)^n) = M.

        The restriction prevents warming endpoints from receiving the load of removed warm endpoints or that
        of a burst. Outliers count neither as warm nor as warming, since they receive no requests.
        """
        warm_weight = warming_weight = summed_limits = 0.0
        subset = self._endpoints.subset
        for endpoint in subset:
            if is_outlier(endpoint):
                continue
            fraction = self._warmup.fraction(endpoint, now)
            if fraction < 1:
                warming_weight += endpoint.weight * fraction
                summed_limits += self._max_mean_starts(endpoint.weight * fraction)
            else:
                warm_weight += endpoint.weight
        requests = self._arrivals.short_term_rate_per_ms(now) * self._window_ms
        required_weight = requests * warming_weight / summed_limits if summed_limits else math.inf  # R V / M
        if warm_weight + warming_weight >= required_weight:
            return 1.0
        if warm_weight:
            return warm_weight / (required_weight - warming_weight)
        return float(1.0 - (1.0 - warming_weight / required_weight) ** (1 / len(subset)))
