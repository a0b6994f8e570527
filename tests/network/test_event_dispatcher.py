"""The event dispatcher without a proxy: the order of events and actions, and dispatch without handlers."""

from __future__ import annotations

import pytest

from loadbalancer.actions import Action, LogMessage
from loadbalancer.errors import InvalidStateError
from loadbalancer.events import EndpointListKind, EndpointListUpdate, Event, HealthCheckFinished, Outcome
from loadbalancer.network.clock import Clock
from loadbalancer.network.event_dispatcher import EventDispatcher
from loadbalancer.network.log import RateLimitedLog
from loadbalancer.network.memory_budget import MemoryBudget
from loadbalancer.network.open_requests import OpenRequests
from loadbalancer.policy.balancer import LoadBalancer
from tests.support.configurations import config_text, configuration

FIRST_EVENT = EndpointListUpdate(EndpointListKind.FAILED)
SECOND_EVENT = HealthCheckFinished("s0", Outcome.SUCCEEDED)


@pytest.fixture
def order() -> list[str]:
    """The names of handled events and the texts of executed actions, in order."""
    return []


@pytest.fixture
def dispatcher(monkeypatch: pytest.MonkeyPatch, order: list[str]) -> EventDispatcher:
    """A dispatcher whose policy records each event and responds with two `LogMessage` actions."""
    settings = configuration(config_text("127.0.0.1:9", [])).settings
    balancer = LoadBalancer(settings, 1)

    def handle(event: Event, now: float) -> list[Action]:
        order.append(type(event).__name__)
        return [LogMessage("one"), LogMessage("two")]

    monkeypatch.setattr(balancer, "handle", handle)
    return EventDispatcher(balancer, Clock(), OpenRequests(MemoryBudget(10_000_000)), RateLimitedLog("test"))


def test_event_from_action_waits_for_other_actions(dispatcher: EventDispatcher, order: list[str]) -> None:
    def execute(action: Action) -> None:
        assert isinstance(action, LogMessage)
        order.append(action.text)
        if len(order) == 2:
            dispatcher.dispatch(SECOND_EVENT)

    dispatcher.set_handlers(execute, lambda number: None)
    dispatcher.dispatch(FIRST_EVENT)
    assert order == ["EndpointListUpdate", "one", "two", "HealthCheckFinished", "one", "two"]


def test_action_failure_does_not_prevent_next_action(
    dispatcher: EventDispatcher, order: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    failed_requests: list[int | None] = []

    def execute(action: Action) -> None:
        assert isinstance(action, LogMessage)
        order.append(action.text)
        if action.text == "one":
            raise OSError

    dispatcher.set_handlers(execute, failed_requests.append)
    dispatcher.dispatch(FIRST_EVENT)
    assert order == ["EndpointListUpdate", "one", "two"]
    assert failed_requests == [None]
    assert "could not perform LogMessage(text='one')" in capsys.readouterr().err


def test_dispatch_without_handlers_raises(dispatcher: EventDispatcher) -> None:
    with pytest.raises(InvalidStateError):
        dispatcher.dispatch(FIRST_EVENT)
