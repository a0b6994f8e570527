"""Hedging: under which conditions a second attempt starts while the first one is in flight."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from loadbalancer.actions import CancelAttempt, CloseIdleConnections, SetTimer
from loadbalancer.events import Outcome, TimerFired
from loadbalancer.timers import EndpointListTimer, HedgeTimer
from tests.policy.helpers import (
    CELL_ORDER,
    PAY,
    READ,
    PolicyHarness,
    actions_of_type,
    first_endpoint,
    serve_many,
    started_attempts,
)

if TYPE_CHECKING:
    from loadbalancer.settings import RequestClass


@pytest.mark.parametrize("tier", [0, 1])
@pytest.mark.parametrize("request_class", [READ, CELL_ORDER])
def test_unresponsive_endpoint_triggers_one_hedged_attempt(request_class: RequestClass, tier: int) -> None:
    harness = PolicyHarness(4, tier=tier)
    serve_many(harness, dict.fromkeys(("s0", "s1", "s2", "s3"), 50.0), 50)
    request, actions = harness.request(request_class)
    first, timer = started_attempts(actions)[0], actions_of_type(actions, SetTimer)[0]
    assert first.timeout_ms == pytest.approx(1_000)
    assert isinstance(timer, SetTimer)
    assert timer.at_ms < harness.now + 501
    harness.now = timer.at_ms
    actions = harness.handle(TimerFired(timer.timer))
    hedged = started_attempts(actions)[0]
    assert hedged.endpoint != first.endpoint
    assert actions.index(CloseIdleConnections(hedged.endpoint)) < actions.index(hedged), (
        "hedged attempts use a new connection"
    )
    assert request_class is READ or int(hedged.endpoint[1]) // 2 == int(first.endpoint[1]) // 2, (
        "a keyed request must remain in its cell"
    )
    assert not started_attempts(harness.handle(TimerFired(timer.timer))), (
        "only one hedged attempt per request"
    )
    harness.now += 40
    assert CancelAttempt(request, 0) in harness.finish(request, 1, hedged.endpoint, Outcome.SUCCEEDED)


def test_hedging_requires_idempotent_class_and_may_hedge() -> None:
    assert not actions_of_type(PolicyHarness(4).request(PAY)[1], SetTimer)
    actions = PolicyHarness(4, may_hedge=False).request(READ)[1]
    assert not actions_of_type(actions, SetTimer)
    assert started_attempts(actions)[0].timeout_ms == pytest.approx(1_000), (
        "a shorter timeout would waste the work done so far"
    )
    assert started_attempts(PolicyHarness(4, max_attempts=1).request(READ)[1])[0].timeout_ms == pytest.approx(
        1_000
    )


def test_attempt_has_full_timeout_without_hedging() -> None:
    """With a timeout of four baseline service times, large requests would time out at each endpoint."""
    harness = PolicyHarness(4, may_hedge=False)
    for _ in range(400):
        harness.serve(duration_ms=20.0)
    request, actions = harness.request()
    assert started_attempts(actions)[0].timeout_ms == pytest.approx(READ.latency_objective_ms)
    harness.now += 900
    assert not started_attempts(harness.finish(request, 0, first_endpoint(actions), Outcome.SUCCEEDED))


def test_timer_starts_no_attempt_without_hedging() -> None:
    harness = PolicyHarness(4, may_hedge=False)
    request, _ = harness.request()
    for timer in (HedgeTimer(request), EndpointListTimer(), HedgeTimer(99)):
        harness.now += 100
        assert started_attempts(harness.handle(TimerFired(timer))) == []


def test_larger_cost_hint_delays_hedging() -> None:
    harness = PolicyHarness(4)
    for _ in range(60):
        request, actions = harness.request(cost_hint_ms=10.0)
        harness.now += 20
        harness.finish(request, 0, first_endpoint(actions), Outcome.SUCCEEDED)

    def hedge_delay_ms(hint_ms: float) -> float:
        timer = actions_of_type(harness.request(cost_hint_ms=hint_ms)[1], SetTimer)[0]
        assert isinstance(timer, SetTimer)
        return timer.at_ms - harness.now

    assert hedge_delay_ms(20.0) > 1.5 * hedge_delay_ms(10.0)
