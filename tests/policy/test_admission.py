"""Overload detection: requests are shed before endpoints become overloaded, and not without an overload."""

from __future__ import annotations

from collections import deque

import pytest

from loadbalancer.actions import LogMessage, RejectRequest
from loadbalancer.endpoints import EndpointState
from loadbalancer.events import Outcome
from loadbalancer.settings import RequestClass, Tenant
from tests.policy.helpers import (
    PAY,
    READ,
    PolicyHarness,
    apply_load,
    complete_startup,
    complete_startup_without_baseline,
    endpoint_list,
    first_endpoint,
    send_until_shed,
    started_attempts,
)


def count_admitted(
    harness: PolicyHarness, duration_ms: float, request_class: RequestClass, requests: int = 40
) -> int:
    """Send requests sequentially, all with the same duration, and count the admitted ones."""
    admitted = 0
    for _ in range(requests):
        request, actions = harness.request(request_class)
        if started_attempts(actions):
            admitted += 1
            harness.now += duration_ms
            harness.finish(request, 0, first_endpoint(actions), Outcome.SUCCEEDED)
        else:
            assert RejectRequest(request) in actions
            harness.now += 20
    return admitted


def test_burst_above_limit_is_shed() -> None:
    """A limit on the mean number of attempts in flight over several seconds would admit bursts.

    Endpoints would then remain slow.
    """
    harness = complete_startup(PolicyHarness(4, balancers=2))
    in_flight = send_until_shed(harness)
    assert 10 <= len(in_flight) <= 20, "the limit is 8 for each of 4 endpoints, shared by 2 balancers"
    logs = [a for a in harness.actions if isinstance(a, LogMessage) and "shedding" in a.text]
    assert len(logs) == 1, "one log line for successive shed requests"
    harness.now += 50
    for request, endpoint in in_flight[:5]:
        harness.finish(request, 0, endpoint, Outcome.SUCCEEDED)
    assert len(send_until_shed(harness)) == 5


@pytest.mark.parametrize("duration_ms", [50.0, 950.0])
def test_large_requests_below_limit_are_admitted(duration_ms: float) -> None:
    """If only latency were limited, half of the important requests would be shed at half-idle endpoints."""
    harness = complete_startup_without_baseline(PolicyHarness(4, balancers=2))
    in_flight: deque[tuple[int, str]] = deque()
    for _ in range(200):
        request, actions = harness.request()
        in_flight.append((request, first_endpoint(actions)))
        harness.now += duration_ms / 14
        if len(in_flight) >= 14:
            request, endpoint = in_flight.popleft()
            harness.finish(request, 0, endpoint, Outcome.SUCCEEDED)


def test_one_late_response_causes_no_shedding() -> None:
    """If mean latency were limited, one late response would cause a tenth of a light load to be shed."""
    harness = PolicyHarness(4)
    count_admitted(harness, 50.0, READ, 20)
    count_admitted(harness, 1_000.0, READ, 1)
    assert count_admitted(harness, 50.0, READ, 40) == 40


def test_shedding_ends_soon_after_overload() -> None:
    """If only responses raised the limit, it would remain low: few admitted requests yield few responses."""
    harness = PolicyHarness(8)
    apply_load(harness, 950.0, (READ, None))
    harness.now += 4_000
    apply_load(harness, 50.0, (READ, None), rounds=100)
    assert apply_load(harness, 50.0, (READ, None), rounds=50)["read"] == 50


def test_inner_tiers_admit_all_requests() -> None:
    assert count_admitted(PolicyHarness(2, tier=1), 950.0, READ, 100) == 100


def test_limit_per_balancer_has_minimum() -> None:
    """Without a minimum, the limit of each of hundreds of balancers would be less than one request."""
    harness = PolicyHarness(8, balancers=400)
    assert all(started_attempts(harness.request()[1]) for _ in range(8))


def mean_in_flight(harness: PolicyHarness, tenant: str, seconds: float) -> float:
    """Send 50 requests per second, each of which lasts 600 ms, for `seconds`.

    Returns:
        The mean number of requests in flight in the second half of that time.
    """
    for _ in range(20):
        harness.serve(duration_ms=600.0)  # sets the baseline service time
    in_flight: deque[tuple[float, int, str]] = deque()
    counts: list[int] = []
    end = harness.now + seconds * 1_000
    while harness.now < end:
        harness.now += 20
        while in_flight and in_flight[0][0] <= harness.now:
            _, request, endpoint = in_flight.popleft()
            harness.finish(request, 0, endpoint, Outcome.SUCCEEDED)
        request, actions = harness.request(tenant=tenant)
        if started_attempts(actions):
            in_flight.append((harness.now + 600, request, first_endpoint(actions)))
        counts.append(len(in_flight))
    second_half = counts[len(counts) // 2 :]
    return sum(second_half) / len(second_half)


@pytest.mark.parametrize("balancers", [1, 3, 7, 40])
def test_total_limit_is_independent_of_balancer_count(balancers: int) -> None:
    """The limit must not have a minimum per balancer.

    A minimum limit of eight attempts per balancer would add up to 11 attempts in flight per endpoint after
    the loss of a zone.
    """
    harness = PolicyHarness(6, balancers=balancers, tenants=(Tenant("big", 0.0),), over_quota_weight=0.0)
    assert mean_in_flight(harness, "big", 10) * balancers == pytest.approx(24, rel=0.25), (
        "the limit is 4 for each endpoint, over all balancers"
    )


@pytest.mark.parametrize(("change", "limit"), [({}, 48), ({"started_at_ms": 1_000.0}, 29)])
def test_warming_endpoints_raise_limit_partially(change: dict[str, float], limit: int) -> None:
    """If warming endpoints counted fully, the requests admitted for them would overload the warm ones."""
    harness = PolicyHarness(6)
    harness.update_endpoints(*endpoint_list(6)[:3], *endpoint_list(6, **change)[3:])
    assert len(send_until_shed(harness)) <= limit
    assert len(send_until_shed(harness)) == 0


def test_limit_excludes_unreachable_endpoints() -> None:
    """If unreachable endpoints counted, the others would get the requests admitted for a lost zone.

    This would last until the endpoint list shows the loss.
    """
    harness = complete_startup(PolicyHarness(6, max_attempts=1))
    in_flight = send_until_shed(harness)
    for request, endpoint in in_flight:
        harness.finish(request, 0, endpoint, Outcome.SUCCEEDED)
    for _ in range(100):
        request, actions = harness.request()
        endpoint = first_endpoint(actions)
        harness.now += 20
        is_unreachable = endpoint in ("s0", "s1", "s2")
        harness.finish(request, 0, endpoint, Outcome.CONNECT_FAILED if is_unreachable else Outcome.SUCCEEDED)
    assert len(send_until_shed(harness)) < 0.6 * len(in_flight)


def test_limit_ignores_attempts_at_draining_endpoints() -> None:
    """If attempts at draining endpoints counted, they would use up the others' limit during a rollout."""
    harness = PolicyHarness(6)
    endpoints = [first_endpoint(harness.request()[1]) for _ in range(24)]
    harness.update_endpoints(*endpoint_list(6)[:3], *endpoint_list(6, state=EndpointState.DRAINING)[3:])
    remaining = sum(endpoint in ("s0", "s1", "s2") for endpoint in endpoints)
    assert remaining + len(send_until_shed(harness)) == pytest.approx(24, abs=1), (
        "the limit is 8 for each remaining endpoint"
    )


def test_limit_holds_when_all_endpoints_fail() -> None:
    """If attempts at outliers did not count, no request would be shed when all endpoints are outliers."""
    harness = PolicyHarness(4)
    for _ in range(60):
        request, actions = harness.request(PAY)
        harness.now += 5
        harness.finish(request, 0, first_endpoint(actions), Outcome.ERROR)
    assert 0 < len(send_until_shed(harness)) <= 9


def test_random_peak_is_not_shed() -> None:
    """If random peaks counted as overload, one of seven balancers would shed a twelfth of a normal load."""
    harness = PolicyHarness(10, balancers=7)
    for _ in range(50):
        harness.serve(duration_ms=40.0)
    assert len(send_until_shed(harness)) > 80 / 7 + 1


@pytest.mark.parametrize(("limit", "expected"), [(0.0, 0.0), (10.0, 10.0), (2_000.0, 40.0)])
def test_retry_after_is_capped_by_settings(limit: float, expected: float) -> None:
    harness = PolicyHarness(4, max_retry_after_ms=limit)
    for _ in range(500):
        harness.serve(duration_ms=40.0)
    send_until_shed(harness)
    (rejection,) = (a for a in harness.request()[1] if isinstance(a, RejectRequest))
    assert rejection.retry_after_ms == pytest.approx(expected, rel=0.05), (
        "the mean service time, capped by the settings"
    )


@pytest.mark.parametrize(("duration_ms", "all_admitted"), [(150.0, True), (1_500.0, False)])
def test_overload_behind_endpoints_sheds_load(duration_ms: float, *, all_admitted: bool) -> None:
    """If only the capacity of endpoints limited the load, the tier behind them could become overloaded."""
    harness = PolicyHarness(60, balancers=6)
    harness.now = 1_700_000_000_000.0  # Unix time: rounding must not distort the first estimates
    apply_load(harness, 150.0, (READ, None), rounds=300)
    admitted = apply_load(harness, duration_ms, (READ, None), rounds=600)["read"]
    assert (admitted == 600) is all_admitted, (
        "75 attempts in flight, with a limit of 80 and 7 times the baseline service time"
    )
    assert admitted > 200


def test_baseline_is_learned_at_idle_endpoints() -> None:
    """Large requests at idle endpoints are no overload, even close to their latency objective."""
    harness = PolicyHarness(60, balancers=6)
    for _ in range(20):
        harness.serve(duration_ms=900.0)
    assert apply_load(harness, 900.0, (READ, None), rounds=600)["read"] > 540, (
        "all requests except those in the first second"
    )


def test_new_balancer_starts_below_limit() -> None:
    """If new balancers admitted all requests in their first second, they would overload the next tier."""
    harness = PolicyHarness(60, balancers=6)
    admitted = apply_load(harness, 10_000.0, (READ, None), rounds=100)["read"]
    assert 20 <= admitted <= 45, "the full limit is 80 attempts in flight"
