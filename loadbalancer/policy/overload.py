"""Overload detection: compares the attempts in flight with capacity and with the sustainable concurrency.

docs/POLICY.md derives both limits and has the reasons for the constants.
"""

import math

from loadbalancer.policy.available_capacity import AvailableCapacity

MIN_IN_FLIGHT_PER_CAPACITY = 4.0
"""Limit on all balancers' attempts in flight per unit of available capacity, for requests of importance 0."""
MAX_IN_FLIGHT_PER_CAPACITY = 8.0
"""The same limit for importance 1.

With limits of 6 (importance 0) and 11 (importance 1), or 8 and 12, endpoints become slow and stay slow for
tens of seconds. With lower limits, fewer requests are served.
"""
MIN_LATENCY_INFLATION = 1.0
"""Limit on the latency inflation for requests of importance 0, the lowest.

The latency inflation is the mean latency divided by the baseline service time.
"""
MAX_LATENCY_INFLATION = 1.8
"""The same limit for importance 1.

With limits of 0.8 (importance 0) and 1.2 (importance 1), or 1.0 and 2.6, fewer requests are served while
the tier behind the endpoints is overloaded.
"""
BURST_Z_SCORE = 1.0
"""A count this many standard deviations above the limit is treated as a burst, not as a random peak."""
MIN_BURST_ATTEMPTS = 8
"""Minimum number of attempts in flight that can count as a burst.

With hundreds of balancers, the limit of each is less than one attempt, and the normal approximation of a
Poisson count is not valid for such a small mean.
"""
MIN_SUSTAINABLE_PER_CAPACITY = 0.5
"""Number of all balancers' attempts per unit of available capacity that is always considered sustainable.

Without this minimum, an estimate that has decayed to zero would remain there: all requests would be shed, and
none could complete to raise it.
"""
AVERAGING_TIME_CONSTANT_MS = 1_000.0
"""Time constant, in ms, of the mean of the attempts in flight and of the sustainable concurrency.

It is longer than the duration of a request, and shorter than the time in which an overload slows endpoints.
"""
INITIAL_SUSTAINABLE_FRACTION = 0.25
"""Initial sustainable concurrency, before the first completion, as a fraction of its upper limit.

With an upper limit of 8 attempts per unit of capacity, the initial value is two attempts per unit.
"""


class SustainableConcurrency:
    """Estimates how many attempts of this balancer the endpoints and the tiers behind them can sustain.

    By Little's law this number is the completion rate times the baseline service time, the service time
    without load. Each completed attempt adds its baseline service time divided by the time constant T, and
    the sum decays exponentially:

        concurrency(t) = sum over completions i of baseline_ms[i] / T * exp(-(t - t[i]) / T)

    The number of attempts in flight divided by this estimate is the latency inflation: the mean latency as a
    multiple of the baseline service time. The estimate assumes that, without load, each completed attempt
    would have taken its baseline service time.

    The estimate detects an overload of the tiers behind the endpoints, which neither the endpoint list nor
    the limit on attempts per unit of endpoint capacity shows.
    """

    def __init__(self, available_capacity: AvailableCapacity) -> None:
        self._available_capacity = available_capacity
        # Must be finite: an infinite estimate would decay to NaN, and comparisons with NaN are always false.
        self._concurrency = 0.0
        self._updated_at = -math.inf

    def estimate(self, now: float) -> float:
        """Return the estimate, capped at this balancer's share of the capacity limit for importance 1.

        Before the first completion, the estimate is a fraction of this limit. If new balancers began with
        the full limit, balancers that start together would use it up before the first responses show an
        overload.
        """
        limit = (
            MAX_IN_FLIGHT_PER_CAPACITY
            * self._available_capacity.update(now)
            / self._available_capacity.balancer_count.estimate
        )
        if self._updated_at == -math.inf:
            self._concurrency = INITIAL_SUSTAINABLE_FRACTION * limit
        else:
            decay = math.exp((self._updated_at - now) / AVERAGING_TIME_CONSTANT_MS)
            self._concurrency = min(self._concurrency * decay, limit)
        self._updated_at = now
        return self._concurrency

    def record_completion(self, baseline_ms: float, now: float) -> None:
        """Count a successful attempt, given its service time without load."""
        self._concurrency = self.estimate(now) + baseline_ms / AVERAGING_TIME_CONSTANT_MS


class OverloadDetector:
    """Compares the attempts in flight with a capacity limit and with the sustainable concurrency.

    This detects an overload of any cause (more requests, fewer endpoints, slower endpoints) before the
    endpoints slow down. Latency alone shows an overload too late, and if the work of requests varies widely,
    latency is high for some requests without any overload.
    """

    def __init__(self, available_capacity: AvailableCapacity) -> None:
        self._available_capacity = available_capacity
        self.sustainable_concurrency = SustainableConcurrency(available_capacity)
        self._mean_in_flight = 0.0  # exponential moving average of this balancer's attempts in flight
        self._updated_at = 0.0

    def is_overloaded(self, importance: float, now: float) -> bool:
        """Return whether to shed requests of the given importance, from 0 (lowest) to 1 (highest)."""
        capacity = self._available_capacity.update(now)
        # Attempts at draining or unreachable endpoints add no load to the reachable ones.
        in_flight = sum(e.in_flight for e in self._available_capacity.reachable)
        self._update_mean(in_flight, now)
        return self._exceeds_capacity(in_flight, importance, capacity) or self._exceeds_sustainable(
            in_flight, importance, now
        )

    def _exceeds_capacity(self, in_flight: int, importance: float, capacity: float) -> bool:
        """Return whether the attempts in flight of all balancers together reach the capacity limit.

        Each other balancer is assumed to have this balancer's mean number of attempts in flight, not its
        current number: a random peak does not occur at all balancers at once. A burst that arrives at all
        balancers is not yet visible in the mean, so the current number also counts as an overload if it
        reaches the Poisson bound for this balancer's share of the limit. This assumes that clients spread
        evenly over the balancers; a balancer that receives more requests than the others sheds load too
        early.
        """
        max_per_capacity = (
            MIN_IN_FLIGHT_PER_CAPACITY
            + (MAX_IN_FLIGHT_PER_CAPACITY - MIN_IN_FLIGHT_PER_CAPACITY) * importance
        )
        limit = max_per_capacity * capacity
        balancer_count = self._available_capacity.balancer_count.estimate
        total_in_flight = in_flight + self._mean_in_flight * (balancer_count - 1)
        return total_in_flight >= limit or _exceeds_poisson_bound(in_flight, limit / balancer_count)

    def _exceeds_sustainable(self, in_flight: int, importance: float, now: float) -> bool:
        """Return whether the latency inflation is too high for requests of the given importance.

        Both the current number of attempts in flight and its mean must reach the limit: the current number
        alone may be a random peak, and the mean alone may stem from attempts that have ended. As with the
        capacity limit, a current number that reaches the Poisson bound for the limit is sufficient by itself.
        """
        max_inflation = MIN_LATENCY_INFLATION + (MAX_LATENCY_INFLATION - MIN_LATENCY_INFLATION) * importance
        concurrency = self.sustainable_concurrency.estimate(now)
        min_sustainable = (
            MIN_SUSTAINABLE_PER_CAPACITY
            * self._available_capacity.weight
            / self._available_capacity.balancer_count.estimate
        )
        limit = max_inflation * (concurrency + min_sustainable)
        return min(in_flight, self._mean_in_flight) >= limit or _exceeds_poisson_bound(in_flight, limit)

    def _update_mean(self, in_flight: int, now: float) -> None:
        new_fraction = 1 - math.exp((self._updated_at - now) / AVERAGING_TIME_CONSTANT_MS)
        self._mean_in_flight += (in_flight - self._mean_in_flight) * new_fraction
        self._updated_at = now


def _exceeds_poisson_bound(count: int, mean: float) -> bool:
    """Return whether a count is too high to be a random peak of a Poisson variable with the given mean.

    The standard deviation of a Poisson variable is the square root of its mean.
    """
    return count >= max(mean + BURST_Z_SCORE * math.sqrt(mean), MIN_BURST_ATTEMPTS)
