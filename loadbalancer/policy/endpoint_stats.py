"""The statistics of one endpoint: served work, busy time, and succeeded and failed attempts by class.

The statistics decay exponentially. Their values are those at the time `updated_at`; callers advance them to
the present with `EndpointStats.advance_to` before reading them.
"""

import math
from collections import deque
from dataclasses import dataclass, field

from loadbalancer.endpoints import Endpoint

STATISTICS_TIME_CONSTANT_MS = 6_000.0
"""Time constant, in ms, of the exponential decay of the statistics.

It is long enough to cover a few attempts at an endpoint, and short enough that an ejected endpoint is
selected again within seconds. The statistics on capacity may decay more slowly.
"""
STATISTICS_UPDATE_INTERVAL_MS = 20.0
"""Age, in ms, at which statistics are advanced before being read; small compared with the time constant."""
MAX_FAILED_ATTEMPTS = 4.0
"""Upper bound of the decayed counts of failed attempts per class and of failed connects.

It limits how long an endpoint stays ejected after many failures.
"""


@dataclass(slots=True, eq=False, repr=False)
class EndpointStats:
    """An endpoint of the list, with the statistics of this balancer's attempts there.

    Attributes:
        entry: The entry of the endpoint in the endpoint list.
        updated_at: The time to which the statistics have been advanced.
        subset_rank: A random number from 0 to 1; the endpoints with the lowest ranks form this balancer's
            subset.
        slow_start_rank: A random number from 0 to 1; while the endpoint is in slow start, it is selected only
            by the balancers that have drawn the lowest ranks for it.
        is_ready: Whether the endpoint list marks the endpoint as ready.
        weight: The relative capacity according to the endpoint list.
        in_flight: The number of this balancer's attempts in flight at the endpoint.
        served_work: Work served, in units of the mean request; decays.
        busy_ms: Total time that attempts have spent at the endpoint, including those in flight; decays.
        capacity_time_constant_ms: The time constant with which `served_work` and `busy_ms` decay.
        outcomes: The numbers of succeeded and of failed attempts by class; both decay.
        connect_failures: The number of failed connects since an attempt last reached the endpoint; decays.
        last_used_at: When the last attempt ended, if its connection can be reused; otherwise, and before the
            first attempt, infinity.
        recent_starts: The start times of recent attempts during the endpoint's slow start.
    """

    entry: Endpoint
    updated_at: float
    subset_rank: float
    slow_start_rank: float
    is_ready: bool = False
    weight: float = 1.0
    in_flight: int = 0
    served_work: float = 0.0
    busy_ms: float = 0.0
    capacity_time_constant_ms: float = STATISTICS_TIME_CONSTANT_MS
    outcomes: dict[str, tuple[float, float]] = field(default_factory=dict)
    connect_failures: float = 0.0
    last_used_at: float = math.inf
    recent_starts: deque[float] = field(default_factory=deque)

    def reset(self, now: float) -> None:
        """Discard the statistics because a new process now runs under the endpoint's name."""
        self.served_work, self.busy_ms, self.updated_at = 0.0, 0.0, now
        self.outcomes, self.connect_failures = {}, 0.0

    def advance_to(self, now: float) -> None:
        """Advance the statistics to the present: decay all values, and add the time of attempts in flight.

        Attempts in flight add to the busy time continuously, so the estimated capacity of an unresponsive
        endpoint falls before the first attempt times out.
        """
        decay = math.exp((self.updated_at - now) / self.capacity_time_constant_ms)
        self.served_work *= decay
        self.busy_ms = self.busy_ms * decay + self.in_flight * (now - self.updated_at)
        decay = math.exp((self.updated_at - now) / STATISTICS_TIME_CONSTANT_MS)
        self.outcomes = {
            name: (succeeded * decay, failed * decay) for name, (succeeded, failed) in self.outcomes.items()
        }
        self.connect_failures *= decay
        self.updated_at = now

    def record_outcome(self, class_name: str, succeeded: float, failed: float) -> None:
        """Add to the numbers of succeeded and failed attempts of a class.

        If the number of failed attempts exceeds MAX_FAILED_ATTEMPTS, both numbers are scaled down by the same
        factor, which preserves their ratio.
        """
        old_succeeded, old_failed = self.outcomes.get(class_name, (0.0, 0.0))
        succeeded, failed = old_succeeded + succeeded, old_failed + failed
        scale = min(MAX_FAILED_ATTEMPTS / failed, 1.0) if failed else 1.0
        self.outcomes[class_name] = succeeded * scale, failed * scale

    def record_connect_failure(self) -> None:
        """Count a failed connect."""
        self.connect_failures = min(self.connect_failures + 1, MAX_FAILED_ATTEMPTS)
