"""Drives the decision module: I/O becomes events, actions become I/O. It makes no choice of its own."""

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
    NEVER_RAN,
    AttemptFinished,
    ClientDisconnected,
    EndpointListKind,
    EndpointListUpdate,
    Event,
    HealthCheckFinished,
    Outcome,
    RequestReceived,
    TimerFired,
)
from loadbalancer.network.clock import Clock
from loadbalancer.network.endpoint_watch import EndpointWatch
from loadbalancer.network.headers import end_to_end_headers
from loadbalancer.network.incoming_request import IncomingRequest
from loadbalancer.network.listener import Listener
from loadbalancer.network.log import RateLimitedLog
from loadbalancer.network.request_ids import RequestIds
from loadbalancer.network.response_reader import Response
from loadbalancer.network.upstream_attempt import UpstreamAttempt
from loadbalancer.network.upstream_pool import UpstreamPools
from loadbalancer.policy.balancer import LoadBalancer

ANSWER_MS = 10.0  # the module is told so much less than the caller waits: its answer must still travel
NET_MS = 5.0  # so long before the deadline the safety net answers what is still open
PROBE_MS = 250.0
SWEEP_S = 1.0


class _Request:
    """A request that was taken: what it is owed and what is out for it."""

    __slots__ = ("attempts", "ends", "id", "net", "open", "out", "queued", "ran", "taken")

    def __init__(self, number: int, taken: IncomingRequest, ends: float) -> None:
        self.id, self.taken, self.ends = number, taken, ends
        self.attempts: list[UpstreamAttempt | None] = []
        self.open = True  # until its final answer, or until nobody waits for one
        self.ran = False  # whether an attempt that has ended may have run
        self.out = 0  # attempts that have not ended
        self.queued = 0  # events that the module has still to hear
        self.net: asyncio.TimerHandle | None = None


class Proxy:
    """One balancer: the module and all that it is connected to."""

    def __init__(self, config: Configuration, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self.log = RateLimitedLog(config.name or "balancer")
        self.clock = Clock()
        self.balancer = LoadBalancer(config.settings, config.seed)
        self.upstreams = UpstreamPools(config, loop)
        self.listener = Listener(config, loop, self, self.log.exception)
        self._discovery = EndpointWatch(config, self._on_endpoint_list, self._on_watch_failed)
        self._requests: dict[int, _Request] = {}
        self._ids = RequestIds()
        self._last = 0
        self._events: deque[Event] = deque()
        self._busy = self._closed = False
        self._known = config.known_endpoints

    def start(self) -> None:
        """Tell what was known, then begin to listen."""
        self._update_endpoints(EndpointListKind.CACHED, self._known)
        self._discovery.start()
        self._sweep()
        self.listener.start()

    def reconfigure(self, config: Configuration) -> None:
        """A new configuration under load: what is open goes on, and discovery is asked at its new place."""
        self.log.write(f"configuration read again: discovery at {config.discovery[0]}:{config.discovery[1]}")
        self._discovery.move_to(config.discovery)

    def _sweep(self) -> None:
        self._loop.call_later(SWEEP_S, self._sweep)
        self.upstreams.close_expired()

    # ---- events -------------------------------------------------------------------------------

    def _dispatch(self, event: Event, request: _Request | None = None) -> None:
        """Pass an event on. What actions bring about at once waits until they are all carried out."""
        if request is not None:
            request.queued += 1
        self._events.append(event)
        if self._busy:
            return
        self._busy = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._busy = False

    def _handle(self, event: Event) -> None:
        number = getattr(event, "request_id", None)
        try:
            actions = self.balancer.handle(event, self.clock.now())
        except Exception:
            # Guards against a fault in the decisions: it costs this request, never the process.
            self.log.exception(f"the module failed at {event!r}"[:500])
            self._answer_unhandled(number)
            actions = []
        for action in actions:
            try:
                self._perform(action)
            except Exception:
                self.log.exception(f"could not carry out {action!r}")
                self._answer_unhandled(getattr(action, "request_id", None))
        request = self._requests.get(number) if number is not None else None
        if request is not None:
            request.queued -= 1
            self._forget_if_over(request)

    def _forget_if_over(self, request: _Request) -> None:
        if not (request.open or request.out or request.queued):
            self._requests.pop(request.id, None)
            self._ids.over(request.taken.request_id)

    def handle_request(self, taken: IncomingRequest) -> None:
        """A caller's request is here, whole."""
        if self._closed:
            taken.respond(503)  # the process ends before any upstream could answer
            return
        if not self._ids.add(taken.request_id):
            taken.respond(409, body=b"this id is in use\n")
            return
        self._last += 1
        waited = (time.monotonic() - taken.received_at) * 1000
        left = taken.deadline_ms - waited
        request = _Request(self._last, taken, self.clock.now() + left - ANSWER_MS)
        taken.number = request.id
        self._requests[request.id] = request
        request.net = self._loop.call_later(
            max(left - NET_MS, 0.0) / 1000, self._answer_unhandled, request.id
        )
        self._dispatch(
            RequestReceived(
                request.id,
                taken.class_name,
                max(left - ANSWER_MS, 0.0),
                taken.tenant,
                taken.is_client_retry,
                taken.cost_hint_ms,
            ),
            request,
        )

    def handle_disconnect(self, taken: IncomingRequest) -> None:
        """The caller has gone."""
        request = self._requests.get(taken.number)
        if request is not None and request.open:
            self._close(request)
            self._dispatch(ClientDisconnected(request.id), request)
            self._drop_rest(request)

    def _is_wanted(self, request: _Request) -> bool:
        """Whether its client still waits, by a look at the socket: the loop may not have come to it yet."""
        if request.open and request.taken.is_client_gone():
            self.handle_disconnect(request.taken)
        return request.open

    def _drop_rest(self, request: _Request) -> None:
        """Take back what has not left yet, also where what is out must not be cancelled."""
        for attempt in request.attempts:
            if attempt is not None:
                attempt.withdraw()

    def abort_open_requests(self) -> None:
        """The time after SIGTERM is up: answer what is still open, and what still comes."""
        self._closed = True
        for number in list(self._requests):
            self._answer_unhandled(number)

    def _answer_unhandled(self, number: int | None) -> None:
        """The safety net: whatever went wrong, the caller gets an answer that promises no too much."""
        request = self._requests.get(number) if number is not None else None
        if request is None or not request.open:
            return
        self._close(request)
        request.taken.respond(502 if request.ran or request.out else 503)
        self._dispatch(ClientDisconnected(request.id), request)  # it calls off what is out
        self._drop_rest(request)

    def _close(self, request: _Request) -> None:
        request.open = False
        if request.net is not None:
            request.net.cancel()

    def _attempt_finished(
        self, request: _Request, index: int, server: str, outcome: Outcome, answer: Response | None
    ) -> None:
        """An attempt is over. The first served answer goes out before anything else is done."""
        request.out -= 1
        request.ran = request.ran or outcome not in NEVER_RAN
        if request.open and outcome is Outcome.SUCCEEDED and answer is not None:
            self._close(request)
            request.taken.respond(200, end_to_end_headers(answer.headers), answer.body)
        self._dispatch(AttemptFinished(request.id, index, server, outcome, not request.open), request)
        if not request.open:
            self._drop_rest(request)

    def _on_endpoint_list(self, news: EndpointList) -> None:
        self._update_endpoints(
            EndpointListKind.SNAPSHOT if news.is_complete else EndpointListKind.DELTA, news
        )

    def _update_endpoints(self, kind: EndpointListKind, news: EndpointList) -> None:
        self.upstreams.update_endpoints(news)
        self._dispatch(EndpointListUpdate(kind, tuple([e.endpoint for e in news.endpoints])))

    def _on_watch_failed(self) -> None:
        self._dispatch(EndpointListUpdate(EndpointListKind.FAILED))

    # ---- actions ------------------------------------------------------------------------------

    def _perform(self, action: Action) -> None:
        match action:
            case StartAttempt():
                self._send(action)
            case SetTimer(at, timer):
                delay_s = max(at - self.clock.now(), 0.0) / 1000
                self._loop.call_later(delay_s, self._dispatch, TimerFired(timer))
            case RejectRequest(number, after_ms):
                retry = [(b"Retry-After", b"%.3f" % (after_ms / 1000))] if after_ms > 0 else []
                self._answer(number, 503, retry)
            case FailRequest(number):
                self._answer(number, 502, [])
            case CancelAttempt(number, index):
                request = self._requests.get(number)
                attempt = request.attempts[index] if request else None
                if attempt is not None:
                    attempt.cancel()
            case StartHealthCheck(server):
                self._probe(server)
            case CloseIdleConnections(server):
                self.upstreams.close_idle_connections(server)
            case WatchEndpoints():
                self._discovery.start_watch()
            case LogMessage(text):
                self.log.write(text)
            case _:
                assert_never(action)

    def _answer(self, number: int, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        request = self._requests.get(number)
        if request is not None and request.open:
            self._close(request)
            request.taken.respond(status, headers)

    def _send(self, action: StartAttempt) -> None:
        request, server = self._requests[action.request_id], action.endpoint
        index = len(request.attempts)
        request.out += 1
        attempt: UpstreamAttempt | None = None
        outcome = Outcome.NOT_SENT  # for a send whose request is over
        if self._is_wanted(request):
            left_ms = request.ends - self.clock.now()
            timeout_ms = min(action.timeout_ms, left_ms) if action.timeout_ms else left_ms
            until = time.monotonic() + timeout_ms / 1000
            taken = request.taken

            def compose() -> bytes:
                left_us = max((until - time.monotonic()) * 1_000_000, 1.0)
                length = (
                    b"Content-Length: %d\r\n" % len(taken.body)
                    if taken.body or taken.method != b"GET"
                    else b""
                )
                return b"%bX-Deadline: %du\r\n%b\r\n%b" % (taken.head, left_us, length, taken.body)

            def on_end(outcome: Outcome, answer: Response | None) -> None:
                self._attempt_finished(request, index, server, outcome, answer)

            attempt = self.upstreams.start_attempt(
                server, max(timeout_ms, 0.0) / 1000, compose, on_end, lambda: self._is_wanted(request)
            )
            outcome = Outcome.CONNECT_FAILED  # for a server that no list names any more
        request.attempts.append(attempt)
        if attempt is None:
            self._attempt_finished(request, index, server, outcome, None)

    def _probe(self, server: str) -> None:
        def on_end(outcome: Outcome, answer: Response | None) -> None:
            self._dispatch(HealthCheckFinished(server, outcome))

        request = b"GET /healthz HTTP/1.1\r\nHost: upstream\r\n\r\n"
        if self.upstreams.start_attempt(server, PROBE_MS / 1000, lambda: request, on_end) is None:
            self._dispatch(HealthCheckFinished(server, Outcome.NOT_SENT))
