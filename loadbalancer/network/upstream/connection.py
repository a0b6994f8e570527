"""One connection to an upstream: writes a request, and reports its response or its failure."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Protocol, cast

from loadbalancer.errors import InvalidStateError
from loadbalancer.network.errors import InvalidResponseError
from loadbalancer.network.response_parser import Response, ResponseParser
from loadbalancer.network.sockets import peek, set_no_delay, shutdown_write

if TYPE_CHECKING:
    from collections.abc import Callable

    from loadbalancer.network.upstream.response_gate import ResponseGate

_NOT_ESTABLISHED = "a request was sent before the connection was established"


class ResponseHandler(Protocol):
    """Receives the result of the request that a connection carries."""

    def handle_response(self, response: Response) -> None:
        """Handle the complete response."""

    def handle_reset(self) -> None:
        """Handle the end of the connection, or bytes on it that are not a valid response."""


class UpstreamConnection(asyncio.Protocol):
    """One connection to an upstream; it carries one request at a time and owns its transport.

    Args:
        gate: Pauses the connection while the memory budget is exceeded.
        on_reusable: Called with the connection when it may be reused for another request.
        on_closed: Called with the connection exactly once, when it closes.

    Attributes:
        idle_since: When the connection last became idle, in seconds of `time.monotonic`.
    """

    def __init__(
        self,
        gate: ResponseGate,
        on_reusable: Callable[[UpstreamConnection], None],
        on_closed: Callable[[UpstreamConnection], None],
    ) -> None:
        self.idle_since = 0.0
        self._gate = gate
        self._on_reusable = on_reusable
        self._on_closed = on_closed
        self._handler: ResponseHandler | None = None
        self._transport: asyncio.Transport | None = None
        self._parser: ResponseParser | None = None
        self._is_request_written = False
        self._is_closed = False
        self._held_bytes = 0  # memory of the response, as the gate accounts for it

    @property
    def transport(self) -> asyncio.Transport | None:
        """The transport; None until the connection is established."""
        return self._transport

    @property
    def unsent_bytes(self) -> int:
        """The number of bytes of the request that are in the write buffer of this process."""
        return 0 if self._transport is None else self._transport.get_write_buffer_size()

    # ---- callbacks of the event loop ------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the limits of the write buffer to 0, so that an empty buffer triggers `resume_writing`."""
        self._transport = cast("asyncio.Transport", transport)
        set_no_delay(transport)
        self._transport.set_write_buffer_limits(high=0, low=0)

    def pause_writing(self) -> None:
        """Do nothing: `send` itself checks whether a part of the request is left in the write buffer."""

    def resume_writing(self) -> None:
        """Record that the last byte of the request has left the write buffer."""
        self._is_request_written = self._handler is not None

    def data_received(self, data: bytes) -> None:
        """Parse the response; unexpected or invalid bytes end the connection."""
        handler = self._handler
        if handler is None or self._parser is None:
            self.close()
            return
        if not self._is_request_written:
            # Bytes that arrive before the request was written completely cannot be its response.
            handler.handle_reset()
            return
        try:
            response = self._parser.feed(data)
        except InvalidResponseError:
            handler.handle_reset()
            return
        if response is not None:
            handler.handle_response(response)
            return
        growth_bytes = self._parser.held_bytes - self._held_bytes
        self._held_bytes += growth_bytes
        self._gate.record_growth(growth_bytes)

    def eof_received(self) -> None:
        """Report a response without a length as complete, any other as reset; the transport closes itself."""
        handler = self._handler
        if handler is None:
            return
        response: Response | None = None
        if self._parser is not None and self._is_request_written:
            response = self._parser.finish()
        if response is not None:
            handler.handle_response(response)
        else:
            handler.handle_reset()

    def connection_lost(self, _exc: Exception | None) -> None:
        """Report the end of the connection to the pool, then to the handler of the request in progress."""
        self._report_closed()
        if self._handler is not None:
            self._handler.handle_reset()

    # ---- for the attempt and the pool -----------------------------------------------------------

    def send(self, request: bytes, handler: ResponseHandler) -> None:
        """Write a request, and pass its response to the handler.

        Raises:
            InvalidStateError: The connection has not been established.
        """
        if self._transport is None:
            raise InvalidStateError(_NOT_ESTABLISHED)
        self._handler = handler
        self._gate.add(self)
        self._is_request_written = False
        self._parser = self._parser or ResponseParser()
        self._transport.write(request)
        self._is_request_written = self.unsent_bytes == 0 and not self._transport.is_closing()

    def is_request_written(self) -> bool:
        """Return whether the last byte of the request has left the write buffer of this process."""
        return self._is_request_written

    def is_alive(self) -> bool:
        """Return whether the connection can carry a request.

        Checks the socket itself: the connection may have ended after the event loop last polled the socket.
        """
        if self._is_closed or self._transport is None or self._transport.is_closing():
            return False
        return peek(self._transport) is None  # neither the end of the connection nor unexpected bytes

    def mark_idle(self) -> None:
        """Record the current time as the time at which the connection became idle."""
        self.idle_since = time.monotonic()

    def release(self, *, is_response_complete: bool) -> None:
        """Detach the handler of the current request; report the connection as reusable, or close it.

        Args:
            is_response_complete: Whether the request ended with a complete response.
        """
        self._handler = None
        self._leave_gate()
        if (
            is_response_complete
            and self._is_request_written
            and self._parser is not None
            and self._parser.may_reuse
        ):
            self._on_reusable(self)
        else:
            self.close()

    def close(self) -> None:
        """Close the connection; its sending side is shut down before this returns.

        The event loop closes the socket only in its next iteration. By then another attempt of the same
        request may have been sent; without the shutdown, upstreams could process both at the same time.
        """
        self._report_closed()
        if self._transport is not None:
            shutdown_write(self._transport)
            self._transport.abort()

    def pause_reading(self) -> None:
        """Stop reading the response."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Read the response again."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def _leave_gate(self) -> None:
        self._gate.remove(self, self._held_bytes)
        self._held_bytes = 0

    def _report_closed(self) -> None:
        self._leave_gate()
        if not self._is_closed:
            self._is_closed = True
            self._on_closed(self)
