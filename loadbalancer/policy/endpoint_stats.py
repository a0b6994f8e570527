"""The evidence on one endpoint: attempts served, time spent there, and attempts lost by class."""

import math
from collections import deque
from dataclasses import dataclass, field

from loadbalancer.endpoints import Endpoint

# Evidence fades by 1/e over this: long enough for a few attempts, short enough to recover.
EVIDENCE_TIME_CONSTANT_MS = 6_000.0
# Those who read the evidence bring it up to date in steps of this; it only saves work.
UPDATE_INTERVAL_MS = 20.0
# More lost attempts than this are not remembered, so that an ejected endpoint is tried again within seconds.
MAX_LOST_ATTEMPTS = 4.0


@dataclass(slots=True, eq=False, repr=False)
class EndpointStats:
    """One endpoint: its list entry, our attempts there and the evidence on its capacity."""

    entry: Endpoint  # what the list says of it
    updated_at: float  # the moment that the evidence stands at
    rank: float  # drawn once; the endpoints with the lowest ranks make up the subset
    slow_start_rank: float  # from 0 to 1; the balancers with the lowest call it in its slow start
    is_ready: bool = False
    weight: float = 1.0  # as registered
    in_flight: int = 0  # our open attempts there
    served: float = 0.0  # work served of late, in mean attempts
    busy_ms: float = 0.0  # time that our attempts spent there of late, summed over the attempts
    capacity_time_constant_ms: float = (
        EVIDENCE_TIME_CONSTANT_MS  # `served` and `busy_ms` fade by 1/e over this
    )
    outcomes: dict[str, tuple[float, float]] = field(default_factory=dict)  # served and lost, by class
    connect_failures: float = 0.0  # since it last responded; they fade, too
    last_used_at: float = math.inf  # when a connection to it was last given back in working order
    recent_starts: deque[float] = field(default_factory=deque)  # of attempts during its slow start

    def reset(self, now: float) -> None:
        """Drop the evidence: the process behind the name is a new one."""
        self.served, self.busy_ms, self.updated_at = 0.0, 0.0, now
        self.outcomes, self.connect_failures = {}, 0.0

    def catch_up(self, now: float) -> None:
        """Bring the evidence to `now`: open attempts add time, and all of it fades."""
        fade = math.exp((self.updated_at - now) / self.capacity_time_constant_ms)
        self.served *= fade
        self.busy_ms = self.busy_ms * fade + self.in_flight * (now - self.updated_at)
        fade = math.exp((self.updated_at - now) / EVIDENCE_TIME_CONSTANT_MS)
        self.outcomes = {name: (served * fade, lost * fade) for name, (served, lost) in self.outcomes.items()}
        self.connect_failures *= fade
        self.updated_at = now

    def record_outcome(self, class_name: str, served: float, lost: float) -> None:
        """Count an attempt, or the parts of it that were served and lost, by its class."""
        old_served, old_lost = self.outcomes.get(class_name, (0.0, 0.0))
        served, lost = old_served + served, old_lost + lost
        scale = min(MAX_LOST_ATTEMPTS / lost, 1.0) if lost else 1.0
        self.outcomes[class_name] = served * scale, lost * scale

    def record_connect_failure(self) -> None:
        """Count a connect that failed."""
        self.connect_failures = min(self.connect_failures + 1, MAX_LOST_ATTEMPTS)
