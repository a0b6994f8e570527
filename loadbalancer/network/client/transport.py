"""The transport of a client's connection: writing, pausing, and closing without losing a response."""

from __future__ import annotations

import asyncio
import select

from loadbalancer.network.sockets import peek, set_no_delay, shutdown_write

# Reading stops once so much input was discarded; the client's sending then stalls until the linger ends.
MAX_LINGER_BYTES = 1 << 20


class ClientTransport:
    """The transport of one connection, and the timer that ends it after a graceful close.

    It exists before the connection is set up; until then nothing can be read, written or closed.

    Attributes:
        discards_input: Whether what still arrives is discarded: the connection is closing, or its input
            was rejected.
        is_disconnected: Whether the client has closed the connection, or its sending side.
        is_reading_paused: Whether reading waits until pipelined requests have been responded to.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._transport: asyncio.Transport | None = None
        self._abort_timer: asyncio.TimerHandle | None = None
        self._discarded_bytes = 0
        self.discards_input = False
        self.is_disconnected = False
        self.is_reading_paused = False

    def attach(self, transport: asyncio.Transport) -> None:
        """Use a transport that has been set up."""
        self._transport = transport
        # With limits of 0 `resume_writing` is called when the last byte of a response has left.
        transport.set_write_buffer_limits(high=0, low=0)
        set_no_delay(transport)

    # ---- state ----------------------------------------------------------------------------------

    @property
    def asyncio_transport(self) -> asyncio.Transport | None:
        """The transport of the event loop; None until the connection is set up."""
        return self._transport

    @property
    def is_open(self) -> bool:
        """Whether the connection is set up and the client still there."""
        return self._transport is not None and not self.is_disconnected

    @property
    def is_lingering(self) -> bool:
        """Whether our side is closed, or the client's, and the connection ends after a time."""
        return self._abort_timer is not None

    def has_unsent_bytes(self) -> bool:
        """Return whether bytes that were written wait for the client to read."""
        return self._transport is not None and self._transport.get_write_buffer_size() > 0

    def has_unread_bytes(self) -> bool:
        """Return whether the kernel holds bytes of the client that the loop has not read."""
        return self._transport is not None and bool(peek(self._transport))

    def is_client_gone(self) -> bool:
        """Return whether the client has closed the connection, or its sending side; abort if so.

        This looks at the socket itself: the loop learns of it late while it is busy or reading is paused.
        """
        if self._transport is None or self.is_disconnected or self._transport.is_closing():
            return True
        is_gone = _has_peer_closed(self._transport)
        if is_gone:
            self._transport.abort()
        return is_gone

    # ---- reading and writing --------------------------------------------------------------------

    def write(self, data: bytes) -> None:
        """Send bytes to the client."""
        if self._transport is not None:
            self._transport.write(data)

    def pause_reading(self) -> None:
        """Read no further until `resume_reading`."""
        if self._transport is not None and not self.is_disconnected and not self.is_reading_paused:
            self.is_reading_paused = True
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Read on after a pause."""
        if self._transport is not None:
            self.is_reading_paused = False
            self._transport.resume_reading()

    def discard(self, data: bytes) -> None:
        """Drop input; reading stops for good once too much of it has come."""
        self._discarded_bytes += len(data)
        is_too_much = self._discarded_bytes > MAX_LINGER_BYTES
        if is_too_much and self._transport is not None and not self.is_disconnected:
            self._transport.pause_reading()

    # ---- the end of the connection --------------------------------------------------------------

    def close_gracefully(self, linger_s: float) -> None:
        """Close our side, and read and discard input for a moment.

        Guards against a reset that overtakes our last response, or that meets a request on its way: the
        client sees a clean end between two requests, and sends the request again on another connection.

        Args:
            linger_s: For how long input is read and discarded.
        """
        if self._transport is None or self.is_disconnected or self.is_lingering:
            return
        if self._transport.is_closing():
            return
        self.discards_input = True
        self._transport.write_eof()
        if self._transport.get_write_buffer_size() == 0:
            # The loop does so in its next turn only: a request could arrive before that.
            shutdown_write(self._transport)
        self.abort_after(linger_s)

    def abort_after(self, delay_s: float) -> None:
        """End the connection after a time, unless such a time is running already."""
        if self._transport is not None and self._abort_timer is None:
            self._abort_timer = self._loop.call_later(delay_s, self._transport.abort)

    def abort(self) -> None:
        """End the connection now; what was not sent yet is dropped."""
        if self._transport is not None:
            self._transport.abort()

    def cancel_timer(self) -> None:
        """Release the timer of a connection that is closed."""
        if self._abort_timer is not None:
            self._abort_timer.cancel()


def _has_peer_closed(transport: asyncio.Transport) -> bool:
    """Ask the kernel whether the peer has closed the connection, or its sending side."""
    first_byte = peek(transport)
    if not first_byte:
        return first_byte == b""
    # The end may follow bytes that are not read yet.
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))
