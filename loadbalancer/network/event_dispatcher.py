"""Passes events to the policy one at a time, and executes the resulting actions in order."""

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
"""Maximum length of the message, without traceback, about an event that the policy failed to handle."""

_HANDLERS_NOT_SET = "an event was dispatched before the handlers were set"


class EventDispatcher:
    """Queues events for the policy.

    An event that is dispatched while another one is being handled, for example by an action that completes
    immediately, remains in the queue until all actions for the current event have been executed. An
    exception in the policy or in an action is logged, and ends only the request that it concerns.

    Args:
        balancer: The policy.
        clock: The clock whose time is passed to the policy with each event.
        requests: The open requests; a request is removed once its last event has been handled.
        log: Receives a line for each failure.
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
        self._execute: Callable[[Action], None] = _raise_handlers_not_set
        self._end_failed_request: Callable[[int | None], None] = _raise_handlers_not_set

    def set_handlers(
        self, execute: Callable[[Action], None], end_failed_request: Callable[[int | None], None]
    ) -> None:
        """Set the functions that handle actions and failures.

        They cannot be passed to the constructor, since the objects that provide them need the dispatcher.

        Args:
            execute: Executes one action of the policy.
            end_failed_request: Ends the request whose event or action failed, given its number; the number is
                None if the event or action belongs to no request.
        """
        self._execute = execute
        self._end_failed_request = end_failed_request

    def dispatch(self, event: Event, request: ProxiedRequest | None = None) -> None:
        """Pass an event to the policy, immediately or after the event that is being handled.

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
                self._execute(action)
            except Exception:  # noqa: BLE001  an action may raise any exception
                # An exception in one action must not prevent the actions after it.
                self._log.exception(f"could not perform {action!r}")
                self._end_failed_request(_request_number(action))
        if request is not None:
            request.queued_events -= 1
            self._requests.remove_if_finished(request)

    def _decide(self, event: Event, request: ProxiedRequest | None) -> list[Action]:
        try:
            return self._balancer.handle(event, self._clock.now())
        except Exception:  # noqa: BLE001  the policy may raise any exception
            # An exception in the policy must end only this request, not the process.
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
