"""The timing of calls to discovery: how long a watch call waits, and when a failed call is repeated.

Where discovery is polled, the policy decides when to call again after a failure, except shortly after a
switch to another discovery service. Where an agent pushes endpoint lists, the watch repeats failed calls.

The times meet these limits:

- Where lists are pushed, a list has to be known within 6 s of the time when the agent has it.
- A list that should have ended the wait of an unresponsive watch call has to be known within 2 s of the end
  of that wait.
- After a switch to another discovery service, its list has to be known within 4 s.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

WATCH_WAIT_MS = 10_000
"""Maximum wait of a watch call where discovery is polled; a change of the list ends the wait at once.

On a connection that is open but dead, for example after a network partition, changes of the list go unnoticed
until the wait has ended. Much shorter waits of many balancers would overload discovery, since each call costs
it work.
"""

PUSH_WATCH_WAIT_MS = 3_000
"""Maximum wait of a watch call where lists are pushed.

A list has to be known 6 s after the agent has it, even if a watch call to the agent gets no response.
"""

RECOVERY_WAIT_MS = 1_500
"""Maximum wait of the first watch call after a failed call, so that a missing response is noticed soon."""

WAIT_JITTER = 0.2
"""Maximum fraction by which a wait is shortened at random.

Keeps balancers that started together from calling together.
"""

PUSH_RETRY_DELAY_S = 0.1
"""Delay before a call after two or more consecutive failures, where lists are pushed."""

SWITCH_PERIOD_S = 4.0
"""Time after a switch to another discovery service (SIGHUP) in which its list has to be known."""

SWITCH_RETRY_DELAY_S = 0.5
"""Mean delay before a call after a failure within `SWITCH_PERIOD_S`, where discovery is polled."""


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
        """Return the wait of the next watch call in seconds.

        Args:
            consecutive_failures: The number of calls that have failed since the last successful one.
        """
        wait_ms = WATCH_WAIT_MS if self._polls_discovery else PUSH_WATCH_WAIT_MS
        if consecutive_failures:
            # Discovery may accept calls without responding to them. A call that it received just before it
            # recovered has to time out before the list is overdue.
            wait_ms = min(wait_ms, RECOVERY_WAIT_MS)
        return wait_ms / 1000 * (1 - WAIT_JITTER * self._draw())

    def retry_delay_s(
        self, consecutive_failures: int, started_at_s: float, switched_at_s: float
    ) -> float | None:
        """Return the delay in seconds before the next call, after a call has failed.

        Args:
            consecutive_failures: The number of calls that have failed since the last successful one,
                including this one.
            started_at_s: When the failed call started.
            switched_at_s: When the watch last switched to another discovery service, on the same clock;
                minus infinity if it never did.

        Returns:
            The delay; None if the policy decides when to call again.
        """
        if not self._polls_discovery:
            # The list has to be known in time even while connections to the agent break, so the first failed
            # call is repeated at once.
            return PUSH_RETRY_DELAY_S if consecutive_failures > 1 else 0.0
        if started_at_s < switched_at_s + SWITCH_PERIOD_S:
            # The policy's backoff would count the failures before the switch. Besides, a timer that the
            # policy set before the switch may still be pending; it would set a second one now, and each
            # would start calls. The earlier timer has fired by the end of this period.
            return SWITCH_RETRY_DELAY_S * (0.5 + self._draw())
        return None
