"""The pipeline of one connection: its requests are handled in order, one at a time (HTTP/1.1 pipelining)."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from loadbalancer.network.client import timeouts
from loadbalancer.network.client.rejection import Rejection
from loadbalancer.network.client.response_writer import serialize_response

if TYPE_CHECKING:
    from loadbalancer.network.client.context import ConnectionContext
    from loadbalancer.network.client.incoming_request import IncomingRequest
    from loadbalancer.network.client.request_reader import RequestReader
    from loadbalancer.network.client.transport import ClientTransport
    from loadbalancer.network.headers import Headers

GUARANTEED_BUFFER_BYTES = 16_384
"""A connection may buffer this much even if the limit on the buffers of all clients is exceeded."""

BUFFERS_FULL = Rejection(503, "too much is waiting here")


class RequestPipeline:
    """Reads the requests of a connection, passes them to the handler one at a time, and writes the responses.

    Attributes:
        reader: Parses the input, and queues the requests.
        idle_since: When the last response was written, or when the client connected if there has been none
            (seconds of the monotonic clock).
    """

    def __init__(self, context: ConnectionContext, transport: ClientTransport, reader: RequestReader) -> None:
        self._context = context
        self._transport = transport
        self._current_request: IncomingRequest | None = None
        self._rejection: Rejection | None = None  # written after the responses to earlier requests
        self._is_dispatching = False
        self._accounted_bytes = 0  # what this connection has added to the buffer account
        self.reader = reader
        self.idle_since = reader.arrival.started_at

    def has_open_request(self) -> bool:
        """Return whether a request is being handled or is queued."""
        return self._current_request is not None or bool(self.reader.requests)

    def has_only_queued_requests(self) -> bool:
        """Return whether requests are queued and none is being handled."""
        return self._current_request is None and bool(self.reader.requests)

    def has_client_disconnected(self) -> bool:
        """Return whether the client has closed the connection, or its sending side."""
        return self._transport.has_client_disconnected()

    def parse_input(self) -> None:
        """Parse the received bytes, up to the limit on queued requests."""
        self._update_buffer_account()
        # Without this limit, many clients together could exhaust the memory.
        if self._context.buffers.is_limit_exceeded() and self._accounted_bytes > GUARANTEED_BUFFER_BYTES:
            self.reject(BUFFERS_FULL)
        while not self._transport.discards_input and self.reader.can_parse():
            rejection = self.reader.parse_slice()
            if rejection is not None:
                self.reject(rejection)
            self.advance()
        if self._transport.discards_input:
            # Input that follows a request with `Connection: close` must not be parsed: a response to it would
            # be written after the end of the connection.
            self.reader.discard_unparsed()
        self._update_buffer_account()
        if self.reader.has_unparsed_input:
            self._transport.pause_reading()

    def advance(self) -> None:
        """Handle the next requests, then write a rejection that follows them, or resume reading."""
        if self._is_dispatching or not self._transport.is_open:
            return
        self._dispatch_requests()
        rejection = self._rejection
        if rejection is not None and not self.has_open_request():
            self._rejection = None
            self._write_response(rejection.status, [], rejection.reason.encode() + b"\n", is_final=True)
        elif self._may_resume_reading():
            self._transport.resume_reading()
            self._context.loop.call_soon(self.parse_input)

    def respond(self, request: IncomingRequest, status: int, headers: Headers, body: bytes) -> None:
        """Write the final response to the current request; a response to any other request is dropped."""
        if self._transport.is_disconnected or request is not self._current_request:
            return
        self._current_request = None
        is_last = not self.reader.requests and self._rejection is None
        should_close = self._context.closes_connections or not request.keep_alive
        self._write_response(status, headers, body, is_final=is_last and should_close)
        self._update_buffer_account()
        self.advance()

    def reject(self, rejection: Rejection) -> None:
        """Discard further input; write the rejection after the responses to all earlier requests."""
        self._transport.discards_input = True
        self._rejection = rejection
        self.reader.discard_input()
        self.advance()

    def drop_requests(self) -> None:
        """Drop all requests after a disconnect, and notify the handler if it is handling one of them."""
        request = self._current_request
        self._current_request = None
        self.reader.close()
        self._update_buffer_account()
        if request is not None:
            request.suppress_response()
            self._context.handler.handle_disconnect(request)

    def _may_resume_reading(self) -> bool:
        is_paused = self._transport.is_reading_paused and self._transport.is_open
        return is_paused and self.reader.can_resume_reading()

    def _dispatch_requests(self) -> None:
        self._is_dispatching = True
        try:
            # Buffers no more than one response for a client that sends requests and never reads.
            while self.has_only_queued_requests() and not self._transport.has_unsent_bytes():
                request = self.reader.requests.popleft()
                request.set_responder(self)
                self._current_request = request
                self._handle_request(request)
        finally:
            self._is_dispatching = False

    def _handle_request(self, request: IncomingRequest) -> None:
        if request.head.is_health_check():
            # Health checks fail during the shutdown, so that clients that rely on them use another balancer.
            is_shutting_down = self._context.is_shutting_down
            status, body = (503, b"ending\n") if is_shutting_down else (200, b"ok\n")
            request.respond(status, body=body)
            return
        try:
            self._context.handler.handle_request(request)
        except Exception:  # noqa: BLE001  the client must receive a response after any error
            self._context.log_exception("a request could not be handled")
            request.respond(500)

    def _write_response(self, status: int, headers: Headers, body: bytes, *, is_final: bool) -> None:
        self.idle_since = time.monotonic()
        self._transport.write(serialize_response(status, headers, body, closes_connection=is_final))
        if is_final:
            self._transport.close_gracefully(timeouts.LINGER_TIMEOUT_S)

    def _update_buffer_account(self) -> None:
        current_bytes = self._current_request.size_bytes if self._current_request is not None else 0
        buffered_bytes = self.reader.buffered_bytes + current_bytes
        self._context.buffers.adjust(buffered_bytes - self._accounted_bytes)
        self._accounted_bytes = buffered_bytes
