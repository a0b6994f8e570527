"""Puts a function of a test in the place of the policy, or in front of it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from loadbalancer.actions import Action
from loadbalancer.events import Event
from tests.support.loopback import Rig

EventHandler = Callable[[Event, float], list[Action]]


def replace_policy(rig: Rig, handler: EventHandler) -> EventHandler:
    """Have a function handle all further events; returns what handled them until now."""
    previous: EventHandler = rig.proxy.balancer.handle
    rig.proxy.balancer.handle = handler  # type: ignore[method-assign, assignment]
    return previous


def before_event(rig: Rig, event_type: type, act: Callable[[Any], None]) -> None:
    """Call a function with each event of one type before the policy handles it."""

    def act_then_handle(event: Event, now: float) -> list[Action]:
        if isinstance(event, event_type):
            act(event)
        return handle(event, now)

    handle = replace_policy(rig, act_then_handle)
