"""The memory budget: what peers make the process hold, by kind, compared with one limit.

The limit is what remains of the memory limit of the process after its own memory, measured at startup. All
sizes are estimates of the memory that is occupied, not of the bytes on the wire, and are added before the
memory is allocated.
"""

from __future__ import annotations

from enum import Enum

BYTES_PER_MB = 1_000_000

RESERVED_FRACTION = 0.04
"""Fraction of the memory limit that stays free, for objects that live for one turn."""

FRAGMENTATION_FACTOR = 1.4
"""How much more memory the allocator occupies than the objects in it, as they come and go."""

MIN_BUDGET_BYTES = 500_000
"""Lower bound of the budget, with which the process serves although its memory limit is too small."""

HIGH_FRACTION = 0.85
"""Fraction of the budget from which on the state is `HIGH`."""

CONNECTION_BYTES = 4_000
"""Memory that an open client connection occupies without any input."""

UPSTREAM_CONNECTION_BYTES = 3_500
"""Memory that a connection to an upstream occupies without a response."""

OPEN_REQUEST_BYTES = 4_000
"""Memory that a request and its attempts occupy besides head and body, from its admission to its end."""

QUEUED_REQUEST_BYTES = 1_600
"""Memory that a parsed request occupies besides head and body."""

HEADER_FIELD_BYTES = 200
"""Memory that a parsed header field occupies besides its text."""

ENDPOINT_BYTES = 1_700
"""Memory that an entry of the endpoint list occupies, with its statistics and its connection pool."""


class HeldKind(Enum):
    """What is held in memory for peers."""

    __hash__ = object.__hash__  # that of Enum is a Python function, and each change of the budget calls it

    CONNECTIONS = "connections"
    INPUT = "input"
    """Input of clients that is not parsed, or is a part of an incomplete request."""
    QUEUED_REQUESTS = "queued requests"
    OPEN_REQUESTS = "open requests"
    UPSTREAM_CONNECTIONS = "upstream connections"
    RESPONSES = "responses"
    """Responses of upstreams that are not complete."""
    UNSENT = "unsent responses"
    """Responses that clients have not read."""
    ENDPOINTS = "endpoints"


class BudgetState(Enum):
    """How much of the budget is used."""

    NORMAL = "normal"
    HIGH = "high"
    EXCEEDED = "exceeded"


class MemoryBudget:
    """Counts the memory that is held for peers, by kind, and compares the total with the limit.

    Attributes:
        limit_bytes: The limit.
        base_bytes: The memory that the process occupied without peers.
        used_bytes: The memory held now.
        held_bytes: The memory held now, by kind.
    """

    def __init__(self, limit_bytes: int, base_bytes: int = 0) -> None:
        self.limit_bytes = limit_bytes
        self.base_bytes = base_bytes
        self.used_bytes = 0
        self.held_bytes = dict.fromkeys(HeldKind, 0)

    @classmethod
    def for_process(cls, memory_limit_mb: float, resident_bytes: int) -> MemoryBudget:
        """Return the budget of a process.

        Args:
            memory_limit_mb: The memory limit of the process.
            resident_bytes: The memory that the process occupies without peers.
        """
        free_bytes = memory_limit_mb * BYTES_PER_MB * (1 - RESERVED_FRACTION) - resident_bytes
        return cls(max(int(free_bytes / FRAGMENTATION_FACTOR), MIN_BUDGET_BYTES), resident_bytes)

    @property
    def used_fraction(self) -> float:
        """The used fraction of the limit; above 1 if the limit is exceeded."""
        return self.used_bytes / self.limit_bytes

    @property
    def is_high(self) -> bool:
        """Whether the state is not `NORMAL`."""
        return self.used_bytes >= HIGH_FRACTION * self.limit_bytes

    @property
    def state(self) -> BudgetState:
        """How much of the budget is used."""
        if self.used_bytes > self.limit_bytes:
            return BudgetState.EXCEEDED
        return BudgetState.HIGH if self.is_high else BudgetState.NORMAL

    @property
    def available_bytes(self) -> int:
        """What is left of the limit; negative if the limit is exceeded."""
        return self.limit_bytes - self.used_bytes

    def adjust(self, kind: HeldKind, change_bytes: int) -> None:
        """Add to what is held; a negative change reduces it."""
        self.used_bytes += change_bytes
        self.held_bytes[kind] += change_bytes

    def set_held(self, kind: HeldKind, held_bytes: int) -> None:
        """Replace what is held of one kind."""
        self.adjust(kind, held_bytes - self.held_bytes[kind])


def required_memory_mb(resident_bytes: int) -> float:
    """Return the memory limit below which the budget is at its lower bound."""
    needed_bytes = resident_bytes + MIN_BUDGET_BYTES * FRAGMENTATION_FACTOR
    return needed_bytes / (1 - RESERVED_FRACTION) / BYTES_PER_MB
