"""A client connection: the asyncio protocol callbacks, and the connection's state."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, cast

from loadbalancer.network.client import timeouts
from loadbalancer.network.client.expiry import ConnectionExpiry
from loadbalancer.network.client.pipeline import RequestPipeline
from loadbalancer.network.client.requests.request_reader import RequestReader
from loadbalancer.network.client.transport import ClientTransport
from loadbalancer.network.counters import CloseReason

if TYPE_CHECKING:
    from collections.abc import Callable

    from loadbalancer.network.client.context import ConnectionContext
    from loadbalancer.network.client.timeouts import ConnectionTimeouts


class ClientConnection(asyncio.BufferedProtocol):
    """A client connection, composed of its transport, request reader, pipeline and timeouts.

    Attributes:
        expiry: Closes the connection when it has exceeded a timeout.
    """

    __slots__ = ("_buffer_bytes", "_context", "_on_closed", "_pipeline", "_reader", "_transport", "expiry")

    def __init__(
        self,
        context: ConnectionContext,
        on_closed: Callable[[ClientConnection], None],
        connected_at: float,
        first_request_received_at: float | None,
    ) -> None:
        """Create a connection; both times are in seconds on the monotonic clock.

        Args:
            context: State and services shared by the connections of the listener.
            on_closed: Called once the connection is closed.
            connected_at: When the client connected, which is before the connection was accepted.
            first_request_received_at: When the first request reached the kernel, if that was before the
                connection was accepted; else None.
        """
        self._context = context
        self._buffer_bytes = 0
        self._on_closed = on_closed
        self._transport = ClientTransport(context.loop)
        self._reader = RequestReader(context.classes, connected_at, first_request_received_at)
        self._pipeline = RequestPipeline(context, self._transport, self._reader)
        self.expiry = ConnectionExpiry(self._transport, self._reader, self._pipeline)

    # ---- state ----------------------------------------------------------------------------------

    @property
    def transport(self) -> asyncio.Transport | None:
        """The asyncio transport; None until the connection is set up."""
        return self._transport.asyncio_transport

    @property
    def state(self) -> str:
        """The state of the connection in one word, for the log."""
        if self._transport.discards_input:
            return "closing"
        if self._pipeline.has_open_request():
            return "responding"
        return "idle" if self.expiry.is_idle() else "receiving"

    @property
    def idle_since(self) -> float:
        """When the last response was written, or when the client connected if there has been none."""
        return self._pipeline.idle_since

    @property
    def request_started_at(self) -> float:
        """When the current request began to arrive, or when the client connected if none has arrived yet."""
        return self._reader.arrival.started_at

    @property
    def discards_input(self) -> bool:
        """Whether input is discarded: the connection is closing, or its input was rejected."""
        return self._transport.discards_input

    @property
    def is_abort_scheduled(self) -> bool:
        """Whether a timer will abort the connection, one side of which is already closed."""
        return self._transport.is_abort_scheduled

    def has_unanswered_input(self) -> bool:
        """Return whether a request is open, or input or a response waits in this process."""
        if not self._transport.is_open:
            return False
        has_input = bool(self._reader.unparsed_bytes) and not self._transport.discards_input
        return self._pipeline.has_open_request() or has_input or self._transport.has_unsent_bytes()

    def handle_waiting_input(self) -> None:
        """Handle what waits, as far as it may be handled now."""
        self._pipeline.resume()

    def is_awaiting_request(self) -> bool:
        """Return whether no request is open, and a request is arriving or none has arrived yet."""
        return self.expiry.is_awaiting_request()

    @property
    def partial_request_bytes(self) -> int:
        """Memory of an incomplete request; 0 if other requests are open, or may be in unparsed input."""
        if self._reader.unparsed_bytes or not self.is_awaiting_request():
            return 0
        return self._reader.input_bytes

    def give_up_partial_request(self) -> None:
        """Refuse the incomplete request, and release its memory."""
        self._pipeline.give_up_partial_request()

    def can_close_without_loss(self) -> bool:
        """Return whether the connection can be closed without losing a request."""
        return self.expiry.can_close_without_loss()

    # ---- callbacks of asyncio.Protocol ----------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Attach the transport, from which the event loop now reads."""
        self._transport.attach(cast("asyncio.Transport", transport))

    def get_buffer(self, _size_hint: int) -> memoryview:
        """Return the buffer that all connections share; it is read out before the next read."""
        buffer = self._context.next_read_buffer()
        self._buffer_bytes = len(buffer)
        return buffer

    def buffer_updated(self, byte_count: int) -> None:
        """Buffer and parse the input, or discard it after a rejection or a graceful close.

        Input is read even if it is discarded: unread input would make the kernel send a reset, which could
        overtake the last response.
        """
        if self._transport.discards_input:
            self._transport.discard(byte_count)
            return
        unread_bytes: int | None = 0
        if byte_count == self._buffer_bytes:
            # The loop would read on at once, however much there is.
            self._transport.pause_reading()
            unread_bytes = self._transport.count_unread_bytes()
        self._reader.receive(self._context.read_buffer[:byte_count], unread_bytes)
        self._pipeline.handle_input()

    def eof_received(self) -> None:
        """Treat a client that closes its sending side as disconnected.

        The event loop closes the transport once the write buffer is empty. The timer aborts the connection
        if the buffer never becomes empty because the client does not read the response.
        """
        self._disconnect()
        self._transport.schedule_abort(timeouts.WRITE_STALL_TIMEOUT_S)

    def connection_lost(self, _error: Exception | None) -> None:
        """Drop the requests of the connection, count why it ended, and cancel its timer."""
        self._disconnect()
        self._context.counters.closes[self._transport.close_reason or CloseReason.BY_CLIENT] += 1
        self._transport.cancel_scheduled_abort()
        self._on_closed(self)

    def resume_writing(self) -> None:
        """Handle the next request, since the previous response has left the write buffer."""
        self._pipeline.resume()

    def _disconnect(self) -> None:
        self._transport.is_disconnected = True
        self._transport.discards_input = True
        self._pipeline.drop_requests()

    # ---- closing --------------------------------------------------------------------------------

    def is_stalled(self, now: float, unread_s: float) -> bool:
        """Return whether the client has read nothing of a response for `unread_s` seconds."""
        return self.expiry.is_stalled(now, unread_s)

    def close_if_timed_out(self, now: float, limits: ConnectionTimeouts) -> bool:
        """Close the connection if it has exceeded a timeout; see `ConnectionExpiry.close_if_timed_out`."""
        return self.expiry.close_if_timed_out(now, limits)

    def close_gracefully(self) -> None:
        """Close the sending side at the shutdown, then discard input for a short time."""
        self._transport.close_gracefully(CloseReason.SHUTDOWN, timeouts.LINGER_TIMEOUT_S)
