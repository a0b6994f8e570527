"""The proxy: turns I/O into events of the policy, and the policy's actions into I/O.

It decides nothing itself, except in the fail-safe response to a request that is still open shortly before
its deadline.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from typing import assert_never

from loadbalancer.actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    LogMessage,
    RejectRequest,
    SetTimer,
    StartAttempt,
    StartHealthCheck,
    WatchEndpoints,
)
from loadbalancer.configuration import Configuration, EndpointList
from loadbalancer.events import (
    ClientDisconnected,
    EndpointListKind,
    EndpointListUpdate,
    Event,
    RequestReceived,
    TimerFired,
)
from loadbalancer.network.client.incoming_request import IncomingRequest
from loadbalancer.network.client.listener import Listener
from loadbalancer.network.clock import Clock
from loadbalancer.network.discovery.watch import EndpointWatch
from loadbalancer.network.headers import Headers
from loadbalancer.network.log import RateLimitedLog
from loadbalancer.network.open_requests import OpenRequests, ProxiedRequest
from loadbalancer.network.upstream.attempt_runner import AttemptRunner
from loadbalancer.network.upstream.health_checks import HealthChecks
from loadbalancer.network.upstream.pool import UpstreamPools
from loadbalancer.policy.balancer import LoadBalancer

# The policy gets a deadline this much before the client's: the response still has to reach the client.
RESPONSE_MARGIN_MS = 10.0
# The fail-safe response goes out this long before the client's deadline.
FAIL_SAFE_MARGIN_MS = 5.0
# Between two looks for connections that have been idle for too long.
IDLE_CHECK_INTERVAL_S = 1.0
# Of a logged event that the policy failed to handle.
MAX_LOGGED_EVENT_CHARS = 500


class Proxy:
    """One load balancer: the policy, and the listener, upstreams and discovery that it is connected to."""

    def __init__(self, config: Configuration, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self.log = RateLimitedLog(config.name or "balancer")
        self.clock = Clock()
        self.balancer = LoadBalancer(config.settings, config.seed)
        self.upstreams = UpstreamPools(config, loop)
        self.listener = Listener(config, loop, self, self.log.exception)
        self.endpoint_watch = EndpointWatch(config, self._on_endpoint_list, self._on_watch_failed)
        self._health_checks = HealthChecks(self.upstreams, self._dispatch)
        self._requests = OpenRequests()
        self._attempts = AttemptRunner(
            self._requests, self.upstreams, self.clock, self._dispatch, self.handle_disconnect
        )
        self._events: deque[tuple[Event, ProxiedRequest | None]] = deque()
        self._is_dispatching = False
        self._is_closed = False
        self._known_endpoints = config.known_endpoints

    @property
    def open_requests(self) -> int:
        """How many requests have no response yet, or attempts or events that are not over."""
        return len(self._requests)

    def start(self) -> None:
        """Hand the known endpoints to the policy, then begin to listen."""
        self.start_without_listener()
        self.listener.start()

    def start_without_listener(self) -> None:
        """Hand the known endpoints to the policy and watch discovery, but accept no clients."""
        self._update_endpoints(EndpointListKind.CACHED, self._known_endpoints)
        self.endpoint_watch.start()
        self._close_expired_connections()

    def reconfigure(self, config: Configuration) -> None:
        """Use discovery's address of a new configuration; open requests and connections go on."""
        self.log.write(f"configuration reloaded: discovery at {config.discovery[0]}:{config.discovery[1]}")
        self.endpoint_watch.move_to(config.discovery)

    def _close_expired_connections(self) -> None:
        self._loop.call_later(IDLE_CHECK_INTERVAL_S, self._close_expired_connections)
        self.upstreams.close_expired()

    # ---- requests from clients (RequestHandler) -------------------------------------------------

    def handle_request(self, incoming: IncomingRequest) -> None:
        """Accept a client's request that has been received whole."""
        if self._is_closed:
            incoming.respond(503)  # the process ends before any upstream could respond
            return
        waited_ms = (time.monotonic() - incoming.received_at) * 1000
        remaining_ms = incoming.deadline_ms - waited_ms
        request = self._requests.add(incoming, self.clock.now() + remaining_ms - RESPONSE_MARGIN_MS)
        if request is None:
            incoming.respond(409, body=b"this id is in use\n")
            return
        fail_safe_in_s = max(remaining_ms - FAIL_SAFE_MARGIN_MS, 0.0) / 1000
        request.set_fail_safe_timer(
            self._loop.call_later(fail_safe_in_s, self._respond_fail_safe, request.number)
        )
        event = RequestReceived(
            request.number,
            incoming.class_name,
            max(remaining_ms - RESPONSE_MARGIN_MS, 0.0),
            incoming.tenant,
            incoming.is_client_retry,
            incoming.cost_hint_ms,
        )
        self._dispatch(event, request)

    def handle_disconnect(self, incoming: IncomingRequest) -> None:
        """Tell the policy that a client has disconnected, and take back what has not been sent yet."""
        request = self._requests.get(incoming.number)
        if request is not None and request.is_open:
            request.close()
            self._dispatch(ClientDisconnected(request.number), request)
            request.drop_unsent_attempts()

    def abort_open_requests(self) -> None:
        """Respond to what is open, and to what still comes: the time after SIGTERM is over."""
        self._is_closed = True
        for number in self._requests:
            self._respond_fail_safe(number)

    def _respond_fail_safe(self, number: int | None) -> None:
        """Respond to a request that is still open, whatever went wrong, without promising too much.

        503 says that the request had no effect, and 502 that it may have had one.
        """
        request = self._requests.get(number)
        if request is None or not request.is_open:
            return
        request.respond(502 if request.may_have_run or request.running_attempts else 503)
        self._dispatch(ClientDisconnected(request.number), request)  # the policy cancels running attempts
        request.drop_unsent_attempts()

    # ---- endpoint list ------------------------------------------------------------------------

    def on_endpoints_updated(self, endpoint_list: EndpointList) -> None:
        """Called after each endpoint list that is in force; does nothing, for subclasses to override."""

    def _on_endpoint_list(self, endpoint_list: EndpointList) -> None:
        kind = EndpointListKind.SNAPSHOT if endpoint_list.is_complete else EndpointListKind.DELTA
        self._update_endpoints(kind, endpoint_list)

    def _update_endpoints(self, kind: EndpointListKind, endpoint_list: EndpointList) -> None:
        self.upstreams.update_endpoints(endpoint_list)
        self._dispatch(EndpointListUpdate(kind, tuple([e.endpoint for e in endpoint_list.endpoints])))
        self.on_endpoints_updated(endpoint_list)

    def _on_watch_failed(self) -> None:
        self._dispatch(EndpointListUpdate(EndpointListKind.FAILED))

    # ---- events -------------------------------------------------------------------------------

    def _dispatch(self, event: Event, request: ProxiedRequest | None = None) -> None:
        """Pass an event to the policy.

        An event that an action brings about at once waits until all actions before it are carried out.

        Args:
            event: The event.
            request: The request that it belongs to, if any.
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
            except Exception:
                self.log.exception(f"could not perform {action!r}")
                self._respond_fail_safe(_request_number(action))
        if request is not None:
            request.queued_events -= 1
            self._requests.remove_if_finished(request)

    def _decide(self, event: Event, request: ProxiedRequest | None) -> list[Action]:
        try:
            return self.balancer.handle(event, self.clock.now())
        except Exception:
            # Guards against a fault in the policy: it costs this request, never the process.
            self.log.exception(f"the policy failed at {event!r}"[:MAX_LOGGED_EVENT_CHARS])
            self._respond_fail_safe(request.number if request is not None else None)
            return []

    # ---- actions ------------------------------------------------------------------------------

    def _perform(self, action: Action) -> None:
        match action:
            case StartAttempt():
                self._attempts.start(action)
            case SetTimer():
                self._set_timer(action)
            case RejectRequest():
                self._reject(action)
            case FailRequest(number):
                self._respond(number, 502)
            case CancelAttempt():
                self._attempts.cancel(action)
            case StartHealthCheck(endpoint):
                self._health_checks.start(endpoint)
            case CloseIdleConnections(endpoint):
                self.upstreams.close_idle_connections(endpoint)
            case WatchEndpoints():
                self.endpoint_watch.start_watch()
            case LogMessage(text):
                self.log.write(text)
            case _:
                assert_never(action)

    def _set_timer(self, action: SetTimer) -> None:
        delay_s = max(action.at_ms - self.clock.now(), 0.0) / 1000
        self._loop.call_later(delay_s, self._dispatch, TimerFired(action.timer))

    def _reject(self, action: RejectRequest) -> None:
        headers: Headers = []
        if action.retry_after_ms > 0:
            headers.append((b"Retry-After", b"%.3f" % (action.retry_after_ms / 1000)))
        self._respond(action.request_id, 503, headers)

    def _respond(self, number: int, status: int, headers: Headers | None = None) -> None:
        request = self._requests.get(number)
        if request is not None and request.is_open:
            request.respond(status, headers)


def _request_number(action: Action) -> int | None:
    match action:
        case StartAttempt() | CancelAttempt() | RejectRequest() | FailRequest():
            return action.request_id
        case _:
            return None
