"""The transport of a client connection: writing, pausing, and closing without losing a response."""

from __future__ import annotations

import select
from typing import TYPE_CHECKING

from loadbalancer.network.sockets import count_unread_bytes, peek, set_no_delay, shutdown_write

if TYPE_CHECKING:
    import asyncio

    from loadbalancer.network.counters import CloseReason

MAX_LINGER_BYTES = 1 << 20
"""Maximum number of discarded bytes; above it, nothing more is read until the connection is aborted."""


class ClientTransport:
    """Wraps the asyncio transport of one connection, and aborts it some time after a graceful close.

    Until `attach` is called the connection is not set up: nothing is read, written or closed.

    Attributes:
        discards_input: Whether bytes that still arrive are discarded: the connection is closing, or its
            input was rejected.
        is_disconnected: Whether the client has closed the connection, or its sending side.
        is_reading_paused: Whether reading is paused until there is room, or until the next turn.
        close_reason: The first reason for which the balancer closes the connection; None if it does not.
    """

    __slots__ = (
        "_abort_timer",
        "_discarded_bytes",
        "_loop",
        "_transport",
        "close_reason",
        "discards_input",
        "is_disconnected",
        "is_reading_paused",
    )

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._transport: asyncio.Transport | None = None
        self._abort_timer: asyncio.TimerHandle | None = None
        self._discarded_bytes = 0
        self.discards_input = False
        self.is_disconnected = False
        self.is_reading_paused = False
        self.close_reason: CloseReason | None = None

    def attach(self, transport: asyncio.Transport) -> None:
        """Use a transport that the event loop has set up."""
        self._transport = transport
        # With limits of 0, `resume_writing` is called when the last byte of a response has been sent.
        transport.set_write_buffer_limits(high=0, low=0)
        set_no_delay(transport)

    # ---- state ----------------------------------------------------------------------------------

    @property
    def asyncio_transport(self) -> asyncio.Transport | None:
        """The asyncio transport; None until the connection is set up."""
        return self._transport

    @property
    def is_open(self) -> bool:
        """Whether the connection is set up, and the client has not disconnected."""
        return self._transport is not None and not self.is_disconnected

    @property
    def is_abort_scheduled(self) -> bool:
        """Whether a timer will abort the connection, one side of which is already closed."""
        return self._abort_timer is not None

    def has_unsent_bytes(self) -> bool:
        """Return whether written bytes are still in the write buffer of the transport."""
        return self.unsent_bytes > 0

    @property
    def unsent_bytes(self) -> int:
        """The number of written bytes that are still in the write buffer of the transport."""
        return self._transport.get_write_buffer_size() if self._transport is not None else 0

    def is_input_empty(self) -> bool:
        """Return whether the connection is up and the kernel holds no bytes that the loop has not read."""
        return self._transport is not None and peek(self._transport) is None

    def count_unread_bytes(self) -> int | None:
        """Return the number of bytes that the kernel holds and the loop has not read; None if unknown."""
        return count_unread_bytes(self._transport) if self._transport is not None else None

    def has_unread_bytes(self) -> bool:
        """Return whether the kernel holds bytes of the client that the loop has not read."""
        return self._transport is not None and bool(peek(self._transport))

    def has_client_disconnected(self) -> bool:
        """Return whether the client has closed the connection, or its sending side; if so, abort it.

        The kernel is queried, since the event loop notices a disconnect late while it is busy or reading
        is paused.
        """
        if self._transport is None or self.is_disconnected or self._transport.is_closing():
            return True
        has_closed = _has_peer_closed(self._transport)
        if has_closed:
            self._transport.abort()
        return has_closed

    # ---- reading and writing --------------------------------------------------------------------

    def write(self, data: bytes) -> None:
        """Send bytes to the client."""
        if self._transport is not None:
            self._transport.write(data)

    def pause_reading(self) -> None:
        """Stop reading until `resume_reading` is called."""
        if self._transport is not None and not self.is_disconnected and not self.is_reading_paused:
            self.is_reading_paused = True
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Resume reading after `pause_reading`."""
        if self._transport is not None:
            self.is_reading_paused = False
            self._transport.resume_reading()

    def discard(self, byte_count: int) -> None:
        """Discard input; once more than `MAX_LINGER_BYTES` have been discarded, nothing more is read."""
        self._discarded_bytes += byte_count
        is_limit_exceeded = self._discarded_bytes > MAX_LINGER_BYTES
        if is_limit_exceeded and self._transport is not None and not self.is_disconnected:
            self._transport.pause_reading()

    # ---- closing --------------------------------------------------------------------------------

    def set_close_reason(self, reason: CloseReason) -> None:
        """Record why the balancer closes the connection, unless there is a reason already."""
        self.close_reason = self.close_reason or reason

    def close_gracefully(self, reason: CloseReason, linger_s: float) -> None:
        """Close the sending side, then read and discard input for a short time.

        Closing both sides could cause a reset that overtakes the last response, or a reset in reply to a
        request that arrives after the close. With only the sending side closed, the client sees the
        connection end between two requests, and sends the request again on another connection.

        Args:
            reason: Why the connection is closed.
            linger_s: How long input is read and discarded.
        """
        self.set_close_reason(reason)
        if self._transport is None or self.is_disconnected or self.is_abort_scheduled:
            return
        if self._transport.is_closing():
            return
        self.discards_input = True
        self._transport.write_eof()
        if self._transport.get_write_buffer_size() == 0:
            # The event loop itself would shut the socket down only in its next iteration, and a request could
            # arrive before that.
            shutdown_write(self._transport)
        self.schedule_abort(linger_s)

    def schedule_abort(self, delay_s: float) -> None:
        """Abort the connection after a delay; no effect if a timer is already running."""
        if self._transport is not None and self._abort_timer is None:
            self._abort_timer = self._loop.call_later(delay_s, self._transport.abort)

    def abort(self, reason: CloseReason) -> None:
        """Abort the connection now; unsent bytes are dropped."""
        self.set_close_reason(reason)
        if self._transport is not None:
            self._transport.abort()

    def cancel_scheduled_abort(self) -> None:
        """Cancel the timer of `schedule_abort`."""
        if self._abort_timer is not None:
            self._abort_timer.cancel()


def _has_peer_closed(transport: asyncio.Transport) -> bool:
    """Return whether the peer has closed the connection, or its sending side, as the kernel reports it."""
    first_byte = peek(transport)
    if not first_byte:
        return first_byte == b""
    # The end of the stream may follow unread bytes.
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))
