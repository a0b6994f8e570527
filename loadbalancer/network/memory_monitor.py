"""Logs how much memory the process uses, and for what, whenever its state changes."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from loadbalancer.network.memory_budget import BYTES_PER_MB, BudgetState, HeldKind, required_memory_mb
from loadbalancer.network.resident_memory import resident_bytes

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable, Iterable

    from loadbalancer.network.counters import ClientCounters
    from loadbalancer.network.memory_budget import MemoryBudget

CHECK_INTERVAL_S = 0.25
"""Interval between two checks of the state; states in between are not logged."""

HIGH_RESIDENT_FRACTION = 0.9
"""Fraction of the memory limit from which on the resident memory counts as high."""


class MemoryMonitor:
    """Writes a line when the state of the memory budget or of the resident memory changes.

    Args:
        memory_limit_mb: The memory limit of the process.
        budget: Counts the memory that is held for peers.
        counters: Counts what happens on client connections.
        connection_states: Returns the state of each open client connection.
        log: Writes a line.
    """

    def __init__(
        self,
        memory_limit_mb: float,
        budget: MemoryBudget,
        counters: ClientCounters,
        connection_states: Callable[[], Iterable[str]],
        log: Callable[[str], None],
    ) -> None:
        self._memory_limit_mb = memory_limit_mb
        self._budget = budget
        self._counters = counters
        self._connection_states = connection_states
        self._log = log
        self._state = BudgetState.NORMAL

    def start(self, loop: asyncio.AbstractEventLoop) -> None:
        """Warn if the limit is too small, and check the state from now on."""
        required_mb = required_memory_mb(self._budget.base_bytes)
        if self._memory_limit_mb < required_mb:
            self._log(
                f"memory limit of {self._memory_limit_mb:g} MB is too small: {required_mb:.0f} MB needed"
            )
        self._check_periodically(loop)

    def _check_periodically(self, loop: asyncio.AbstractEventLoop) -> None:
        loop.call_later(CHECK_INTERVAL_S, self._check_periodically, loop)
        self.check()

    def check(self) -> None:
        """Write a line if the state has changed since the last check."""
        resident_mb = resident_bytes() / BYTES_PER_MB
        state = self._budget.state
        if resident_mb >= self._memory_limit_mb:
            state = BudgetState.EXCEEDED
        elif state is BudgetState.NORMAL and resident_mb >= HIGH_RESIDENT_FRACTION * self._memory_limit_mb:
            state = BudgetState.HIGH
        if state is not self._state:
            self._state = state
            self._log(f"memory {state.value}: {self.describe(resident_mb)}")

    def describe(self, resident_mb: float) -> str:
        """Return what the memory is used for, and what has happened on client connections, as one line."""
        budget = self._budget
        held = [f"{kind.value} {budget.held_bytes[kind] / BYTES_PER_MB:.1f}" for kind in HeldKind]
        states = Counter(self._connection_states())
        connections = [f"{state} {count}" for state, count in sorted(states.items())]
        used_mb, limit_mb = budget.used_bytes / BYTES_PER_MB, budget.limit_bytes / BYTES_PER_MB
        return (
            f"{resident_mb:.1f} of {self._memory_limit_mb:g} MB resident; "
            f"held for peers {used_mb:.1f} of {limit_mb:.1f} MB ({', '.join(held)}); "
            f"{states.total()} client connections ({', '.join(connections) or 'none'}); "
            f"since the start: {self._counters.describe()}"
        )
