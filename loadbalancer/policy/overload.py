"""Overload detection: compare the attempts in flight with capacity and with what completions sustain.

docs/POLICY.md derives both limits and has the reasons for the constants.
"""

import math

from loadbalancer.policy.available_capacity import AvailableCapacity

# Limit on the attempts in flight of all replicas per unit of available capacity, for importance 0 and 1.
# At 6 and 11, or 8 and 12, endpoints became slow and stayed so for tens of seconds; lower pairs served less.
MIN_IN_FLIGHT_PER_CAPACITY = 4.0
MAX_IN_FLIGHT_PER_CAPACITY = 8.0
# Limit on the latency inflation (mean latency over baseline service time), for importance 0 and 1.
# Both 0.8 to 1.2 and 1.0 to 2.6 served less while the tier behind the endpoints was overloaded.
MIN_LATENCY_INFLATION = 1.0
MAX_LATENCY_INFLATION = 1.8
# Standard deviations of a Poisson count above its limit at which the count is a burst, not a random peak.
BURST_Z_SCORE = 1.0
# Attempts: fewer in flight are never a burst. One of hundreds of replicas has a limit of less than one
# attempt, for which the normal approximation of a Poisson count does not hold.
MIN_BURST_ATTEMPTS = 8
# Attempts per unit of available capacity, over all replicas, that count as sustainable without evidence:
# an estimate that has decayed to zero must not stop the requests that would renew it.
MIN_SUSTAINABLE_PER_CAPACITY = 0.5
# Time constant, in ms, of the means over attempts: longer than a request takes, shorter than the time in
# which an overload makes endpoints slow.
AVERAGING_TIME_CONSTANT_MS = 1_000.0
# Fraction of the largest sustainable concurrency that the estimate starts from, before the first completion:
# with a limit of 8 attempts per unit of capacity, two attempts for each unit.
INITIAL_SUSTAINABLE_FRACTION = 0.25


class SustainableConcurrency:
    """Estimates how many attempts of this replica the endpoints, and all behind them, can sustain.

    By Little's law that is the completion rate times the service time without load. Each completed attempt
    adds its baseline service time over the time constant T, and the sum decays exponentially:

        concurrency(t) = sum over completions i of baseline_ms[i] / T * exp(-(t - t[i]) / T)

    The attempts in flight divided by this estimate are the latency inflation: how many times its baseline
    service time an attempt takes. Assumes that a completed attempt cost its baseline service time.

    Guards against overload behind the endpoints: a tier that only they call shows neither in the endpoint
    list nor in the limit by the endpoints' capacity.
    """

    def __init__(self, available: AvailableCapacity) -> None:
        self._available = available
        # Finite from the start: an infinite estimate would decay to NaN, which limits nothing.
        self._concurrency = 0.0
        self._updated_at = -math.inf

    def estimate(self, now: float) -> float:
        """Return the concurrency in attempts, at most this replica's part of the largest capacity limit.

        Guards against replicas that start together: a replica without evidence begins at a fraction of the
        limit, since all of them would otherwise fill it before the first responses show the load.
        """
        limit = (
            MAX_IN_FLIGHT_PER_CAPACITY * self._available.update(now) / self._available.balancer_count.estimate
        )
        if self._updated_at == -math.inf:
            self._concurrency = INITIAL_SUSTAINABLE_FRACTION * limit
        else:
            decay = math.exp((self._updated_at - now) / AVERAGING_TIME_CONSTANT_MS)
            self._concurrency = min(self._concurrency * decay, limit)
        self._updated_at = now
        return self._concurrency

    def record_completion(self, baseline_ms: float, now: float) -> None:
        """Count an attempt that succeeded, by its service time without load."""
        self._concurrency = self.estimate(now) + baseline_ms / AVERAGING_TIME_CONSTANT_MS


class OverloadDetector:
    """Compares the attempts in flight with two limits: endpoint capacity and sustainable concurrency.

    Guards against overload of any cause (more requests, fewer endpoints, slower endpoints) before endpoints
    slow down. Latency alone shows it too late, and where the work of requests varies widely latency is high
    without any overload.
    """

    def __init__(self, available: AvailableCapacity) -> None:
        self._available = available
        self.sustainable_concurrency = SustainableConcurrency(available)
        self._mean_in_flight = 0.0  # of this replica's attempts; an exponentially decaying mean
        self._updated_at = 0.0

    def is_overloaded(self, importance: float, now: float) -> bool:
        """Return whether work of this importance, from 0 (least) to 1 (most), is to be shed."""
        capacity = self._available.update(now)
        # Attempts at draining or unreachable endpoints put no load on those that can take requests.
        in_flight = sum(e.in_flight for e in self._available.reachable)
        self._update_mean(in_flight, now)
        return self._exceeds_capacity(in_flight, importance, capacity) or self._exceeds_sustainable(
            in_flight, importance, now
        )

    def _exceeds_capacity(self, in_flight: int, importance: float, capacity: float) -> bool:
        """Return whether all replicas together have more attempts in flight than the endpoints can hold.

        Each other replica is estimated to have this one's mean. The momentary count is one random sample: the
        others do not have the same peak at the same time. A burst that all replicas get has not reached the
        mean yet, so a count above the Poisson bound of this replica's part of the limit is an overload.
        Assumes that clients spread evenly over the replicas; a replica with more than its part of them
        sheds load too early.
        """
        per_capacity = (
            MIN_IN_FLIGHT_PER_CAPACITY
            + (MAX_IN_FLIGHT_PER_CAPACITY - MIN_IN_FLIGHT_PER_CAPACITY) * importance
        )
        limit = per_capacity * capacity
        replicas = self._available.balancer_count.estimate
        all_in_flight = in_flight + self._mean_in_flight * (replicas - 1)
        return all_in_flight >= limit or _exceeds_poisson_bound(in_flight, limit / replicas)

    def _exceeds_sustainable(self, in_flight: int, importance: float, now: float) -> bool:
        """Return whether attempts take too many times their baseline service time.

        The momentary count and the mean must both exceed the limit: a count above it alone may be a random
        peak, a mean above it alone belongs to attempts that have ended. A count above the Poisson bound of
        the limit is an overload by itself, as for the limit by capacity.
        """
        inflation = MIN_LATENCY_INFLATION + (MAX_LATENCY_INFLATION - MIN_LATENCY_INFLATION) * importance
        concurrency = self.sustainable_concurrency.estimate(now)
        floor = (
            MIN_SUSTAINABLE_PER_CAPACITY * self._available.weight / self._available.balancer_count.estimate
        )
        limit = inflation * (concurrency + floor)
        return min(in_flight, self._mean_in_flight) >= limit or _exceeds_poisson_bound(in_flight, limit)

    def _update_mean(self, in_flight: int, now: float) -> None:
        new_fraction = 1 - math.exp((self._updated_at - now) / AVERAGING_TIME_CONSTANT_MS)
        self._mean_in_flight += (in_flight - self._mean_in_flight) * new_fraction
        self._updated_at = now


def _exceeds_poisson_bound(count: int, mean: float) -> bool:
    """Return whether a count is too high for a Poisson variable of this mean.

    The standard deviation of a Poisson count is the square root of its mean.
    """
    return count >= max(mean + BURST_Z_SCORE * math.sqrt(mean), MIN_BURST_ATTEMPTS)
