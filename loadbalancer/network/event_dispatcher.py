"""The event dispatcher: passes events to the policy one at a time, and has its actions performed in order."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from loadbalancer.actions import CancelAttempt, FailRequest, RejectRequest, StartAttempt
from loadbalancer.errors import InvalidStateError

if TYPE_CHECKING:
    from collections.abc import Callable

    from loadbalancer.actions import Action
    from loadbalancer.events import Event
    from loadbalancer.network.clock import Clock
    from loadbalancer.network.log import RateLimitedLog
    from loadbalancer.network.open_requests import OpenRequests, ProxiedRequest
    from loadbalancer.policy.balancer import LoadBalancer

MAX_LOGGED_EVENT_CHARS = 500
"""Length at which the line on an event that the policy failed to handle is cut."""

_HANDLERS_NOT_SET = "an event was dispatched before the dispatcher was connected"


class EventDispatcher:
    """Queues events for the policy.

    An event that arises while another one is handled, for instance because an action has an immediate result,
    waits in the queue: the policy gets it after all actions for the current event have been performed. A
    failure of the policy, or of an action, is logged and ends only its own request.

    Args:
        balancer: The policy.
        clock: The time that the policy gets with each event.
        requests: The requests by number; a request is removed once its last event has been handled.
        log: Gets a line for each failure.
    """

    def __init__(
        self, balancer: LoadBalancer, clock: Clock, requests: OpenRequests, log: RateLimitedLog
    ) -> None:
        self._balancer = balancer
        self._clock = clock
        self._requests = requests
        self._log = log
        self._events: deque[tuple[Event, ProxiedRequest | None]] = deque()
        self._is_dispatching = False
        self._perform: Callable[[Action], None] = _raise_handlers_not_set
        self._end_failed_request: Callable[[int | None], None] = _raise_handlers_not_set

    def set_handlers(
        self, perform: Callable[[Action], None], end_failed_request: Callable[[int | None], None]
    ) -> None:
        """Set the receivers of actions and failures, which need the dispatcher themselves.

        Args:
            perform: Performs one action of the policy.
            end_failed_request: Responds to a request of which an event or action failed, given its number;
                None if the event or action belongs to no request.
        """
        self._perform = perform
        self._end_failed_request = end_failed_request

    def dispatch(self, event: Event, request: ProxiedRequest | None = None) -> None:
        """Pass an event to the policy, now or, while another event is being handled, after that one.

        Args:
            event: The event.
            request: The request that the event belongs to, if any.
        """
        if request is not None:
            request.queued_events += 1
        self._events.append((event, request))
        if self._is_dispatching:
            return
        self._is_dispatching = True
        try:
            while self._events:
                self._handle(*self._events.popleft())
        finally:
            self._is_dispatching = False

    def _handle(self, event: Event, request: ProxiedRequest | None) -> None:
        for action in self._decide(event, request):
            try:
                self._perform(action)
            except Exception:  # noqa: BLE001  an action may fail in any way
                # Guards against a fault in one action: the actions after it are still performed.
                self._log.exception(f"could not perform {action!r}")
                self._end_failed_request(_request_number(action))
        if request is not None:
            request.queued_events -= 1
            self._requests.remove_if_finished(request)

    def _decide(self, event: Event, request: ProxiedRequest | None) -> list[Action]:
        try:
            return self._balancer.handle(event, self._clock.now())
        except Exception:  # noqa: BLE001  the policy may fail in any way
            # Guards against a fault in the policy: it ends this request, never the process.
            self._log.exception(f"the policy failed at {event!r}"[:MAX_LOGGED_EVENT_CHARS])
            self._end_failed_request(request.number if request is not None else None)
            return []


def _raise_handlers_not_set(_: object) -> None:
    raise InvalidStateError(_HANDLERS_NOT_SET)


def _request_number(action: Action) -> int | None:
    match action:
        case StartAttempt() | CancelAttempt() | RejectRequest() | FailRequest():
            return action.request_id
        case _:
            return None
