"""The wait times of watch requests and the delays of retries, for polled and for pushed lists."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import pytest

from loadbalancer.network.discovery.retry_schedule import (
    PUSH_RETRY_DELAY_S,
    PUSH_WATCH_WAIT_MS,
    RECOVERY_WAIT_MS,
    SWITCH_PERIOD_S,
    SWITCH_RETRY_DELAY_S,
    WAIT_JITTER,
    WATCH_WAIT_MS,
    RetrySchedule,
)

if TYPE_CHECKING:
    from collections.abc import Callable

NEVER_SWITCHED = -math.inf
SWITCHED_AT_S = 100.0
MAX_DRAW = math.nextafter(1.0, 0.0)


def fail_on_draw() -> float:
    pytest.fail("a random number was drawn, which shifts all later draws of the same generator")


def constant_draw(value: float) -> Callable[[], float]:
    return lambda: value


@pytest.mark.parametrize(
    ("polls_discovery", "consecutive_failures", "wait_ms"),
    [
        (True, 0, WATCH_WAIT_MS),
        (True, 1, RECOVERY_WAIT_MS),
        (True, 7, RECOVERY_WAIT_MS),
        (False, 0, PUSH_WATCH_WAIT_MS),
        (False, 1, RECOVERY_WAIT_MS),
        (False, 7, RECOVERY_WAIT_MS),
    ],
)
@pytest.mark.parametrize("draw", [0.0, 0.25, MAX_DRAW])
def test_watch_wait_is_jittered_and_short_after_failure(
    consecutive_failures: int, wait_ms: float, draw: float, *, polls_discovery: bool
) -> None:
    schedule = RetrySchedule(constant_draw(draw), polls_discovery=polls_discovery)
    assert schedule.watch_wait_s(consecutive_failures) == wait_ms / 1000 * (1 - WAIT_JITTER * draw)


@pytest.mark.parametrize(
    ("consecutive_failures", "delay_s"), [(1, 0.0), (2, PUSH_RETRY_DELAY_S), (50, PUSH_RETRY_DELAY_S)]
)
@pytest.mark.parametrize("switched_at_s", [NEVER_SWITCHED, SWITCHED_AT_S])
def test_push_watch_retries_each_failed_request(
    consecutive_failures: int, delay_s: float, switched_at_s: float
) -> None:
    schedule = RetrySchedule(fail_on_draw, polls_discovery=False)
    assert schedule.retry_delay_s(consecutive_failures, SWITCHED_AT_S + 1.0, switched_at_s) == delay_s


@pytest.mark.parametrize("consecutive_failures", [1, 2, 50])
@pytest.mark.parametrize(
    ("switched_at_s", "started_at_s"),
    [
        (NEVER_SWITCHED, 0.0),
        (NEVER_SWITCHED, SWITCHED_AT_S),
        (SWITCHED_AT_S, SWITCHED_AT_S + SWITCH_PERIOD_S),
        (SWITCHED_AT_S, SWITCHED_AT_S + 1_000.0),
    ],
)
def test_policy_decides_when_to_poll_again(
    switched_at_s: float, started_at_s: float, consecutive_failures: int
) -> None:
    schedule = RetrySchedule(fail_on_draw, polls_discovery=True)
    assert schedule.retry_delay_s(consecutive_failures, started_at_s, switched_at_s) is None


@pytest.mark.parametrize("consecutive_failures", [1, 2, 50])
@pytest.mark.parametrize("since_switch_s", [0.0, 1.0, SWITCH_PERIOD_S - 0.001])
@pytest.mark.parametrize(("draw", "factor"), [(0.0, 0.5), (0.5, 1.0), (MAX_DRAW, 0.5 + MAX_DRAW)])
def test_failed_polls_are_retried_shortly_after_switch(
    since_switch_s: float, consecutive_failures: int, draw: float, factor: float
) -> None:
    """The number of failures has no effect, since it includes those of the previous discovery service."""
    schedule = RetrySchedule(constant_draw(draw), polls_discovery=True)
    delay_s = schedule.retry_delay_s(consecutive_failures, SWITCHED_AT_S + since_switch_s, SWITCHED_AT_S)
    assert delay_s == SWITCH_RETRY_DELAY_S * factor
