"""Limits on the memory that one connection occupies: refuses requests and pauses reading."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from loadbalancer.network.memory_budget import HeldKind

if TYPE_CHECKING:
    from loadbalancer.network.client.requests.request_reader import RequestReader
    from loadbalancer.network.client.transport import ClientTransport
    from loadbalancer.network.memory_budget import MemoryBudget

AVAILABLE_FRACTION = 1 / 128
"""Fraction of the available budget that unhandled input of one connection may occupy.

The more is held for all connections together, the less each may hold (dynamic thresholds), so that a few
that send much leave room for the others.
"""

MAX_UNHANDLED_BYTES = 262_144
"""Number of bytes that unhandled input of one connection may occupy, however much is available."""


class InputLimits:
    """Accounts for the memory that the input of one connection occupies, and limits it.

    Args:
        budget: Counts the memory that is held for peers.
        reader: Holds the input of the connection.
        transport: The transport of the connection.
    """

    __slots__ = (
        "_accounted_input",
        "_accounted_queue",
        "_accounted_unsent",
        "_budget",
        "_reader",
        "_transport",
    )

    def __init__(self, budget: MemoryBudget, reader: RequestReader, transport: ClientTransport) -> None:
        self._budget = budget
        self._reader = reader
        self._transport = transport
        self._accounted_input = 0
        self._accounted_queue = 0
        self._accounted_unsent = 0

    def account(self) -> None:
        """Update the budget."""
        input_bytes = self._reader.input_bytes
        if input_bytes != self._accounted_input:
            self._budget.adjust(HeldKind.INPUT, input_bytes - self._accounted_input)
            self._accounted_input = input_bytes
        queued_bytes = self._reader.queue.size_bytes
        if queued_bytes != self._accounted_queue:
            self._budget.adjust(HeldKind.QUEUED_REQUESTS, queued_bytes - self._accounted_queue)
            self._accounted_queue = queued_bytes
        unsent_bytes = self._transport.unsent_bytes
        if unsent_bytes != self._accounted_unsent:
            self._budget.adjust(HeldKind.UNSENT, unsent_bytes - self._accounted_unsent)
            self._accounted_unsent = unsent_bytes

    def release(self) -> None:
        """Remove from the budget what was accounted for the connection, which has ended."""
        self._budget.adjust(HeldKind.INPUT, -self._accounted_input)
        self._budget.adjust(HeldKind.QUEUED_REQUESTS, -self._accounted_queue)
        self._budget.adjust(HeldKind.UNSENT, -self._accounted_unsent)
        self._accounted_input = self._accounted_queue = self._accounted_unsent = 0

    def apply(self) -> None:
        """Refuse further requests while the input occupies too much memory, and queue them again afterwards.

        While a response is unread nothing is refused: reading is paused instead, since the refusals could not
        be written.
        """
        reader = self._reader
        if not reader.is_refusing and not reader.unparsed_bytes and not reader.queue:
            return
        if reader.is_refusing:
            if not reader.unparsed_bytes and not self._is_limit_reached() and self.is_input_read():
                reader.stop_refusing()
        elif self._is_limit_reached() and not self._transport.has_unsent_bytes():
            reader.start_refusing()

    def is_input_read(self) -> bool:
        """Return whether the kernel holds no input of the connection, so that its end would be known."""
        estimate = self._reader.estimate
        if not estimate.is_caught_up and self._transport.is_input_empty():
            estimate.record_drained()
        return estimate.is_caught_up

    def pause_or_resume_reading(self) -> None:
        """Resume reading if there is room for what one turn may read; otherwise pause it.

        Reading stays paused only while requests are parsed or a response is unread, both of which are
        followed by another call.
        """
        self.apply()
        if self._transport.discards_input or self._may_read():
            if self._transport.is_reading_paused:
                self._transport.resume_reading()
        elif not self._transport.is_reading_paused:
            self._reader.estimate.record_pause(time.monotonic())
            self._transport.pause_reading()

    def _may_read(self) -> bool:
        if self._reader.is_refusing:
            return self._reader.unparsed_bytes == 0
        return not self._is_limit_reached()

    def _is_limit_reached(self) -> bool:
        """Return whether too much is held; an incomplete request counts only if the budget is used up."""
        reader = self._reader
        unhandled_bytes = reader.unparsed_bytes + reader.queue.size_bytes
        available_bytes = self._budget.available_bytes
        if available_bytes <= 0:
            return unhandled_bytes + reader.input_bytes > 0
        max_bytes = min(AVAILABLE_FRACTION * available_bytes, MAX_UNHANDLED_BYTES)
        return unhandled_bytes > 0 and unhandled_bytes >= max_bytes
