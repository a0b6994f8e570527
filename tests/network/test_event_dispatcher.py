"""The event dispatcher alone: the order of events and actions, and its use before it is connected."""

from __future__ import annotations

import pytest

from loadbalancer.actions import Action, LogMessage
from loadbalancer.errors import InvalidStateError
from loadbalancer.events import EndpointListKind, EndpointListUpdate, Event, HealthCheckFinished, Outcome
from loadbalancer.network.clock import Clock
from loadbalancer.network.event_dispatcher import EventDispatcher
from loadbalancer.network.log import RateLimitedLog
from loadbalancer.network.open_requests import OpenRequests
from loadbalancer.policy.balancer import LoadBalancer
from tests.support.configurations import config_text, configuration

FIRST = EndpointListUpdate(EndpointListKind.FAILED)
SECOND = HealthCheckFinished("s0", Outcome.SUCCEEDED)


@pytest.fixture
def order() -> list[str]:
    """What happened, in order."""
    return []


@pytest.fixture
def dispatcher(monkeypatch: pytest.MonkeyPatch, order: list[str]) -> EventDispatcher:
    """A dispatcher whose policy records each event and has two messages written."""
    settings = configuration(config_text("127.0.0.1:9", [])).settings
    balancer = LoadBalancer(settings, 1)

    def handle(event: Event, now: float) -> list[Action]:
        order.append(type(event).__name__)
        return [LogMessage("one"), LogMessage("two")]

    monkeypatch.setattr(balancer, "handle", handle)
    return EventDispatcher(balancer, Clock(), OpenRequests(), RateLimitedLog("test"))


def test_an_event_that_an_action_causes_is_handled_after_the_other_actions(
    dispatcher: EventDispatcher, order: list[str]
) -> None:
    def perform(action: Action) -> None:
        assert isinstance(action, LogMessage)
        order.append(action.text)
        if len(order) == 2:
            dispatcher.dispatch(SECOND)

    dispatcher.set_handlers(perform, lambda number: None)
    dispatcher.dispatch(FIRST)
    assert order == ["EndpointListUpdate", "one", "two", "HealthCheckFinished", "one", "two"]


def test_a_failed_action_does_not_keep_the_next_one_from_being_performed(
    dispatcher: EventDispatcher, order: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    failed_requests: list[int | None] = []

    def perform(action: Action) -> None:
        assert isinstance(action, LogMessage)
        order.append(action.text)
        if action.text == "one":
            raise OSError

    dispatcher.set_handlers(perform, failed_requests.append)
    dispatcher.dispatch(FIRST)
    assert order == ["EndpointListUpdate", "one", "two"]
    assert failed_requests == [None]
    assert "could not perform LogMessage(text='one')" in capsys.readouterr().err


def test_an_event_before_the_dispatcher_is_connected_is_an_error(dispatcher: EventDispatcher) -> None:
    with pytest.raises(InvalidStateError):
        dispatcher.dispatch(FIRST)
