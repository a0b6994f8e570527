"""The balancer learns the idle time after which connections are dead, and closes such connections."""

from __future__ import annotations

from loadbalancer.actions import CloseIdleConnections
from loadbalancer.events import Outcome
from tests.policy.helpers import PAY, PolicyHarness, actions_of_type, first_endpoint


def closes_idle_connections(harness: PolicyHarness, idle_ms: float) -> bool:
    """Serve a request after an idle time; return whether idle connections were closed for it."""
    harness.now += idle_ms
    request, actions = harness.request(PAY)
    harness.now += 20
    harness.finish(request, 0, first_endpoint(actions), Outcome.SUCCEEDED)
    return bool(actions_of_type(actions, CloseIdleConnections))


def test_idle_limit_is_learned_from_timeouts() -> None:
    """If no limit were learned, attempts on connections dropped after 1 s without use would time out."""
    harness = PolicyHarness(1, tier=1)  # inner tiers shed no load
    for _ in range(20):
        assert not closes_idle_connections(harness, 400.0)
    assert not closes_idle_connections(harness, 1_500.0)
    for _ in range(2):
        closes_idle_connections(harness, 10.0)
        harness.now += 1_500
        request, actions = harness.request(PAY)
        assert not actions_of_type(actions, CloseIdleConnections)
        harness.now += 1_000
        harness.finish(request, 0, "s0", Outcome.TIMED_OUT)
    closes_idle_connections(harness, 10.0)
    assert closes_idle_connections(harness, 1_600.0), "idle for longer than the connections found dead"
    assert not closes_idle_connections(harness, 400.0), "connections with shorter idle times were alive"
    for _ in range(60):
        closes_idle_connections(harness, 400.0)
    assert not closes_idle_connections(harness, 1_600.0), "the samples with timeouts have been replaced"
