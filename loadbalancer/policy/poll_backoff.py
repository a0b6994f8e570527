"""Exponential backoff for polls of the endpoint list while discovery can't be reached."""

import math
from random import Random

from loadbalancer.actions import Action, LogMessage, SetTimer
from loadbalancer.settings import Settings
from loadbalancer.timers import EndpointListTimer

INITIAL_BACKOFF_MS = 500.0
"""Backoff after the first failure, in milliseconds, before jitter; doubles with each further failure.

The backoff starts at the last poll that `PollBackoff` scheduled. At the first failure after a success, that
poll is normally long past, or there was none: the next poll then follows after MIN_DELAY_MS instead.
"""
MAX_BACKOFF_MS = 2_000.0
"""Maximum time between two polls, in milliseconds, before jitter; up to 3 s with jitter.

The operators require that balancers have the endpoint list within 6 s after discovery has become reachable.
"""
MIN_DELAY_MS = 250.0
"""Minimum time from a failure to the next poll, in milliseconds, before jitter.

It applies if less of the backoff than this remains at the failure. It is short because an update missed by a
watch request that got no response must be received within 2 s of the request's timeout.
"""
MAX_DOUBLINGS = 9
"""Maximum number of doublings of the backoff.

Without a maximum, 2 to the power of the number of failures would overflow a float in a long outage.
"""


class PollBackoff:
    """Schedules polls of the endpoint list while discovery can't be reached, and logs the outage."""

    def __init__(self, settings: Settings, random: Random) -> None:
        self._settings = settings
        self._random = random
        self._failure_count = 0
        self._next_poll_at = -math.inf

    def record_success(self) -> list[Action]:
        """Reset the backoff after an update from discovery; log the end of an outage."""
        if not self._failure_count:
            return []
        self._failure_count = 0
        return [LogMessage("endpoint list is reachable again")]

    def record_failure(self, now: float) -> list[Action]:
        """Set the timer for the next poll after a failed one; log the start of an outage."""
        actions: list[Action] = []
        if not self._failure_count:
            actions.append(LogMessage("endpoint list is unreachable; keeping the last one"))
        actions.append(SetTimer(self._next_poll_time(now), EndpointListTimer()))
        return actions

    def _next_poll_time(self, now: float) -> float:
        """Count a failed poll and return the time of the next poll.

        The backoff is measured from one poll to the next, not from a failure to the next poll: a poll that is
        slow to fail uses up part of the backoff. A random factor between 0.5 and 1.5 prevents the balancers
        from all polling discovery at the same time when it becomes reachable.
        """
        max_backoff_ms = min(MAX_BACKOFF_MS, self._settings.poll_deadline_ms / 3)
        backoff_ms = min(INITIAL_BACKOFF_MS * 2 ** min(self._failure_count, MAX_DOUBLINGS), max_backoff_ms)
        jitter = 0.5 + self._random.random()
        self._failure_count += 1
        earliest = now + min(MIN_DELAY_MS, backoff_ms) * jitter
        self._next_poll_at = max(min(self._next_poll_at, now) + backoff_ms * jitter, earliest)
        return self._next_poll_at
