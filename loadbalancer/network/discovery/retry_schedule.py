"""Timing of requests to discovery: the wait time of watch requests, and the delay before a retry.

A watch request states a wait time. Discovery responds to it (long polling) when the endpoint list changes, or
when the wait time has passed. If discovery is polled, the policy decides when to retry a failed request,
except shortly after a switch to another discovery service. If an agent pushes endpoint lists, the watch
itself retries failed requests.

The times meet these limits:

- If lists are pushed, a list must be received within 6 s of the time at which the agent has it.
- If a watch request gets no response, the changes that it missed must be received within 2 s of the end of
  its wait time.
- After a switch to another discovery service, the list of that service must be received within 4 s.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

WATCH_WAIT_MS = 10_000
"""Maximum wait time of a watch request if discovery is polled.

On a connection that is open but dead, for example after a network partition, changes of the list go unnoticed
until the wait time has passed. With much shorter wait times, the requests of many balancers would overload
discovery.
"""

PUSH_WATCH_WAIT_MS = 3_000
"""Maximum wait time of a watch request if lists are pushed.

A list must be received within 6 s of the time at which the agent has it, even if a watch request gets no
response.
"""

RECOVERY_WAIT_MS = 1_500
"""Maximum wait time of the watch request after a failed request; a missing response must be noticed soon."""

WAIT_JITTER = 0.2
"""Maximum fraction by which a wait time is shortened at random.

Spreads the requests of balancers that were started at the same time.
"""

PUSH_RETRY_DELAY_S = 0.1
"""Delay before a retry after two or more consecutive failures, if lists are pushed."""

SWITCH_PERIOD_S = 4.0
"""Time limit for receiving the list of another discovery service after a switch to it (SIGHUP)."""

SWITCH_RETRY_DELAY_S = 0.5
"""Mean delay before a retry within `SWITCH_PERIOD_S` after a switch, if discovery is polled."""


class RetrySchedule:
    """Computes wait times and retry delays from the state of the watch, which the caller passes in.

    Args:
        draw: Returns a random number, uniform in [0, 1).
        polls_discovery: Whether discovery is polled; if not, an agent pushes lists.
    """

    __slots__ = ("_draw", "_polls_discovery")

    def __init__(self, draw: Callable[[], float], *, polls_discovery: bool) -> None:
        self._draw = draw
        self._polls_discovery = polls_discovery

    def watch_wait_s(self, consecutive_failures: int) -> float:
        """Return the wait time of the next watch request in seconds.

        Args:
            consecutive_failures: The number of requests that have failed since the last successful one.
        """
        wait_ms = WATCH_WAIT_MS if self._polls_discovery else PUSH_WATCH_WAIT_MS
        if consecutive_failures:
            # A faulty discovery service may accept requests without responding to them. If it recovers just
            # after it has received such a request, the request must time out early enough for the retry to
            # receive the list in time.
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
            # The list must be received in time even if the connection to the agent breaks, so the retry after
            # the first failure is not delayed.
            return PUSH_RETRY_DELAY_S if consecutive_failures > 1 else 0.0
        if started_at_s < switched_at_s + SWITCH_PERIOD_S:
            # The policy does not decide here, for two reasons. Its backoff would count the failures before
            # the switch. And a timer that it set before the switch may still be pending; if it set a second
            # timer now, both would start watches. The earlier timer has fired by the end of this period.
            return SWITCH_RETRY_DELAY_S * (0.5 + self._draw())
        return None
