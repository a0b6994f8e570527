"""A request that may have run is repeated only where its class allows it."""

from __future__ import annotations

from dataclasses import replace

import pytest

from loadbalancer.actions import FailRequest
from loadbalancer.endpoints import Endpoint
from loadbalancer.events import EndpointListKind, Outcome
from loadbalancer.settings import RequestClass
from tests.policy.helpers import (
    CELL_ORDER,
    GLOBAL_ORDER,
    PAY,
    PolicyHarness,
    first_endpoint,
    started_attempts,
)


def test_non_idempotent_request_is_retried_only_if_unprocessed() -> None:
    harness = PolicyHarness(4)
    request, actions = harness.request(PAY)
    retries = started_attempts(harness.finish(request, 0, first_endpoint(actions), Outcome.REJECTED))
    assert len(retries) == 1
    assert harness.finish(request, 1, retries[0].endpoint, Outcome.RESET) == [FailRequest(request)]


def test_keyed_retry_requires_same_cell_and_open_window() -> None:
    harness = PolicyHarness(6)
    for _ in range(20):
        request, actions = harness.request(CELL_ORDER)
        if not started_attempts(actions):
            continue  # shed, since the errors reduce the admitted load
        first = first_endpoint(actions)
        retries = started_attempts(harness.finish(request, 0, first, Outcome.ERROR))
        if retries:
            assert int(retries[0].endpoint[1]) // 2 == int(first[1]) // 2
        harness.now += 100
    harness = PolicyHarness(
        6,
        classes=(
            RequestClass(
                "cell_order", 5_000, 9_000, CELL_ORDER.idempotency, CELL_ORDER.idempotency_scope, 2_000
            ),
        ),
    )
    request, actions = harness.request(CELL_ORDER, remaining_ms=9_000)
    harness.now += 2_000
    assert harness.finish(request, 0, first_endpoint(actions), Outcome.ERROR) == [FailRequest(request)]


@pytest.mark.parametrize(("after_ms", "retries"), [(1_600.0, 1), (1_750.0, 0)])
def test_connect_timeout_shortens_retry_window(after_ms: float, retries: int) -> None:
    """A retry that starts within the window of 2,000 ms may arrive 300 ms later, after a slow connect."""
    order = replace(GLOBAL_ORDER, latency_objective_ms=5_000, deadline_ms=9_000)
    harness = PolicyHarness(6, classes=(order,), connect_timeout_ms=300.0)
    request, actions = harness.request(order, remaining_ms=9_000)
    harness.now += after_ms
    assert (
        len(started_attempts(harness.finish(request, 0, first_endpoint(actions), Outcome.ERROR))) == retries
    )


def test_restarted_endpoint_gets_no_keyed_retry() -> None:
    harness = PolicyHarness(2, slow_start_ms=0)
    request, actions = harness.request(GLOBAL_ORDER)
    first = first_endpoint(actions)
    harness.now += 50
    other = "s1" if first == "s0" else "s0"
    harness.update_endpoints(Endpoint(other, started_at_ms=harness.now), kind=EndpointListKind.DELTA)
    retries = started_attempts(harness.finish(request, 0, first, Outcome.ERROR))
    assert [a.endpoint for a in retries] in ([], [first])


def test_keyed_retry_may_leave_subset() -> None:
    harness = PolicyHarness(60, balancers=3_000)
    other_endpoints = 0
    for _ in range(60):
        request, actions = harness.request(CELL_ORDER)
        if started_attempts(actions):
            first = int(first_endpoint(actions)[1:])
            retries = started_attempts(harness.finish(request, 0, first_endpoint(actions), Outcome.ERROR))
            assert all(int(s.endpoint[1:]) // 2 == first // 2 for s in retries)
            other_endpoints += any(int(s.endpoint[1:]) != first for s in retries)
        harness.now += 500
    assert other_endpoints > 0
