"""The timing of requests to discovery: the wait of a watch request, and the retry delay of a failed request.

A watch request waits at discovery until the endpoint list changes, or until its wait has ended. Where
discovery is polled, the policy decides when to retry a failed request, except shortly after a switch to
another discovery service. Where an agent pushes endpoint lists, the watch itself retries failed requests.

The times meet these limits:

- Where lists are pushed, a list must be received within 6 s of the time when the agent has it.
- A change that an unresponsive watch request misses must be received within 2 s of the end of its wait.
- After a switch to another discovery service, its list must be received within 4 s.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

WATCH_WAIT_MS = 10_000
"""Maximum wait of a watch request where discovery is polled; a change of the list ends the wait at once.

On a connection that is open but dead, for example after a network partition, changes of the list go unnoticed
until the wait has ended. Much shorter waits would overload discovery with the requests of many balancers.
"""

PUSH_WATCH_WAIT_MS = 3_000
"""Maximum wait of a watch request where lists are pushed.

A list must be received within 6 s of the time when the agent has it, even if a watch request gets no
response.
"""

RECOVERY_WAIT_MS = 1_500
"""Maximum wait of a watch request after a failed request, so that a missing response is noticed soon."""

WAIT_JITTER = 0.2
"""Maximum fraction by which a wait is shortened at random.

Keeps balancers that start at the same time from sending their requests at the same time.
"""

PUSH_RETRY_DELAY_S = 0.1
"""Delay of a retry after two or more consecutive failures, where lists are pushed."""

SWITCH_PERIOD_S = 4.0
"""Time after a switch to another discovery service (SIGHUP) within which its list must be received."""

SWITCH_RETRY_DELAY_S = 0.5
"""Mean delay of a retry within `SWITCH_PERIOD_S` after a switch, where discovery is polled."""


class RetrySchedule:
    """Computes waits and retry delays; the state of the watch is passed in.

    Args:
        draw: Returns a random number, uniform in [0, 1).
        polls_discovery: Whether discovery is polled; otherwise an agent pushes lists.
    """

    __slots__ = ("_draw", "_polls_discovery")

    def __init__(self, draw: Callable[[], float], *, polls_discovery: bool) -> None:
        self._draw = draw
        self._polls_discovery = polls_discovery

    def watch_wait_s(self, consecutive_failures: int) -> float:
        """Return the wait of the next watch request in seconds.

        Args:
            consecutive_failures: The number of requests that have failed since the last successful one.
        """
        wait_ms = WATCH_WAIT_MS if self._polls_discovery else PUSH_WATCH_WAIT_MS
        if consecutive_failures:
            # Discovery may accept requests without responding to them. A request that it received just before
            # it recovered must time out early enough for a retry to receive the list in time.
            wait_ms = min(wait_ms, RECOVERY_WAIT_MS)
        return wait_ms / 1000 * (1 - WAIT_JITTER * self._draw())

    def retry_delay_s(
        self, consecutive_failures: int, started_at_s: float, switched_at_s: float
    ) -> float | None:
        """Return the delay in seconds before the retry of a failed request.

        Args:
            consecutive_failures: The number of requests that have failed since the last successful one,
                including this one.
            started_at_s: When the failed request started.
            switched_at_s: When the watch last switched to another discovery service, on the same clock;
                minus infinity if it never did.

        Returns:
            The delay; None if the policy decides when to retry.
        """
        if not self._polls_discovery:
            # The list must be received in time even if connections to the agent break, so the first failed
            # request is retried at once.
            return PUSH_RETRY_DELAY_S if consecutive_failures > 1 else 0.0
        if started_at_s < switched_at_s + SWITCH_PERIOD_S:
            # The policy's backoff would count the failures before the switch. Besides, a timer that the
            # policy set before the switch may still be pending; if the policy set a second timer now, both
            # would start watches. The earlier timer has fired by the end of this period.
            return SWITCH_RETRY_DELAY_S * (0.5 + self._draw())
        return None
