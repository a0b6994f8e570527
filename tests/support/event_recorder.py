"""Records the events that a proxy passes to its policy."""

from __future__ import annotations

from loadbalancer.actions import Action
from loadbalancer.events import AttemptFinished, EndpointListKind, EndpointListUpdate, Event, Outcome
from tests.support.loopback import Rig


def record_events(rig: Rig) -> list[Event]:
    """Return a list to which every further event is appended."""
    events: list[Event] = []
    handle = rig.proxy.balancer.handle

    def record_and_handle(event: Event, now: float) -> list[Action]:
        events.append(event)
        return handle(event, now)

    rig.proxy.balancer.handle = record_and_handle  # type: ignore[method-assign]
    return events


def outcomes(events: list[Event]) -> list[Outcome]:
    """The outcomes of the attempts, in the order in which they finished."""
    return [event.outcome for event in events if isinstance(event, AttemptFinished)]


def list_kinds(events: list[Event]) -> list[EndpointListKind]:
    """The kinds of the endpoint list updates, in their order."""
    return [event.kind for event in events if isinstance(event, EndpointListUpdate)]
