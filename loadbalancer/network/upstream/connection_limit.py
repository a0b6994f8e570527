"""The limit on the number of connections to all upstreams together."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loadbalancer.network.errors import ConnectionLimitError
from loadbalancer.network.memory_budget import UPSTREAM_CONNECTION_BYTES, HeldKind
from loadbalancer.network.sockets import RESERVED_DESCRIPTORS

if TYPE_CHECKING:
    from collections.abc import Callable

    from loadbalancer.network.memory_budget import MemoryBudget

UPSTREAM_DESCRIPTORS_FRACTION = 0.5
"""Fraction of file descriptors that upstream connections may use; client connections may use the rest."""

MIN_CONNECTION_LIMIT = 4
"""Lower bound of the connection limit, for a process that may open only very few descriptors."""


class ConnectionLimit:
    """Counts the connections of all pools, and limits their number.

    Args:
        descriptor_limit: The maximum number of file descriptors that the process may have open.
        budget: Counts the memory that is held for peers.
        close_idle_connection: Closes the connection that has been idle for the longest time, in any pool;
            returns false if no connection is idle.

    Attributes:
        max_connections: The maximum number of connections that may be open.
        open_connection_count: The number of connections that are open or being opened.
        budget: Counts the memory that is held for peers.
    """

    def __init__(
        self, descriptor_limit: int, budget: MemoryBudget, close_idle_connection: Callable[[], bool]
    ) -> None:
        usable_descriptors = int(descriptor_limit * UPSTREAM_DESCRIPTORS_FRACTION)
        self.max_connections = max(usable_descriptors - RESERVED_DESCRIPTORS, MIN_CONNECTION_LIMIT)
        self.open_connection_count = 0
        self.budget = budget
        self._close_idle_connection = close_idle_connection

    def acquire(self) -> None:
        """Count a connection that is about to be opened; close an idle one if the limit is reached.

        Raises:
            ConnectionLimitError: The limit is reached, and no connection is idle.
        """
        if self.open_connection_count >= self.max_connections and not self._close_idle_connection():
            raise ConnectionLimitError
        self.open_connection_count += 1
        self.budget.adjust(HeldKind.UPSTREAM_CONNECTIONS, UPSTREAM_CONNECTION_BYTES)

    def release(self) -> None:
        """Stop counting a connection that has closed."""
        self.open_connection_count -= 1
        self.budget.adjust(HeldKind.UPSTREAM_CONNECTIONS, -UPSTREAM_CONNECTION_BYTES)
