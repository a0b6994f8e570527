"""The evidence on one endpoint: work served, time spent there, and attempts lost by class.

All of it decays exponentially. The amounts are kept as of `updated_at` and brought to the present by
`EndpointStats.advance_to`, which each reader calls before it reads.
"""

import math
from collections import deque
from dataclasses import dataclass, field

from loadbalancer.endpoints import Endpoint

# Time constant, in ms, by which evidence decays: long enough to hold a few attempts at an endpoint, short
# enough that an ejected endpoint is selected again within seconds.
EVIDENCE_TIME_CONSTANT_MS = 6_000.0
# Age, in ms, at which a reader brings the evidence up to date; small against the time constant.
EVIDENCE_UPDATE_INTERVAL_MS = 20.0
# Upper bound of the lost attempts, and of the failed connects, that are remembered: it limits how long an
# endpoint that failed many attempts stays ejected.
MAX_FAILED_ATTEMPTS = 4.0


@dataclass(slots=True, eq=False, repr=False)
class EndpointStats:
    """One endpoint of the list, this replica's attempts there, and the evidence from them.

    Attributes:
        entry: Its entry in the endpoint list.
        updated_at: The time up to which the evidence is decayed.
        subset_rank: Random, from 0 to 1; the endpoints with the lowest ranks are this replica's subset.
        slow_start_rank: Random, from 0 to 1; the replicas with the lowest ones select the endpoint while it
            is in slow start.
        is_ready: Whether it takes requests, by the endpoint list.
        weight: Its relative capacity, by the endpoint list.
        in_flight: Attempts of this replica that are in flight there.
        served_work: Work served, in mean attempts; decays.
        busy_ms: Time that attempts spent there, summed over the attempts, those in flight included; decays.
        capacity_time_constant_ms: The time constant by which `served_work` and `busy_ms` decay.
        outcomes: By class, the attempts served and the attempts lost; both decay.
        connect_failures: Failed connects since an attempt last reached it; decays.
        last_used_at: When the last attempt ended, if it left its connection in working order; infinity
            otherwise, and before the first attempt.
        recent_starts: Start times of attempts while it is in slow start.
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
    capacity_time_constant_ms: float = EVIDENCE_TIME_CONSTANT_MS
    outcomes: dict[str, tuple[float, float]] = field(default_factory=dict)
    connect_failures: float = 0.0
    last_used_at: float = math.inf
    recent_starts: deque[float] = field(default_factory=deque)

    def reset(self, now: float) -> None:
        """Drop the evidence: a new process runs under this name."""
        self.served_work, self.busy_ms, self.updated_at = 0.0, 0.0, now
        self.outcomes, self.connect_failures = {}, 0.0

    def advance_to(self, now: float) -> None:
        """Bring the evidence up to date: decay all amounts, and add the time of attempts in flight.

        An attempt in flight adds its time as it passes, so an endpoint that does not respond loses capacity
        before its first attempt times out.
        """
        decay = math.exp((self.updated_at - now) / self.capacity_time_constant_ms)
        self.served_work *= decay
        self.busy_ms = self.busy_ms * decay + self.in_flight * (now - self.updated_at)
        decay = math.exp((self.updated_at - now) / EVIDENCE_TIME_CONSTANT_MS)
        self.outcomes = {
            name: (succeeded * decay, failed * decay) for name, (succeeded, failed) in self.outcomes.items()
        }
        self.connect_failures *= decay
        self.updated_at = now

    def record_outcome(self, class_name: str, succeeded: float, failed: float) -> None:
        """Count an attempt of a class as served, or the given fraction of it as lost.

        Above MAX_FAILED_ATTEMPTS both amounts are scaled down together, which keeps the fraction lost.
        """
        old_succeeded, old_failed = self.outcomes.get(class_name, (0.0, 0.0))
        succeeded, failed = old_succeeded + succeeded, old_failed + failed
        scale = min(MAX_FAILED_ATTEMPTS / failed, 1.0) if failed else 1.0
        self.outcomes[class_name] = succeeded * scale, failed * scale

    def record_connect_failure(self) -> None:
        """Count a connect that failed."""
        self.connect_failures = min(self.connect_failures + 1, MAX_FAILED_ATTEMPTS)
