"""One client's connection: the callbacks of its transport, and its time limits."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from loadbalancer.network.client import timeouts
from loadbalancer.network.client.context import ConnectionContext
from loadbalancer.network.client.incoming_request import Rejection
from loadbalancer.network.client.pipeline import RequestPipeline
from loadbalancer.network.client.request_reader import RequestReader
from loadbalancer.network.client.transport import ClientTransport

REQUEST_TIMED_OUT = Rejection(408, "the request did not come to its end")


class ClientConnection(asyncio.Protocol):
    """One client's connection, which owns its transport and the pipeline of its requests."""

    def __init__(
        self,
        context: ConnectionContext,
        on_closed: Callable[[ClientConnection], None],
        connected_at: float,
        first_request_sent_at: float | None,
    ) -> None:
        """Create a connection; both times are in seconds of the monotonic clock.

        Args:
            context: What the connections of the listener share.
            on_closed: Called once the connection is closed.
            connected_at: When the client connected, which is before the connection was accepted.
            first_request_sent_at: When the first request reached the kernel, if it came before the
                connection was accepted; else None.
        """
        self._on_closed = on_closed
        self._transport = ClientTransport(context.loop)
        self._reader = RequestReader(context.classes, connected_at, first_request_sent_at)
        self._pipeline = RequestPipeline(context, self._transport, self._reader)

    # ---- state ----------------------------------------------------------------------------------

    @property
    def transport(self) -> asyncio.Transport | None:
        """The transport of the event loop; None until the connection is set up."""
        return self._transport.asyncio_transport

    @property
    def idle_since(self) -> float:
        """When the last response was written, or the client connected if none was yet."""
        return self._pipeline.idle_since

    @property
    def request_started_at(self) -> float:
        """When the current request began to arrive; when the client connected, before the first one."""
        return self._reader.request_started_at

    @property
    def discards_input(self) -> bool:
        """Whether what still arrives is discarded: the connection is closing, or its input was rejected."""
        return self._transport.discards_input

    @property
    def is_reading_paused(self) -> bool:
        """Whether reading waits until pipelined requests have been responded to."""
        return self._transport.is_reading_paused

    @property
    def is_lingering(self) -> bool:
        """Whether the connection is closed on one side and ends after a time."""
        return self._transport.is_lingering

    def is_idle(self) -> bool:
        """Return whether no request is being handled, is queued or has begun to arrive."""
        return not self._pipeline.has_open_request() and not self._reader.is_reading

    def is_request_pending(self) -> bool:
        """Return whether a request is awaited or has begun to arrive, and none is open."""
        is_awaited = self._reader.is_reading or not self._reader.has_received_request
        return is_awaited and not self._pipeline.has_open_request()

    def may_close(self) -> bool:
        """Return whether closing loses nothing: it is idle, and the kernel holds no request either."""
        if not self._transport.is_open or not self.is_idle():
            return False
        return self._transport.discards_input or not self._transport.has_unread_bytes()

    def is_client_gone(self) -> bool:
        """Return whether the client has closed the connection, or its sending side."""
        return self._transport.is_client_gone()

    # ---- callbacks of the transport -------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to read."""
        self._transport.attach(cast(asyncio.Transport, transport))

    def data_received(self, data: bytes) -> None:
        """Read requests; input after a rejection is discarded, so that the client gets the response."""
        if self._transport.discards_input:
            self._transport.discard(data)
        else:
            self._reader.receive(data)
            self._pipeline.parse_input()

    def eof_received(self) -> None:
        """Treat a client that closes its sending side as gone.

        The transport closes by itself once the client has read our last response.
        """
        self._disconnect()
        self._transport.abort_after(timeouts.WRITE_STALL_TIMEOUT_S)

    def connection_lost(self, _error: Exception | None) -> None:
        """Release what the connection holds."""
        self._disconnect()
        self._transport.cancel_timer()
        self._on_closed(self)

    def resume_writing(self) -> None:
        """Go on with the next request: the client has read the response before it."""
        self._pipeline.advance()

    def _disconnect(self) -> None:
        self._transport.is_disconnected = True
        self._transport.discards_input = True
        self._pipeline.abandon()

    # ---- time limits ----------------------------------------------------------------------------

    def expire_if_slow(self, now: float, request_timeout_s: float, idle_timeout_s: float) -> bool:
        """Close the connection if the client has kept it for too long without a whole request.

        Guards against clients that send nothing, never finish a request, or stay connected after one. A
        request that has arrived and is not read yet is not lost: the kernel is asked for it first, and it
        is read although its time is up.

        Args:
            now: Seconds of the monotonic clock.
            request_timeout_s: How long a request may take to arrive.
            idle_timeout_s: How long the connection may stay idle.

        Returns:
            Whether the connection was closed or its request rejected.
        """
        if not self._transport.is_open or self._transport.discards_input:
            return False
        if self._transport.is_reading_paused and self._transport.is_client_gone():
            return False  # while reading is paused nothing else would notice
        if self.is_request_pending():
            return self._expire_pending_request(now, request_timeout_s)
        if self.is_idle():
            if now - self.idle_since < idle_timeout_s or not self.may_close():
                return False
            self.close_gracefully()
            return True
        if self._pipeline.has_waiting_request() and now - self.idle_since > timeouts.WRITE_STALL_TIMEOUT_S:
            # The client does not read its responses: the requests that are queued would never be handled.
            self._transport.abort()
        return False

    def _expire_pending_request(self, now: float, request_timeout_s: float) -> bool:
        started_at = self._reader.request_started_at
        if now - started_at < request_timeout_s:
            return False
        # Guards against clients that send a byte at a time: while the loop is busy, each look would find
        # a byte that is not read yet. Once input was read after the time was up, no more is waited for.
        grace_ends_at = started_at + timeouts.REQUEST_TIMEOUT_S + timeouts.SWEEP_INTERVAL_S
        was_read_late = self._reader.last_received_at >= grace_ends_at
        if not was_read_late and self._transport.has_unread_bytes():
            return False
        if self._reader.has_partial_request:
            self._pipeline.reject(REQUEST_TIMED_OUT)
        else:
            self.close_gracefully(timeouts.SHORT_LINGER_TIMEOUT_S)
        return True

    def close_gracefully(self, linger_s: float = timeouts.LINGER_TIMEOUT_S) -> None:
        """Close our side, and read and discard input for a moment, so that no reset loses a response."""
        self._transport.close_gracefully(linger_s)
