"""Updates and polls of the endpoint list."""

from __future__ import annotations

import pytest

from loadbalancer.actions import LogMessage, SetTimer, WatchEndpoints
from loadbalancer.endpoints import Endpoint, EndpointState
from loadbalancer.events import EndpointListKind, EndpointListUpdate, RequestReceived, TimerFired
from loadbalancer.policy.balancer import LoadBalancer
from loadbalancer.settings import Settings
from tests.policy.helpers import READ, PolicyHarness, actions_of_type


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.REMOVED])
def test_draining_and_removed_endpoints_get_no_requests(state: EndpointState) -> None:
    harness = PolicyHarness(2)
    harness.update_endpoints(Endpoint("s0", state), kind=EndpointListKind.DELTA)
    assert {harness.serve() for _ in range(30)} == {"s1"}


def test_endpoint_missing_from_snapshot_is_removed() -> None:
    harness = PolicyHarness(2)
    harness.update_endpoints(Endpoint("s1"))
    assert {harness.serve() for _ in range(30)} == {"s1"}


def test_failed_polls_are_retried_with_jitter() -> None:
    firing_times = set()
    for seed in range(4):
        harness = PolicyHarness(2, seed=seed, polls_discovery=True)
        assert actions_of_type(harness.actions, WatchEndpoints) == [WatchEndpoints()]
        actions = harness.handle(EndpointListUpdate(EndpointListKind.FAILED))
        assert any(isinstance(a, LogMessage) for a in actions)
        timer = actions_of_type(actions, SetTimer)[0]
        assert isinstance(timer, SetTimer)
        assert timer.at_ms < harness.now + 5_000
        firing_times.add(timer.at_ms)
        assert WatchEndpoints() in harness.handle(TimerFired(timer.timer))
        assert {harness.serve() for _ in range(30)} == {"s0", "s1"}, "the last list remains in use"
    assert len(firing_times) == 4
    for _ in range(2_000):  # an outage of hours
        actions = harness.handle(EndpointListUpdate(EndpointListKind.FAILED))
        assert not any(isinstance(a, LogMessage) for a in actions)


def test_first_event_starts_endpoint_watch() -> None:
    balancer = LoadBalancer(Settings(classes=(READ,), polls_discovery=True), 1)
    assert WatchEndpoints() in balancer.handle(RequestReceived(1, "read", 500), 0.0)
