"""Overload detection: compares the attempts in flight with capacity and with the sustainable concurrency.

docs/POLICY.md derives both limits and has the reasons for the constants.
"""

import math

from loadbalancer.policy.available_capacity import AvailableCapacity

MIN_IN_FLIGHT_PER_CAPACITY = 4.0
"""Limit on the attempts in flight of all balancers per unit of available capacity, for importance 0."""
MAX_IN_FLIGHT_PER_CAPACITY = 8.0
"""The same limit for importance 1.

With limits of 6 and 11, or 8 and 12, endpoints become slow and stay slow for tens of seconds. With lower
limits, fewer requests are served.
"""
MIN_LATENCY_INFLATION = 1.0
"""Limit on the latency inflation, the mean latency divided by the baseline service time, for importance 0."""
MAX_LATENCY_INFLATION = 1.8
"""The same limit for importance 1.

With limits of 0.8 and 1.2, or 1.0 and 2.6, fewer requests are served while the tier behind the endpoints is
overloaded.
"""
BURST_Z_SCORE = 1.0
"""Standard deviations above the limit at which a count is treated as a burst, not as a random peak."""
MIN_BURST_ATTEMPTS = 8
"""Minimum number of attempts in flight that can count as a burst.

With hundreds of balancers, the limit of each is less than one attempt, and the normal approximation of a
Poisson count does not hold there.
"""
MIN_SUSTAINABLE_PER_CAPACITY = 0.5
"""Attempts of all balancers per unit of available capacity that are sustainable even without evidence.

Otherwise an estimate that has decayed to zero would keep out the requests needed to renew it.
"""
AVERAGING_TIME_CONSTANT_MS = 1_000.0
"""Time constant, in ms, of the means over attempts.

It is longer than a request takes, and shorter than the time in which an overload makes endpoints slow.
"""
INITIAL_SUSTAINABLE_FRACTION = 0.25
"""Initial sustainable concurrency, before the first completion, as a fraction of its upper limit.

With a limit of 8 attempts per unit of capacity, it is two attempts per unit.
"""


class SustainableConcurrency:
    """Estimates how many attempts of this balancer the endpoints and the tiers behind them can sustain.

    By Little's law that is the completion rate times the service time without load. Each completed attempt
    adds its baseline service time divided by the time constant T, and the sum decays exponentially:

        concurrency(t) = sum over completions i of baseline_ms[i] / T * exp(-(t - t[i]) / T)

    The attempts in flight divided by this estimate are the latency inflation: the latency of an attempt as a
    multiple of its baseline service time. Assumes that the work of a completed attempt took its baseline
    service time.

    The estimate detects an overload behind the endpoints. Neither the endpoint list nor the limit by endpoint
    capacity covers the tiers behind them.
    """

    def __init__(self, available_capacity: AvailableCapacity) -> None:
        self._available_capacity = available_capacity
        # Must be finite: an infinite estimate would decay to NaN, and comparisons with NaN are always false.
        self._concurrency = 0.0
        self._updated_at = -math.inf

    def estimate(self, now: float) -> float:
        """Return the concurrency in attempts, at most this balancer's part of the limit for importance 1.

        A balancer without evidence begins at a fraction of the limit. Otherwise balancers that start together
        would use all of it before the first responses show the load.
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
    """Compares the attempts in flight with two limits: endpoint capacity and sustainable concurrency.

    This detects an overload of any cause (more requests, fewer endpoints, slower endpoints) before the
    endpoints slow down. Latency alone shows an overload too late, and where the work of requests varies
    widely, latency is high without any overload.
    """

    def __init__(self, available_capacity: AvailableCapacity) -> None:
        self._available_capacity = available_capacity
        self.sustainable_concurrency = SustainableConcurrency(available_capacity)
        self._mean_in_flight = 0.0  # exponential moving average of this balancer's attempts in flight
        self._updated_at = 0.0

    def is_overloaded(self, importance: float, now: float) -> bool:
        """Return whether to shed requests of an importance, from 0 (lowest) to 1 (highest)."""
        capacity = self._available_capacity.update(now)
        # Attempts at draining or unreachable endpoints are no load on those that can take requests.
        in_flight = sum(e.in_flight for e in self._available_capacity.reachable)
        self._update_mean(in_flight, now)
        return self._exceeds_capacity(in_flight, importance, capacity) or self._exceeds_sustainable(
            in_flight, importance, now
        )

    def _exceeds_capacity(self, in_flight: int, importance: float, capacity: float) -> bool:
        """Return whether all balancers together have more attempts in flight than endpoint capacity allows.

        Each other balancer is assumed to have this one's mean, not its current count: a random peak does not
        occur at all balancers at once. A burst that arrives at all of them is not in the mean yet, so a count
        above the Poisson bound of this balancer's part of the limit counts as an overload as well. Assumes
        that clients spread evenly over the balancers; one that has more than its part of them sheds load too
        early.
        """
        max_per_capacity = (
            MIN_IN_FLIGHT_PER_CAPACITY
            + (MAX_IN_FLIGHT_PER_CAPACITY - MIN_IN_FLIGHT_PER_CAPACITY) * importance
        )
        limit = max_per_capacity * capacity
        balancers = self._available_capacity.balancer_count.estimate
        total_in_flight = in_flight + self._mean_in_flight * (balancers - 1)
        return total_in_flight >= limit or _exceeds_poisson_bound(in_flight, limit / balancers)

    def _exceeds_sustainable(self, in_flight: int, importance: float, now: float) -> bool:
        """Return whether the latency inflation is too high for an importance.

        Both the current count and the mean must reach the limit: the count alone may be a random peak, and
        the mean alone may stem from attempts that have ended. As with the capacity limit, a count above the
        Poisson bound of the limit is sufficient by itself.
        """
        inflation = MIN_LATENCY_INFLATION + (MAX_LATENCY_INFLATION - MIN_LATENCY_INFLATION) * importance
        concurrency = self.sustainable_concurrency.estimate(now)
        min_sustainable = (
            MIN_SUSTAINABLE_PER_CAPACITY
            * self._available_capacity.weight
            / self._available_capacity.balancer_count.estimate
        )
        limit = inflation * (concurrency + min_sustainable)
        return min(in_flight, self._mean_in_flight) >= limit or _exceeds_poisson_bound(in_flight, limit)

    def _update_mean(self, in_flight: int, now: float) -> None:
        new_fraction = 1 - math.exp((self._updated_at - now) / AVERAGING_TIME_CONSTANT_MS)
        self._mean_in_flight += (in_flight - self._mean_in_flight) * new_fraction
        self._updated_at = now


def _exceeds_poisson_bound(count: int, mean: float) -> bool:
    """Return whether a count is too high for a Poisson variable with this mean.

    The standard deviation of a Poisson variable is the square root of its mean.
    """
    return count >= max(mean + BURST_Z_SCORE * math.sqrt(mean), MIN_BURST_ATTEMPTS)
