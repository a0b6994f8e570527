"""Which requests are shed first: low priority weights, tenants over quota, late client retries."""

from __future__ import annotations

from dataclasses import replace

from loadbalancer.actions import RejectRequest
from loadbalancer.events import Outcome
from loadbalancer.policy.admission import MEMORY_SHEDDING_START, MemoryPressure
from loadbalancer.settings import RequestClass, Tenant
from tests.policy.helpers import (
    PAY,
    READ,
    PolicyHarness,
    apply_load,
    complete_startup,
    make_settings,
    send_until_shed,
    started_attempts,
)


def test_class_with_zero_priority_weight_is_served() -> None:
    free = RequestClass("free", 1_000, 3_000, READ.idempotency, priority_weight=0.0)
    harness = PolicyHarness(2, classes=(free,))
    assert {harness.serve(free) for _ in range(60)} == {"s0", "s1"}


LOW_PRIORITY = RequestClass("low", 1_000, 3_000, READ.idempotency, priority_weight=1.0)


HIGH_PRIORITY = RequestClass("high", 1_000, 3_000, PAY.idempotency, priority_weight=10.0)


def test_lowest_priority_weight_is_shed_first() -> None:
    admitted = apply_load(
        PolicyHarness(2, classes=(LOW_PRIORITY, HIGH_PRIORITY)),
        600.0,
        (HIGH_PRIORITY, None),
        (LOW_PRIORITY, None),
    )
    assert admitted["high"] > 1.5 * admitted["low"] > 0
    harness = PolicyHarness(4, classes=(LOW_PRIORITY, HIGH_PRIORITY))
    assert send_until_shed(harness, LOW_PRIORITY)
    assert len(send_until_shed(harness, HIGH_PRIORITY)) >= 4, (
        "part of the limit is reserved for the higher priority"
    )


def test_lowest_priority_weight_is_shed_first_while_memory_is_short() -> None:
    pressure = MemoryPressure(make_settings(classes=(LOW_PRIORITY, HIGH_PRIORITY)))
    assert pressure.admits(LOW_PRIORITY, MEMORY_SHEDDING_START)
    assert not pressure.admits(LOW_PRIORITY, 0.99)
    assert pressure.admits(HIGH_PRIORITY, 0.99)
    assert pressure.admits(HIGH_PRIORITY, 1.0)
    assert not pressure.admits(HIGH_PRIORITY, 1.001)


def test_request_is_rejected_if_memory_budget_is_exceeded() -> None:
    harness = PolicyHarness(2, classes=(HIGH_PRIORITY,))
    _, actions = harness.request(HIGH_PRIORITY, memory_use=1.1)
    assert not started_attempts(actions)
    assert [type(action) for action in actions].count(RejectRequest) == 1
    _, actions = harness.request(HIGH_PRIORITY, memory_use=0.5)
    assert started_attempts(actions)


def test_low_priority_class_may_use_most_of_limit() -> None:
    """Without the exponent, a class with an eighth of the largest weight would have too low a limit.

    The limit would be nearly that of a class with weight 0, and a third of the requests of the class would
    be shed.
    """
    low, high = (
        replace(request_class, priority_weight=weight)
        for request_class, weight in ((LOW_PRIORITY, 1.0), (HIGH_PRIORITY, 8.0))
    )
    admitted = {
        request_class: len(
            send_until_shed(complete_startup(PolicyHarness(4, classes=(READ, low, high))), request_class)
        )
        for request_class in (low, high)
    }
    assert 0.7 * admitted[high] < admitted[low] < admitted[high]


def test_tenant_over_quota_is_shed_first() -> None:
    harness = PolicyHarness(4, tenants=(Tenant("big", 0.1), Tenant("small", 500.0)), over_quota_weight=0.1)
    admitted = apply_load(harness, 600.0, (READ, "big"), (READ, "small"))
    assert admitted["small"] > 1.5 * admitted["big"] > 0


def test_shed_request_spends_no_quota() -> None:
    """If shed requests spent quota, requests that clients retry after a rejection would be counted twice."""
    harness = complete_startup(PolicyHarness(4, tenants=(Tenant("small", 4.0),), over_quota_weight=0.1))
    in_flight = send_until_shed(harness)
    for _ in range(20):
        assert not started_attempts(harness.request(tenant="small")[1])
    for request, endpoint in in_flight[:6]:
        harness.finish(request, 0, endpoint, Outcome.SUCCEEDED)
    assert len(send_until_shed(harness, tenant="small")) == 6, (
        "all requests are within the quota; a request over quota would be shed"
    )


def test_late_client_retry_is_shed_first() -> None:
    """Client retries past the latency objective have no value, so they are shed before first attempts."""
    harness = PolicyHarness(4)
    assert started_attempts(harness.request(remaining_ms=1_900)[1]), "no request is shed without other load"
    for request, endpoint in send_until_shed(harness)[:6]:
        harness.finish(request, 0, endpoint, Outcome.SUCCEEDED)
    assert not started_attempts(harness.request(remaining_ms=1_900)[1]), (
        "the first attempt of the client started 1,100 ms ago; the latency objective is 1,000 ms"
    )
    assert started_attempts(harness.request(remaining_ms=2_100)[1])


def test_request_with_short_client_timeout_counts_as_first_attempt() -> None:
    """First attempts of clients that wait for only six tenths of the deadline must not count as retries."""
    admitted = {}
    for remaining in (1_800.0, 3_000.0):
        harness, admitted[remaining] = PolicyHarness(4), 0
        while started_attempts(harness.request(remaining_ms=remaining)[1]):
            admitted[remaining] += 1
    assert admitted[1_800.0] == admitted[3_000.0]
