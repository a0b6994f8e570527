"""The deadline watchdog: responds to requests that are still open shortly before the client's deadline.

The deadline budget of a request is the time until the client's deadline. The policy receives the budget minus
`POLICY_DEADLINE_MARGIN_MS`. If a request is still open `WATCHDOG_MARGIN_MS` before the client's deadline, the
policy or the code that executes its actions has failed, and the watchdog responds instead.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from loadbalancer.events import ClientDisconnected

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from loadbalancer.events import Event
    from loadbalancer.network.open_requests import OpenRequests, ProxiedRequest

POLICY_DEADLINE_MARGIN_MS = 10.0
"""Time between the policy's deadline and the client's deadline, in which the response reaches the client."""

WATCHDOG_MARGIN_MS = 5.0
"""Time between the watchdog's response and the client's deadline.

Shorter than the policy's margin, so that the policy can respond first, and long enough for the response to
reach the client.
"""


class DeadlineWatchdog:
    """Responds in place of the policy: near the deadline, after a failure of the policy, and at shutdown.

    Args:
        loop: The event loop, which runs the timers.
        requests: The open requests.
        dispatch: Passes an event of a request to the policy.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        requests: OpenRequests,
        dispatch: Callable[[Event, ProxiedRequest], None],
    ) -> None:
        self._loop = loop
        self._requests = requests
        self._dispatch = dispatch

    def watch(self, request: ProxiedRequest, deadline_budget_ms: float) -> None:
        """Start the timer that responds to a request shortly before its client's deadline.

        Args:
            request: The request, which cancels the timer when it is closed.
            deadline_budget_ms: The time until the client's deadline.
        """
        delay_s = max(deadline_budget_ms - WATCHDOG_MARGIN_MS, 0.0) / 1000
        request.set_watchdog_timer(self._loop.call_later(delay_s, self.respond, request.number))

    def respond(self, number: int | None) -> None:
        """Respond to a request if it is still open, and end its attempts.

        The status is 502 if an attempt may have had an effect, or may still have one, and 503 otherwise.

        Args:
            number: The number of the request; None and unknown numbers are ignored.
        """
        request = self._requests.get(number)
        if request is None or not request.is_open:
            return
        request.respond(502 if request.may_have_run or request.running_attempts else 503)
        # Makes the policy cancel the running attempts.
        self._dispatch(ClientDisconnected(request.number), request)
        request.drop_unsent_attempts()

    def respond_to_all(self) -> None:
        """Respond to all requests that are open."""
        for number in self._requests:
            self.respond(number)
