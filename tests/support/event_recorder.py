"""Records the events that a proxy passes to its policy."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loadbalancer.events import AttemptFinished, EndpointListKind, EndpointListUpdate, Event, Outcome
from tests.support.policy_hooks import replace_policy

if TYPE_CHECKING:
    from loadbalancer.actions import Action
    from tests.support.proxy_harness import ProxyHarness


def record_events(harness: ProxyHarness) -> list[Event]:
    """Record all further events, and return the list that they are appended to."""
    events: list[Event] = []

    def record_and_handle(event: Event, now: float) -> list[Action]:
        events.append(event)
        return handle(event, now)

    handle = replace_policy(harness, record_and_handle)
    return events


def outcomes(events: list[Event]) -> list[Outcome]:
    """Return the outcomes of the attempts, in the order in which they finished."""
    return [event.outcome for event in events if isinstance(event, AttemptFinished)]


def list_kinds(events: list[Event]) -> list[EndpointListKind]:
    """Return the kinds of the endpoint list updates, in order."""
    return [event.kind for event in events if isinstance(event, EndpointListUpdate)]
