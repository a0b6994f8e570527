"""Records the events that a proxy passes to its policy."""

from __future__ import annotations

from typing import Any

from loadbalancer.actions import Action
from loadbalancer.events import (
    AttemptFinished,
    Event,
    Outcome,
)
from tests.network.loopback import (
    Rig,
)


def listen_to(rig: Rig) -> list[Any]:
    """All events that the module is told from now on."""
    told: list[Any] = []
    handle = rig.proxy.balancer.handle

    def spy(event: Event, now: float) -> list[Action]:
        told.append(event)
        return handle(event, now)

    rig.proxy.balancer.handle = spy  # type: ignore[method-assign]
    return told


def outcomes(told: list[Any]) -> list[Outcome]:
    return [e.outcome for e in told if isinstance(e, AttemptFinished)]
