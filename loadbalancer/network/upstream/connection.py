"""One connection to an upstream: writes a request, reads the response, reports what happens between."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Protocol, cast

from loadbalancer.errors import InvalidStateError
from loadbalancer.network.errors import InvalidResponseError
from loadbalancer.network.sockets import peek, set_no_delay, shutdown_write
from loadbalancer.network.upstream.response_reader import Response, ResponseReader

if TYPE_CHECKING:
    from collections.abc import Callable


_NOT_ESTABLISHED = "a request was sent before the connection was established"


class ResponseHandler(Protocol):
    """What a connection reports to while it carries a request."""

    def handle_response(self, response: Response) -> None:
        """The response is complete."""

    def handle_reset(self) -> None:
        """The connection ended, or carried bytes that are not a valid response."""


class UpstreamConnection(asyncio.Protocol):
    """One connection to an upstream; it carries one request at a time and owns its transport.

    Args:
        on_reusable: Called with the connection when it may carry a further request.
        on_closed: Called with the connection exactly once, as it closes.
    """

    def __init__(
        self,
        on_reusable: Callable[[UpstreamConnection], None],
        on_closed: Callable[[UpstreamConnection], None],
    ) -> None:
        self.idle_since = 0.0
        """When it last became idle, in seconds of `time.monotonic`."""
        self._on_reusable = on_reusable
        self._on_closed = on_closed
        self._handler: ResponseHandler | None = None
        self._transport: asyncio.Transport | None = None
        self._reader: ResponseReader | None = None
        self._is_written = False
        self._is_closed = False

    @property
    def transport(self) -> asyncio.Transport | None:
        """The transport; None until the connection is established."""
        return self._transport

    @property
    def unsent_bytes(self) -> int:
        """How many bytes of the request still wait in the buffer of this process."""
        return 0 if self._transport is None else self._transport.get_write_buffer_size()

    # ---- callbacks of the event loop ------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Have writes reported exactly: any byte that stays in the buffer pauses writing."""
        self._transport = cast("asyncio.Transport", transport)
        set_no_delay(transport)
        self._transport.set_write_buffer_limits(high=0, low=0)

    def pause_writing(self) -> None:
        """A part of the request is still in the buffer of this process."""

    def resume_writing(self) -> None:
        """The last byte of the request has left the buffer."""
        self._is_written = self._handler is not None

    def data_received(self, data: bytes) -> None:
        """Parse the response; anything that is not a valid one ends the connection."""
        handler = self._handler
        if handler is None or self._reader is None:
            self.close()
            return
        if not self._is_written:
            # The request has not left completely: whatever these bytes are, they are not its response.
            handler.handle_reset()
            return
        try:
            response = self._reader.feed(data)
        except InvalidResponseError:
            handler.handle_reset()
            return
        if response is not None:
            handler.handle_response(response)

    def eof_received(self) -> None:
        """The upstream has ended the connection; the transport closes by itself."""
        if self._handler is not None:
            self._handler.handle_reset()

    def connection_lost(self, _exc: Exception | None) -> None:
        """Report the end to the pool first, then to the request that was in progress."""
        self._report_closed()
        if self._handler is not None:
            self._handler.handle_reset()

    # ---- for the attempt and the pool -----------------------------------------------------------

    def send(self, request: bytes, handler: ResponseHandler) -> None:
        """Write a request; its response goes to the handler.

        Raises:
            InvalidStateError: The connection has not been established.
        """
        if self._transport is None:
            raise InvalidStateError(_NOT_ESTABLISHED)
        self._handler = handler
        self._is_written = False
        self._reader = self._reader or ResponseReader()
        self._transport.write(request)
        self._is_written = self.unsent_bytes == 0 and not self._transport.is_closing()

    def is_written(self) -> bool:
        """Whether the last byte of the request has left the buffer of this process."""
        return self._is_written

    def is_alive(self) -> bool:
        """Look at the socket itself: the end may have come since the event loop last polled it."""
        if self._is_closed or self._transport is None or self._transport.is_closing():
            return False
        return peek(self._transport) is None  # neither the end, nor bytes that belong to no request

    def mark_idle(self) -> None:
        """Note that it carries no request from now on."""
        self.idle_since = time.monotonic()

    def release(self, *, reuse: bool) -> None:
        """End the current request: keep the connection if it may be used again, else close it.

        Args:
            reuse: Whether the request ended with a complete response.
        """
        self._handler = None
        if reuse and self._is_written and self._reader is not None and self._reader.may_reuse:
            self._on_reusable(self)
        else:
            self.close()

    def close(self) -> None:
        """Close at once, in a way that the upstream notices now.

        Guards against two attempts in progress at a time: the event loop closes the socket in its next
        turn, when a further attempt has begun already.
        """
        self._report_closed()
        if self._transport is not None:
            shutdown_write(self._transport)
            self._transport.abort()

    def _report_closed(self) -> None:
        if not self._is_closed:
            self._is_closed = True
            self._on_closed(self)
