"""Replaces the policy of a proxy by a function, or calls a function before it."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from loadbalancer.actions import Action
from loadbalancer.events import Event

if TYPE_CHECKING:
    from tests.support.proxy_harness import ProxyHarness


class InjectedPolicyError(Exception):
    """Raised by a test in place of an error in the policy."""

    def __init__(self) -> None:
        super().__init__("injected policy error")


EventHandler = Callable[[Event, float], list[Action]]


def replace_policy(harness: ProxyHarness, handler: EventHandler) -> EventHandler:
    """Let a function handle all further events, and return the previous handler."""
    previous: EventHandler = harness.proxy.balancer.handle
    harness.proxy.balancer.handle = handler  # type: ignore[method-assign, assignment]
    return previous


def before_event(harness: ProxyHarness, event_type: type, callback: Callable[[Any], None]) -> None:
    """Call a function with each event of a type before the policy handles the event."""

    def call_then_handle(event: Event, now: float) -> list[Action]:
        if isinstance(event, event_type):
            callback(event)
        return handle(event, now)

    handle = replace_policy(harness, call_then_handle)
