"""The schedule of calls to discovery: how long a watch call waits, and when a failed call is repeated.

A balancer learns of endpoints in one of two ways. Where it polls discovery, the policy decides when to call
again after a failure, except shortly after a move to another discovery. Where an agent pushes endpoint lists,
the watch repeats failed calls by itself.

The times are chosen to meet these limits. Where lists are pushed, a list has to be known within 6 s of the
time when the agent has it. A list that a watch call without a response should have returned has to be known
within 2 s of the end of its wait. After a move, the list of the new discovery has to be known within 4 s.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

WATCH_WAIT_MS = 10_000
"""Maximum wait of a watch call where discovery is polled; a change of the list ends it at once.

Guards against a watch connection that stays open but silent, as after discovery was cut off from the
network: until the wait has ended, changes of the list go unnoticed. Much shorter waits of many balancers
would overload discovery, since each call costs it work.
"""

PUSH_WATCH_WAIT_MS = 3_000
"""Maximum wait of a watch call where lists are pushed.

A list has to be known 6 s after the agent has it, also if a watch call to the agent gets no response.
"""

RECOVERY_WAIT_MS = 1_500
"""Maximum wait of the first watch call after a failed call, so that a missing response is noticed soon."""

WAIT_JITTER = 0.2
"""Maximum fraction by which a wait is shortened at random.

Balancers that started together then do not call together.
"""

PUSH_RETRY_DELAY_S = 0.1
"""Delay before a call after two or more consecutive failures, where lists are pushed."""

SWITCH_PERIOD_S = 4.0
"""Time after a move (SIGHUP) in which the list of the new discovery has to be known."""

SWITCH_RETRY_DELAY_S = 0.5
"""Mean delay before a call after a failure within `SWITCH_PERIOD_S`, where discovery is polled."""


class RetrySchedule:
    """Computes waits and retry delays; it holds no state of the watch.

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
            # Guards against a discovery that accepts calls and does not respond: a call that was sent just
            # before it recovered must not be waited for until its list is overdue.
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
            switched_at_s: When the watch last switched to another discovery, on the same clock; minus
                infinity if it never did.

        Returns:
            The delay; None if the policy decides when to call again.
        """
        if not self._polls_discovery:
            # The balancer has to know the agent's list in time also while connections to it break, so that
            # the call is repeated at once.
            return PUSH_RETRY_DELAY_S if consecutive_failures > 1 else 0.0
        if started_at_s < switched_at_s + SWITCH_PERIOD_S:
            # Guards against a long delay because of failures before the move. Guards also against two timers
            # of the policy, one set before the move and one set after this failure, each of which would start
            # calls: the earlier one has fired by the end of this period.
            return SWITCH_RETRY_DELAY_S * (0.5 + self._draw())
        return None
