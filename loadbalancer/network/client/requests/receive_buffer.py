"""The input of a connection that has been read and is not parsed, with the time at which it arrived."""

from __future__ import annotations

MERGED_PERIOD_S = 0.02
"""Input that arrived within this time of earlier input has the same arrival time as that input."""


class ReceiveBuffer:
    """Bytes in their order on the wire, and their arrival times in seconds of the monotonic clock.

    Attributes:
        size: The number of bytes.
    """

    __slots__ = ("_arrivals", "_bytes", "size")

    def __init__(self) -> None:
        self.size = 0
        self._bytes = bytearray()
        self._arrivals: list[tuple[int, float]] = []  # number of bytes and their arrival time

    def append(self, data: bytes | memoryview, arrived_at: float) -> None:
        """Append bytes."""
        self._bytes += data
        self.size += len(data)
        if self._arrivals:
            count, earlier_arrived_at = self._arrivals[-1]
            if arrived_at - earlier_arrived_at < MERGED_PERIOD_S:
                self._arrivals[-1] = (count + len(data), earlier_arrived_at)
                return
        self._arrivals.append((len(data), arrived_at))

    def take(self, max_bytes: int) -> tuple[bytes, float]:
        """Remove and return the first bytes, and when they arrived; the buffer must not be empty.

        All returned bytes have the same arrival time, so they may be fewer than `max_bytes`.
        """
        count, arrived_at = self._arrivals[0]
        taken = min(count, max_bytes)
        data = bytes(memoryview(self._bytes)[:taken])
        del self._bytes[:taken]
        self.size -= taken
        if taken == count:
            del self._arrivals[0]
        else:
            self._arrivals[0] = (count - taken, arrived_at)
        return data, arrived_at

    def clear(self) -> None:
        """Drop all bytes."""
        self.size = 0
        self._bytes = bytearray()
        self._arrivals = []


class ArrivalEstimate:
    """Estimates when input reached the kernel, if it was left there because reading was paused.

    While reading is not paused, input is read as soon as it arrives. What is read after a pause can't have
    arrived before the kernel was last seen to hold less than that.

    Attributes:
        is_caught_up: Whether all input that had arrived at the time of the last read has been read.
    """

    __slots__ = ("_first_arrived_at", "_marks", "_received_bytes", "is_caught_up")

    def __init__(self, first_arrived_at: float | None) -> None:
        """Create the state of a new connection.

        Args:
            first_arrived_at: When the first input reached the kernel, if that was before the connection was
                accepted; else None.
        """
        self._first_arrived_at = first_arrived_at
        self._received_bytes = 0
        # (n, t): at the time t, n bytes of the connection had arrived.
        self._marks: list[tuple[int, float]] = []
        self.is_caught_up = True

    def record_read(self, byte_count: int, now: float, unread_bytes: int | None) -> float:
        """Record a read, and return the earliest time at which its bytes can have arrived.

        Args:
            byte_count: The number of bytes that were read.
            now: The current time.
            unread_bytes: The number of bytes that the kernel still holds; None if it is not known.
        """
        arrived_at = self._earliest_arrival(now)
        start = self._received_bytes
        self._received_bytes += byte_count
        self.is_caught_up = unread_bytes == 0
        if self.is_caught_up:
            self._marks.clear()
            return arrived_at
        if not self._marks:
            self._marks.append((start, now))
        if unread_bytes is not None:
            self._marks.append((self._received_bytes + unread_bytes, now))
        return arrived_at

    def record_pause(self, now: float) -> None:
        """Record that reading is paused; all input that had arrived before has been read."""
        if not self._marks:
            self._marks.append((self._received_bytes, now))
        self.is_caught_up = False

    def record_drained(self) -> None:
        """Record that the kernel holds no input."""
        self._marks.clear()
        self.is_caught_up = True

    def _earliest_arrival(self, now: float) -> float:
        first_arrived_at, self._first_arrived_at = self._first_arrived_at, None
        if first_arrived_at is not None:
            return first_arrived_at
        if not self._marks:
            return now
        while len(self._marks) > 1 and self._marks[1][0] <= self._received_bytes:
            del self._marks[0]
        return self._marks[0][1]
