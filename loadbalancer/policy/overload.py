"""Overload detection by our own open attempts, compared with capacity and with sustainable."""

import math

from loadbalancer.policy.available_capacity import AvailableCapacity

# Open attempts for each unit of available capacity at which the least and the most important work is shed.
MIN_IN_FLIGHT_PER_CAPACITY = 4.0
MAX_IN_FLIGHT_PER_CAPACITY = 8.0
# So many open attempts of ours are no burst: one balancer of hundreds has them by chance.
MIN_BURST_ATTEMPTS = 8
# How many baseline service times attempts may take: for the least and for the most important work.
MIN_LATENCY_INFLATION = 1.0
MAX_LATENCY_INFLATION = 1.8
# Attempts for each unit of available capacity taken as completed without evidence, over all balancers.
MIN_SUSTAINABLE_PER_CAPACITY = 0.5
# Attempts are averaged over this: longer than a request takes, shorter than endpoints bear an overload.
AVERAGING_TIME_CONSTANT_MS = 1_000.0
# Of the bound for the most important work (two attempts an endpoint) taken as completed before the first is.
INITIAL_SUSTAINABLE_FRACTION = 0.25


class SustainableConcurrency:
    """The attempts that would be open, were those served of late as quick as their baseline.

    Guards against overload behind the endpoints, whatever they hold themselves: open attempts over this tell
    how many times longer than the baseline they take. A balancer knows nothing at its start, and hundreds
    start at once: were all that the bound lets in taken as completed, endpoints would be overloaded before
    the first responses tell.
    """

    def __init__(self, available: AvailableCapacity) -> None:
        self._available = available
        self._concurrency = 0.0
        self._updated_at = -math.inf

    def reset(self, attempts: float, now: float) -> None:
        """Take `attempts` as what was completed up to `now`."""
        self._concurrency = attempts
        self._updated_at = now

    def current(self, now: float) -> float:
        """The rate in open attempts, faded to `now` and held to our part of the bound."""
        bound = MAX_IN_FLIGHT_PER_CAPACITY * self._available.update(now) / self._available.peers.count
        if self._updated_at == -math.inf:
            self._concurrency = INITIAL_SUSTAINABLE_FRACTION * bound
        else:
            fade = math.exp((self._updated_at - now) / AVERAGING_TIME_CONSTANT_MS)
            self._concurrency = min(self._concurrency * fade, bound)
        self._updated_at = now
        return self._concurrency

    def record(self, baseline_ms: float, now: float) -> None:
        """Count a served attempt by the time that it takes without load."""
        self._concurrency = self.current(now) + baseline_ms / AVERAGING_TIME_CONSTANT_MS


class OverloadDetector:
    """Compares the open attempts with what the endpoints can hold."""

    def __init__(self, available: AvailableCapacity) -> None:
        self._available = available
        self.sustainable = SustainableConcurrency(available)
        self._mean_in_flight = 0.0
        self._updated_at = 0.0

    def is_overloaded(self, importance: float, now: float) -> bool:
        """Whether too many attempts are open for work of this importance, from 0 to 1.

        Guards against overload whatever its cause (too many requests, lost endpoints, slow ones) before the
        endpoints slow down: late responses come too late to tell, and work of widely varying size looks late
        without an overload. The open attempts of all balancers are judged by ours: each of the others is held
        to have our mean, since what we have by chance at this moment they have not; a burst that all get
        passes no chance (a square root). It harms where clients spread unevenly over the balancers.
        """
        bound = (
            MIN_IN_FLIGHT_PER_CAPACITY
            + (MAX_IN_FLIGHT_PER_CAPACITY - MIN_IN_FLIGHT_PER_CAPACITY) * importance
        )
        bound *= self._available.update(now)
        # Attempts elsewhere put no load on the endpoints that are left.
        in_flight = sum(e.in_flight for e in self._available.reachable)
        self._update_mean(in_flight, now)
        peers = self._available.peers.count
        if in_flight + self._mean_in_flight * (peers - 1) >= bound or _exceeds_poisson_bound(
            in_flight, bound / peers
        ):
            return True
        # A tier behind the endpoints shows neither in their number nor in their list, but in their responses.
        inflation = MIN_LATENCY_INFLATION + (MAX_LATENCY_INFLATION - MIN_LATENCY_INFLATION) * importance
        sustainable = self.sustainable.current(now)
        bound = inflation * (sustainable + MIN_SUSTAINABLE_PER_CAPACITY * self._available.weight / peers)
        return min(in_flight, self._mean_in_flight) >= bound or _exceeds_poisson_bound(in_flight, bound)

    def _update_mean(self, in_flight: int, now: float) -> None:
        new_fraction = 1 - math.exp((self._updated_at - now) / AVERAGING_TIME_CONSTANT_MS)
        self._mean_in_flight += (in_flight - self._mean_in_flight) * new_fraction
        self._updated_at = now


def _exceeds_poisson_bound(in_flight: int, bound: float) -> bool:
    """Whether so many attempts are open that chance (a square root) does not explain them."""
    return in_flight >= max(bound + math.sqrt(bound), MIN_BURST_ATTEMPTS)
