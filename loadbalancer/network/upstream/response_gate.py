"""Pauses the receipt of responses while the memory budget is exceeded.

One response is always received, so that responses complete and release their memory.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from loadbalancer.network.memory_budget import BudgetState, HeldKind

if TYPE_CHECKING:
    from loadbalancer.network.memory_budget import MemoryBudget


class Receiver(Protocol):
    """A connection on which a response is expected."""

    def pause_reading(self) -> None:
        """Stop reading from the connection."""

    def resume_reading(self) -> None:
        """Read from the connection again."""


class ResponseGate:
    """Decides which responses are received.

    Args:
        budget: Counts the memory that is held for peers.
    """

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self._receivers: dict[Receiver, None] = {}  # in the order in which their requests were sent
        self._is_closed = False  # whether all receivers but the first are paused

    def add(self, receiver: Receiver) -> None:
        """Add a connection on which a request is about to be sent."""
        if self._is_closed and self._receivers:
            receiver.pause_reading()
        self._receivers[receiver] = None

    def remove(self, receiver: Receiver, held_bytes: int) -> None:
        """Remove a connection whose response is complete or no longer expected, and release its memory."""
        if receiver not in self._receivers:
            return
        del self._receivers[receiver]
        self._budget.adjust(HeldKind.RESPONSES, -held_bytes)
        if self._is_closed:
            receiver.resume_reading()
            self._resume()

    def record_growth(self, byte_count: int) -> None:
        """Account for a part of a response that has been received."""
        self._budget.adjust(HeldKind.RESPONSES, byte_count)
        if not self._is_closed and self._budget.state is BudgetState.EXCEEDED:
            self._is_closed = True
            for receiver in list(self._receivers)[1:]:
                receiver.pause_reading()

    def _resume(self) -> None:
        """Resume all receivers if the budget allows it, otherwise the first one."""
        receivers = list(self._receivers)
        if self._budget.state is not BudgetState.EXCEEDED:
            self._is_closed = False
        for receiver in receivers if not self._is_closed else receivers[:1]:
            receiver.resume_reading()
