"""Overload detection by our own open attempts, compared with capacity and with completions."""

import math

from loadbalancer.policy.available_capacity import AvailableCapacity

# Open attempts for each unit of available capacity at which the least and the most important work is shed.
OVERLOAD_MIN_ATTEMPTS = 4.0
OVERLOAD_MAX_ATTEMPTS = 8.0
# So many open attempts of ours are no burst: one balancer of hundreds has them by chance.
MIN_BURST_ATTEMPTS = 8
# How many baseline service times attempts may take: for the least and for the most important work.
LATENCY_INFLATION_MIN = 1.0
LATENCY_INFLATION_MAX = 1.8
# Attempts for each unit of available capacity taken as completed without evidence, over all balancers.
MIN_COMPLETIONS = 0.5
# Attempts are averaged over this: longer than a request takes, shorter than endpoints bear an overload.
OVERLOAD_MEMORY_MS = 1_000.0
# Of the bound for the most important work (two attempts an endpoint) taken as completed before the first is.
INITIAL_COMPLETION_FRACTION = 0.25


class CompletionRate:
    """The attempts that would be open, were those served of late as quick as their baseline.

    Guards against overload behind the endpoints, whatever they hold themselves: open attempts over this tell
    how many times longer than the baseline they take. A balancer knows nothing at its start, and hundreds
    start at once: were all that the bound lets in taken as completed, endpoints would be overloaded before
    the first responses tell.
    """

    def __init__(self, available: AvailableCapacity) -> None:
        self._available = available
        self._attempts = 0.0
        self._updated_at = -math.inf

    def reset(self, attempts: float, now: float) -> None:
        """Take `attempts` as what was completed up to `now`."""
        self._attempts = attempts
        self._updated_at = now

    def current(self, now: float) -> float:
        """The rate in open attempts, faded to `now` and held to our part of the bound."""
        bound = OVERLOAD_MAX_ATTEMPTS * self._available.update(now) / self._available.peers.count
        if self._updated_at == -math.inf:
            self._attempts = INITIAL_COMPLETION_FRACTION * bound
        else:
            fade = math.exp((self._updated_at - now) / OVERLOAD_MEMORY_MS)
            self._attempts = min(self._attempts * fade, bound)
        self._updated_at = now
        return self._attempts

    def record(self, baseline_ms: float, now: float) -> None:
        """Count a served attempt by the time that it takes without load."""
        self._attempts = self.current(now) + baseline_ms / OVERLOAD_MEMORY_MS


class OverloadDetector:
    """Compares the open attempts with what the endpoints can hold."""

    def __init__(self, available: AvailableCapacity) -> None:
        self._available = available
        self.completions = CompletionRate(available)
        self._mean_open = 0.0
        self._updated_at = 0.0

    def is_overloaded(self, importance: float, now: float) -> bool:
        """Whether too many attempts are open for work of this importance, from 0 to 1.

        Guards against overload whatever its cause (too many requests, lost endpoints, slow ones) before the
        endpoints slow down: late responses come too late to tell, and work of widely varying size looks late
        without an overload. The open attempts of all balancers are judged by ours: each of the others is held
        to have our mean, since what we have by chance at this moment they have not; a burst that all get
        passes no chance (a square root). It harms where clients spread unevenly over the balancers.
        """
        bound = OVERLOAD_MIN_ATTEMPTS + (OVERLOAD_MAX_ATTEMPTS - OVERLOAD_MIN_ATTEMPTS) * importance
        bound *= self._available.update(now)
        # Attempts elsewhere put no load on the endpoints that are left.
        open_attempts = sum(e.in_flight for e in self._available.reachable)
        self._update_mean(open_attempts, now)
        peers = self._available.peers.count
        if open_attempts + self._mean_open * (peers - 1) >= bound or _is_burst(open_attempts, bound / peers):
            return True
        # A tier behind the endpoints shows neither in their number nor in their list, but in their responses.
        inflation = LATENCY_INFLATION_MIN + (LATENCY_INFLATION_MAX - LATENCY_INFLATION_MIN) * importance
        completions = self.completions.current(now)
        bound = inflation * (completions + MIN_COMPLETIONS * self._available.weight / peers)
        return min(open_attempts, self._mean_open) >= bound or _is_burst(open_attempts, bound)

    def _update_mean(self, open_attempts: int, now: float) -> None:
        new_fraction = 1 - math.exp((self._updated_at - now) / OVERLOAD_MEMORY_MS)
        self._mean_open += (open_attempts - self._mean_open) * new_fraction
        self._updated_at = now


def _is_burst(open_attempts: int, bound: float) -> bool:
    """Whether so many attempts are open that chance (a square root) does not explain them."""
    return open_attempts >= max(bound + math.sqrt(bound), MIN_BURST_ATTEMPTS)
