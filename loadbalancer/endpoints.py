"""The entries of the endpoint list as the policy sees them."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class EndpointState(enum.Enum):
    """What the endpoint list says of an endpoint's process."""

    READY = "ready"
    """It takes new requests."""
    DRAINING = "draining"
    """It finishes the requests that it has, and takes no new ones."""
    REMOVED = "gone"
    """It no longer runs, or no longer belongs to the service."""


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One process of the service that is called, as the endpoint list shows it.

    Attributes:
        name: Its identity in the list. A restarted process may keep the name of the one before.
        state: Whether it takes new requests.
        zone: The zone that it runs in; empty if zones are not told.
        cell: The group of endpoints that share their idempotency keys; see `IdempotencyScope.CELL`.
        weight: The capacity it is registered with, in proportion to that of others. The policy takes a value
            that is not positive and finite as 1.
        started_at_ms: When its process started, in milliseconds on the clock of the policy's events; 0 if
            that was long ago. A later start under the same name is a new process.
    """

    name: str
    state: EndpointState = EndpointState.READY
    zone: str = ""
    cell: int = 0
    weight: float = 1.0
    started_at_ms: float = 0.0
