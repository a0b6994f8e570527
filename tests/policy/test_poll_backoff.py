"""The delay before discovery is polled again after failures."""

from __future__ import annotations

from loadbalancer.actions import SetTimer
from loadbalancer.events import EndpointListKind, EndpointListUpdate
from loadbalancer.policy import poll_backoff
from tests.policy.helpers import PolicyHarness, actions_of_type

# Maximum random factor of a poll delay.
MAX_DELAY_JITTER = 1.5


def test_poll_delay_is_bounded_after_repeated_failures() -> None:
    harness = PolicyHarness(2, polls_discovery=True)
    for _ in range(100):
        timer = actions_of_type(harness.handle(EndpointListUpdate(EndpointListKind.FAILED)), SetTimer)[0]
    assert isinstance(timer, SetTimer)
    assert harness.now < timer.at_ms <= harness.now + poll_backoff.MAX_BACKOFF_MS * MAX_DELAY_JITTER
