"""A balancer's connection to a stub upstream."""

from __future__ import annotations

import asyncio
import socket
import struct
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol, cast

from testbed.errors import NotConnectedError
from testbed.http.request_parser import HttpRequest, MalformedRequestError, RequestParser
from testbed.upstream.behaviour import Behaviour, UpstreamCounts, UpstreamMode

if TYPE_CHECKING:
    from testbed.http.client import Clock

HEALTH_PATH = "/healthz"
_REASON_PHRASES = {200: "OK", 404: "Not Found", 500: "Internal Server Error", 503: "Service Unavailable"}
_MS_PER_UNIT = {"m": 1.0, "u": 0.001}
_LINGER_ZERO = struct.pack("ii", 1, 0)
"""The SO_LINGER value that makes closing a socket send a reset."""


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A request as an upstream received it.

    Attributes:
        class_name: The request class.
        request_id: Its id.
        deadline_ms: The value of `X-Deadline` in milliseconds; 0 if it is missing.
        key: The idempotency key; empty if it is missing.
        body: The body.
        received_at: When its last byte was received, in seconds of the upstreams' clock.
    """

    class_name: str
    request_id: str
    deadline_ms: float
    key: str
    body: bytes
    received_at: float


class RequestHandler(Protocol):
    """The upstream that a connection belongs to."""

    behaviour: Behaviour
    counts: UpstreamCounts
    connections: set[UpstreamConnection]
    clock: Clock

    async def handle(self, request: ReceivedRequest, connection: UpstreamConnection) -> None:
        """Handle a request according to the upstream's behaviour."""


def parse_deadline_ms(text: str) -> float:
    """Parse the value of `X-Deadline` (a number and a unit) to milliseconds; return 0 if it is empty."""
    return float(text[:-1]) * _MS_PER_UNIT[text[-1]] if text else 0.0


class UpstreamConnection(asyncio.Protocol):
    """One connection, with at most one open request."""

    def __init__(self, upstream: RequestHandler) -> None:
        self._upstream = upstream
        self._parser = RequestParser(self._on_request)
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None  # handles the open request
        self._reset_by_upstream = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register with the upstream."""
        self._transport = cast("asyncio.Transport", transport)
        self._upstream.connections.add(self)
        self._upstream.counts.connections += 1

    def data_received(self, data: bytes) -> None:
        """Parse the data; a malformed request resets the connection."""
        try:
            self._parser.feed(data)
        except MalformedRequestError:
            self.reset()

    def connection_lost(self, _exc: Exception | None) -> None:
        """Unregister from the upstream and cancel the open request.

        The request counts as abandoned unless the upstream itself reset the connection.
        """
        self._upstream.connections.discard(self)
        if self._task is not None:
            self._upstream.counts.abandoned += not self._reset_by_upstream
            self._task.cancel()

    def _on_request(self, request: HttpRequest) -> None:
        upstream = self._upstream
        if request.target == HEALTH_PATH:
            upstream.counts.health_checks += 1
            self._respond_to_health_check(upstream.behaviour.mode)
        elif "x-request-id" not in request.headers:
            self.respond(404)
        elif self._task is not None:
            upstream.counts.overlapping += 1
            self.reset()
        else:
            received = self._received_request(request)
            self._task = asyncio.ensure_future(upstream.handle(received, self))
            self._task.add_done_callback(self._on_handled)

    def _received_request(self, request: HttpRequest) -> ReceivedRequest:
        headers = request.headers
        return ReceivedRequest(
            headers.get("x-class", ""),
            headers["x-request-id"],
            parse_deadline_ms(headers.get("x-deadline", "")),
            headers.get("idempotency-key", ""),
            request.body,
            self._upstream.clock(),
        )

    def _on_handled(self, task: asyncio.Task[None]) -> None:
        self._task = None
        if not task.cancelled() and (error := task.exception()) is not None:
            raise error

    def _respond_to_health_check(self, mode: UpstreamMode) -> None:
        if mode is UpstreamMode.RESET:
            self.reset()
        elif mode is not UpstreamMode.HANG:
            self.respond(503 if mode is UpstreamMode.REJECT else 200)

    def respond(self, status: int, body: bytes = b"", headers: tuple[str, ...] = ()) -> None:
        """Respond to the open request."""
        if self._transport is None:
            raise NotConnectedError
        lines = [f"HTTP/1.1 {status} {_REASON_PHRASES[status]}", f"Content-Length: {len(body)}", *headers]
        self._transport.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def reset(self) -> None:
        """Reset the connection, as the kernel does when the process is killed."""
        if self._transport is None:
            raise NotConnectedError
        self._reset_by_upstream = True
        transport_socket = self._transport.get_extra_info("socket")
        transport_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
        self._transport.abort()
