"""When the endpoint list is asked for again after a failure."""

import math
from random import Random

from loadbalancer.actions import Action, LogMessage, SetTimer
from loadbalancer.settings import Settings
from loadbalancer.timers import EndpointListTimer

POLL_BACKOFF_MS = 500.0  # from one poll to the next, doubled at each failure
MAX_POLL_BACKOFF_MS = 2_000.0  # at the most: what is new when discovery is back counts as told after 6 s
# After a failure at the least: what a silent watch missed counts 2 s after its wait.
MIN_POLL_PAUSE_MS = 250.0
MAX_DOUBLINGS = 9  # more doublings make no difference and would overflow in a long outage


class PollBackoff:
    """The pause between polls of the endpoint list while discovery is out of reach."""

    def __init__(self, settings: Settings, random: Random) -> None:
        self._settings = settings
        self._random = random
        self._failures = 0
        self._next_poll_at = -math.inf

    def record_success(self) -> list[Action]:
        """Reset the backoff after an update from discovery; log the end of an outage once."""
        if not self._failures:
            return []
        self._failures = 0
        return [LogMessage("endpoint list is reachable again")]

    def record_failure(self, now: float) -> list[Action]:
        """Set the timer of the next poll after a failed one; log the start of an outage once."""
        actions: list[Action] = []
        if not self._failures:
            actions.append(LogMessage("endpoint list is unreachable; keeping the last one"))
        actions.append(SetTimer(self._next_poll_time(now), EndpointListTimer()))
        return actions

    def _next_poll_time(self, now: float) -> float:
        """Count a failed poll and return when to poll again: not all balancers at the same moment.

        What grows is the time from poll to poll: one that was slow to fail has been pause enough.
        """
        max_pause_ms = min(MAX_POLL_BACKOFF_MS, self._settings.poll_deadline_ms / 3)
        pause = min(POLL_BACKOFF_MS * 2 ** min(self._failures, MAX_DOUBLINGS), max_pause_ms)
        jitter = 0.5 + self._random.random()
        self._failures += 1
        earliest = now + min(MIN_POLL_PAUSE_MS, pause) * jitter
        self._next_poll_at = max(min(self._next_poll_at, now) + pause * jitter, earliest)
        return self._next_poll_at
