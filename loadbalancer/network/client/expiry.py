"""Closes a client connection that has exceeded a timeout."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from loadbalancer.network.client import timeouts
from loadbalancer.network.client.requests.rejection import Rejection
from loadbalancer.network.counters import CloseReason

if TYPE_CHECKING:
    from loadbalancer.network.client.pipeline import RequestPipeline
    from loadbalancer.network.client.requests.request_reader import RequestReader
    from loadbalancer.network.client.timeouts import ConnectionTimeouts
    from loadbalancer.network.client.transport import ClientTransport

REQUEST_TIMED_OUT = Rejection(408, "the request did not come to its end")


class ConnectionExpiry:
    """Applies the timeouts for request arrival, idle time and unread responses to one connection."""

    __slots__ = ("_last_read_at", "_pipeline", "_reader", "_transport", "_unsent_bytes")

    def __init__(self, transport: ClientTransport, reader: RequestReader, pipeline: RequestPipeline) -> None:
        self._transport = transport
        self._reader = reader
        self._pipeline = pipeline
        self._unsent_bytes = 0  # of the response, when it was last checked
        self._last_read_at = -math.inf  # when the client was last found to have read something of it

    def is_idle(self) -> bool:
        """Return whether no request is being handled, queued or arriving."""
        has_input = self._reader.arrival.is_arriving or self._reader.unparsed_bytes
        return not has_input and not self._pipeline.has_open_request()

    def is_awaiting_request(self) -> bool:
        """Return whether no request is open, and a request is arriving or none has arrived yet."""
        arrival = self._reader.arrival
        is_awaited = arrival.is_arriving or not arrival.has_received_request
        return is_awaited and not self._pipeline.has_open_request()

    def can_close_without_loss(self) -> bool:
        """Return whether the connection can be closed without losing a request.

        It must be open and idle; unread input may be a request, unless input is discarded anyway.
        """
        if not self._transport.is_open or not self.is_idle():
            return False
        return self._transport.discards_input or not self._transport.has_unread_bytes()

    def is_stalled(self, now: float, unread_s: float) -> bool:
        """Return whether the client has read nothing of a response for `unread_s` seconds."""
        return self._transport.has_unsent_bytes() and now - self._unread_since(now) > unread_s

    def close_if_timed_out(self, now: float, limits: ConnectionTimeouts) -> bool:
        """Close the connection if it has exceeded a timeout.

        This disconnects clients that send nothing, never complete a request, stay idle, or stop reading
        responses. A request that has arrived but has not been read is not lost: the kernel is queried for
        unread bytes first, and a request found there is read although the timeout has passed.

        One of these ends each connection, in any state:

        - A request arrives: its timeout, which begins with its first byte.
        - A request is open: its response, at its deadline at the latest.
        - Requests, input or a rejection wait, and a response is unread: the timeout of unread responses.
        - They wait, and no response is unread: they have a share of a turn.
        - None of these: the idle timeout.
        - One side is closed: the timer that `ClientTransport.schedule_abort` has set.

        Args:
            now: The current time, in seconds on the monotonic clock.
            limits: The timeouts.

        Returns:
            Whether the connection was closed, or its request rejected, because of a timeout.
        """
        if self._abort_if_unread(now, limits.unread_s):
            return True
        if not self._transport.is_open or self._transport.discards_input:
            return False
        if self._transport.is_reading_paused and self._transport.has_client_disconnected():
            return False  # aborted by the check: the event loop detects no disconnect while reading is paused
        if self.is_awaiting_request():
            return self._close_if_request_timed_out(now, limits.request_s)
        if self.is_idle():
            return self._close_if_idle(now, limits.idle_s)
        return False

    def _close_if_idle(self, now: float, idle_timeout_s: float) -> bool:
        idle_since = self._pipeline.idle_since
        if now - idle_since < idle_timeout_s:
            return False
        # Without this, a client that sends empty lines without end would always have unread bytes.
        was_read_late = (
            self._reader.last_received_at >= idle_since + idle_timeout_s + timeouts.SWEEP_INTERVAL_S
        )
        if not was_read_late and not self.can_close_without_loss():
            return False
        self._transport.close_gracefully(CloseReason.IDLE_TIMEOUT, timeouts.LINGER_TIMEOUT_S)
        return True

    def _close_if_request_timed_out(self, now: float, request_timeout_s: float) -> bool:
        started_at = self._reader.arrival.started_at
        if now - started_at < request_timeout_s:
            return False
        # A client that sends one byte at a time to a busy loop would have an unread byte at each check, and
        # would never time out. Unread bytes therefore no longer count once the loop has read input after the
        # end of the grace period.
        grace_ends_at = started_at + timeouts.REQUEST_TIMEOUT_S + timeouts.SWEEP_INTERVAL_S
        was_read_late = self._reader.last_received_at >= grace_ends_at
        if not was_read_late and self._transport.has_unread_bytes():
            return False
        if self._reader.unparsed_bytes:
            return False  # the rest of the request may have been read, and waits for its turn
        if self._reader.has_partial_request:
            self._transport.set_close_reason(CloseReason.REQUEST_TIMEOUT)
            self._pipeline.reject(REQUEST_TIMED_OUT)
        else:
            self._transport.close_gracefully(CloseReason.REQUEST_TIMEOUT, timeouts.SHORT_LINGER_TIMEOUT_S)
        return True

    def _abort_if_unread(self, now: float, unread_s: float) -> bool:
        """Abort if the client has stopped reading: what waits behind the response can't be handled."""
        if not self._transport.has_unsent_bytes():
            return False
        if self._transport.is_abort_scheduled and not self._transport.is_disconnected:
            return False  # the last response has been written, and its timer runs
        is_rejection_late = now - self._pipeline.rejection_pending_since > timeouts.UNREAD_REJECTION_TIMEOUT_S
        if not is_rejection_late and not self.is_stalled(now, unread_s):
            return False
        self._transport.abort(CloseReason.UNREAD_RESPONSE)
        return True

    def _unread_since(self, now: float) -> float:
        """Return since when, as far as it was checked, the client has read nothing of the response."""
        unsent_bytes = self._transport.unsent_bytes
        if unsent_bytes != self._unsent_bytes:
            self._unsent_bytes = unsent_bytes
            self._last_read_at = now
        return max(self._last_read_at, self._pipeline.idle_since)
