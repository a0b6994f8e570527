"""The entries of the endpoint list as the policy sees them."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class EndpointState(enum.Enum):
    """Whether an endpoint accepts requests, according to the endpoint list."""

    READY = "ready"
    """It accepts new requests."""
    DRAINING = "draining"
    """It finishes its open requests and accepts no new ones."""
    REMOVED = "gone"
    """The process has ended, or no longer belongs to the service."""


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One process of the upstream service, as an entry of the endpoint list.

    Attributes:
        name: The name that identifies the endpoint in the list. A restarted process may keep the name.
        state: Whether it accepts new requests.
        zone: The zone that it runs in; empty if unknown.
        cell: The number of its cell. The endpoints of a cell share the idempotency keys of classes with
            `IdempotencyScope.CELL`.
        weight: Its registered capacity, relative to other endpoints. The policy uses 1 in place of a
            value that is not positive and finite.
        started_at_ms: When its process started, in milliseconds on the clock of the policy's events; 0 if it
            started long ago. An entry with the same name and a later start is a new process.
    """

    name: str
    state: EndpointState = EndpointState.READY
    zone: str = ""
    cell: int = 0
    weight: float = 1.0
    started_at_ms: float = 0.0
