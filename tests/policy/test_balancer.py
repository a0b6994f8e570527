"""The decisions one by one: the ordinary path, and each safeguard by the failure it prevents."""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import replace

import pytest

from loadbalancer.actions import (
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    LogMessage,
    RejectRequest,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from loadbalancer.endpoints import Endpoint, EndpointState
from loadbalancer.events import (
    AttemptFinished,
    ClientDisconnected,
    EndpointListKind,
    EndpointListUpdate,
    Outcome,
    RequestReceived,
    ResponseStarted,
    TimerFired,
)
from loadbalancer.policy.balancer import LoadBalancer
from loadbalancer.policy.capacity import CapacityEstimator
from loadbalancer.policy.endpoint_stats import EndpointStats
from loadbalancer.settings import RequestClass, Settings, Tenant
from loadbalancer.timers import EndpointListTimer, HedgeTimer
from tests.policy.helpers import (
    ANYWHERE,
    ORDER,
    PAY,
    READ,
    PolicyHarness,
    endpoint_list,
    first_endpoint,
    of_type,
    settings,
    started_attempts,
)


def count_by_endpoint(harness: PolicyHarness, rounds: int) -> Counter[str]:
    """Count by endpoint the requests of a run, served one at a time, all in the same time."""
    return Counter(harness.serve(duration_ms=20.0) for _ in range(rounds))


def serve_many(harness: PolicyHarness, times: dict[str, float], rounds: int = 400) -> None:
    """Serve requests one at a time, each endpoint taking its own time."""
    for _ in range(rounds):
        harness.serve(duration_ms=times)


def count_while_s0_fails(harness: PolicyHarness, rounds: int) -> Counter[str]:
    """Count by endpoint the requests of a run in which s0 fails at once and the others serve."""
    counts: Counter[str] = Counter()
    for _ in range(rounds):
        request, actions = harness.request(PAY)
        endpoint = first_endpoint(actions)
        counts[endpoint] += 1
        harness.now += 5
        harness.finish(request, 0, endpoint, Outcome.ERROR if endpoint == "s0" else Outcome.SUCCEEDED)
    return counts


# ---- the ordinary path --------------------------------------------------------------------------


def test_equal_endpoints_get_equally_many_requests() -> None:
    counts = count_by_endpoint(PolicyHarness(4), 2_000)
    assert len(counts) == 4
    assert min(counts.values()) > 100


def test_requests_follow_learned_capacity() -> None:
    harness = PolicyHarness(2)
    serve_many(harness, {"s0": 10.0, "s1": 30.0})
    counts = Counter(harness.serve(duration_ms=10.0) for _ in range(200))
    assert counts["s0"] > 1.7 * counts["s1"], "three to one by the first estimates, even in the end"


def test_the_lowest_load_wins_and_busy_endpoints_are_passed_over() -> None:
    harness = PolicyHarness(2)
    counts = Counter(first_endpoint(harness.request()[1]) for _ in range(8))
    assert abs(counts["s0"] - counts["s1"]) <= 4


def test_a_new_endpoint_starts_at_the_median_capacity() -> None:
    harness = PolicyHarness(3)
    serve_many(harness, {"s0": 10.0, "s1": 20.0, "s2": 60.0})
    harness.update_endpoints(*endpoint_list(3), Endpoint("new"))
    counts = Counter(first_endpoint(harness.request()[1]) for _ in range(9))
    assert counts["s0"] >= counts["new"] > counts["s2"]


def test_unknown_endpoints_are_drawn_by_weight_and_the_largest_is_not_overloaded() -> None:
    """With many balancers no endpoint has a request of ours: the lowest 1/c of four draws was the largest."""
    counts: Counter[str] = Counter()
    for seed in range(1_000):
        harness = PolicyHarness(0, seed=seed)
        harness.update_endpoints(
            Endpoint("s0", weight=4.0), *(Endpoint(f"s{i}", weight=1.0) for i in range(1, 7))
        )
        counts[first_endpoint(harness.request()[1])] += 1
    assert 330 < counts["s0"] < 470, "4 of 10 by weight"
    assert min(counts.values()) > 60


@pytest.mark.parametrize("weight", [0.0, -1.0, float("inf"), float("nan")])
def test_invalid_weights_in_the_list_are_tolerated(weight: float) -> None:
    harness = PolicyHarness(0)
    harness.update_endpoints(Endpoint("s0", weight=weight), Endpoint("s1"))
    assert {harness.serve() for _ in range(60)} == {"s0", "s1"}


def test_a_class_of_priority_weight_zero_is_served() -> None:
    free = RequestClass("free", 1_000, 3_000, READ.idempotency, priority_weight=0.0)
    harness = PolicyHarness(2, classes=(free,))
    assert {harness.serve(free) for _ in range(60)} == {"s0", "s1"}


def count_by_zone(weights: dict[str, float]) -> Counter[str]:
    """Count by zone the first requests of new balancers of zone `a`, with one endpoint a zone."""
    counts: Counter[str] = Counter()
    for seed in range(600):
        harness = PolicyHarness(0, seed=seed, zone="a")
        harness.update_endpoints(
            *(Endpoint(zone, zone=zone, weight=weight) for zone, weight in weights.items())
        )
        counts[first_endpoint(harness.request()[1])] += 1
    return counts


def test_requests_stay_in_the_own_zone_while_it_has_capacity_for_its_part() -> None:
    assert count_by_zone({"a": 1.0, "b": 1.0, "c": 0.5}) == {"a": 600}
    assert count_by_zone({"a": 0.3, "b": 0.3, "c": 0.3}) == {"a": 600}
    third = 0.1 + 0.2  # its part of three such zones is off by rounding
    assert count_by_zone({"a": third, "b": 0.3, "c": third}).keys() <= {"a", "b", "c"}


def test_a_zone_short_of_capacity_spills_to_zones_with_spare_capacity() -> None:
    counts = count_by_zone({"a": 1.0, "b": 3.0, "c": 2.0})
    assert 240 < counts["a"] < 360, "it keeps half of what it gets: its part would be 2"
    assert counts["c"] == 0
    assert counts["b"] == 600 - counts["a"]


def test_zone_preference_ends_as_soon_as_its_endpoints_have_requests_in_flight() -> None:
    """Endpoints of one zone got two or three times the requests of another, and stayed slow for long."""
    in_own_zone = []
    for endpoints in (1, 3):
        in_own_zone.append(0)
        for seed in range(30):
            harness = PolicyHarness(0, seed=seed, zone="a", may_hedge=False)
            harness.update_endpoints(
                *(Endpoint(f"{zone}{i}", zone=zone) for zone in "abcd" for i in range(endpoints))
            )
            in_own_zone[-1] += sum(
                first_endpoint(harness.request(PAY)[1])[0] == "a" for _ in range(2 * endpoints)
            )
    assert in_own_zone[0] <= 45  # the first of two at the most, and now and then the second
    assert 30 * 2 <= in_own_zone[1] <= 30 * 6 * 0.7  # drawn first, then chosen by load alone


def test_a_loaded_own_zone_gives_way_to_the_other_zones() -> None:
    """One of two balancers sent nearly all to the one endpoint of its zone; two zones were idle."""
    harness = PolicyHarness(0, zone="a", balancers=2, may_hedge=False)
    harness.update_endpoints(*(Endpoint(zone, zone=zone) for zone in "abcd"))
    harness.balancer._overload.completions.reset(16.0, harness.now)  # the limit of its start is past
    counts = Counter(first_endpoint(harness.request(PAY)[1]) for _ in range(16))
    assert counts.keys() == {"a", "b", "c", "d"}
    assert max(counts.values()) == counts["a"] < 12


def test_a_balancer_whose_zone_has_no_endpoint_uses_all_the_others() -> None:
    assert count_by_zone({"b": 1.0, "c": 1.0}).keys() == {"b", "c"}


def test_one_slow_response_does_not_ruin_a_capacity_estimate() -> None:
    harness = PolicyHarness(2)
    serve_many(harness, {"s0": 20.0, "s1": 20.0}, 100)
    request, actions = harness.request()
    slow = first_endpoint(actions)
    harness.now += 200
    harness.finish(request, 0, slow, Outcome.SUCCEEDED)
    counts = Counter(harness.serve(duration_ms=20.0) for _ in range(400))
    assert counts[slow] > 10


def test_an_unresponsive_endpoint_loses_capacity_before_its_first_timeout() -> None:
    harness = PolicyHarness(2)
    serve_many(harness, {"s0": 20.0, "s1": 20.0}, 100)
    first = first_endpoint(harness.request()[1])
    harness.now += 500
    counts = Counter(harness.serve(duration_ms=20.0) for _ in range(20))
    assert counts[first] <= 2


def test_a_fast_failing_endpoint_does_not_look_idle() -> None:
    assert count_while_s0_fails(PolicyHarness(2, tier=1), 60)["s0"] < 10


def test_an_endpoint_that_recovers_gets_requests_again() -> None:
    harness = PolicyHarness(2, tier=1)  # nothing is shed there
    count_while_s0_fails(harness, 30)
    counts = Counter(harness.serve(duration_ms=20.0) for _ in range(1_500))
    assert counts["s0"] > 10


# ---- no lost request ----------------------------------------------------------------------------


def test_an_unreachable_endpoint_is_ejected_though_it_served_well_before() -> None:
    """Endpoints of a lost zone got requests as long as their earlier successes outweighed the failures."""
    harness = PolicyHarness(5, seed=3)
    for _ in range(200):
        harness.serve(duration_ms=20.0)
    counts: Counter[str] = Counter()
    for _ in range(200):
        request, actions = harness.request(PAY)
        endpoint = first_endpoint(actions)
        counts[endpoint] += 1
        harness.now += 5
        lost = endpoint in ("s0", "s1", "s2")
        actions = harness.finish(request, 0, endpoint, Outcome.CONNECT_FAILED if lost else Outcome.SUCCEEDED)
        for send in started_attempts(actions):
            harness.handle(ClientDisconnected(request))
            harness.finish(request, 1, send.endpoint, Outcome.CANCELLED)
    assert counts["s0"] + counts["s1"] + counts["s2"] <= 8, (
        "more than half of the endpoints, yet each is certainly unreachable"
    )
    harness.now += 20_000
    assert "s0" in count_by_endpoint(harness, 50), "and is tried retries"


def test_without_endpoints_a_request_is_rejected_at_once() -> None:
    harness = PolicyHarness(0)
    for _ in range(3):
        request, actions = harness.request()
        assert RejectRequest(request) in actions
        assert not started_attempts(actions)
    assert len([a for a in harness.actions if isinstance(a, LogMessage)]) == 1, "one line for the whole time"


def test_a_request_with_no_time_left_is_rejected_at_once() -> None:
    harness = PolicyHarness(2)
    request, actions = harness.request(remaining_ms=0.0)
    assert RejectRequest(request) in actions
    assert not started_attempts(actions)


def test_a_timeout_at_the_deadline_fails_the_request_at_once() -> None:
    harness = PolicyHarness(2)
    request, actions = harness.request(PAY, remaining_ms=300)
    harness.now += 300
    assert of_type(harness.finish(request, 0, first_endpoint(actions), Outcome.TIMED_OUT), FailRequest) == [
        FailRequest(request)
    ]


def test_late_events_are_ignored_and_impossible_ones_raise() -> None:
    harness = PolicyHarness(2)
    assert harness.handle(ClientDisconnected(99)) == []
    assert harness.handle(TimerFired(HedgeTimer(99))) == []
    with pytest.raises(ValueError, match="never made"):
        harness.handle(AttemptFinished(99, 0, "s0", Outcome.SUCCEEDED))
    with pytest.raises(ValueError, match="never made"):
        harness.handle(ResponseStarted(99, 0))
    request, _ = harness.request()
    for attempt in (-1, 1):
        with pytest.raises(ValueError, match="never made"):
            harness.handle(AttemptFinished(request, attempt, "s0", Outcome.SUCCEEDED))
    with pytest.raises(ValueError, match="arrived before"):
        harness.handle(RequestReceived(request, "read", 10))
    with pytest.raises(ValueError, match="unknown class"):
        harness.handle(RequestReceived(12345, "nosuch", 10))


# ---- no doubled effect --------------------------------------------------------------------------


def test_a_request_that_is_not_idempotent_is_retried_only_if_it_never_ran() -> None:
    harness = PolicyHarness(4)
    request, actions = harness.request(PAY)
    retries = started_attempts(harness.finish(request, 0, first_endpoint(actions), Outcome.REJECTED))
    assert len(retries) == 1
    assert harness.finish(request, 1, retries[0].endpoint, Outcome.RESET) == [FailRequest(request)]


def test_a_keyed_retry_stays_in_its_cell_and_window() -> None:
    harness = PolicyHarness(6)
    for _ in range(20):
        request, actions = harness.request(ORDER)
        if not started_attempts(actions):
            continue  # errors shed load
        first = first_endpoint(actions)
        retries = started_attempts(harness.finish(request, 0, first, Outcome.ERROR))
        if retries:
            assert int(retries[0].endpoint[1]) // 2 == int(first[1]) // 2
        harness.now += 100
    harness = PolicyHarness(
        6, classes=(RequestClass("order", 5_000, 9_000, ORDER.idempotency, ORDER.idempotency_scope, 2_000),)
    )
    request, actions = harness.request(ORDER, remaining_ms=9_000)
    harness.now += 2_000
    assert harness.finish(request, 0, first_endpoint(actions), Outcome.ERROR) == [FailRequest(request)]


@pytest.mark.parametrize(("after_ms", "retries"), [(1_600.0, 1), (1_750.0, 0)])
def test_a_keyed_retry_is_not_made_where_its_connection_may_come_up_too_late(
    after_ms: float, retries: int
) -> None:
    """A connect of up to 300 ms began inside the window of 2,000 ms, and the retry arrived after it."""
    order = replace(ANYWHERE, latency_objective_ms=5_000, deadline_ms=9_000)
    harness = PolicyHarness(6, classes=(order,), connect_timeout_ms=300.0)
    request, actions = harness.request(order, remaining_ms=9_000)
    harness.now += after_ms
    assert (
        len(started_attempts(harness.finish(request, 0, first_endpoint(actions), Outcome.ERROR))) == retries
    )


def test_an_endpoint_that_has_restarted_since_gets_no_keyed_retry() -> None:
    harness = PolicyHarness(2, slow_start_ms=0)
    request, actions = harness.request(ANYWHERE)
    first = first_endpoint(actions)
    harness.now += 50
    other = "s1" if first == "s0" else "s0"
    harness.update_endpoints(Endpoint(other, started_at_ms=harness.now), kind=EndpointListKind.DELTA)
    retries = started_attempts(harness.finish(request, 0, first, Outcome.ERROR))
    assert [a.endpoint for a in retries] in ([], [first])


# ---- drains, the list ---------------------------------------------------------------------------


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.REMOVED])
def test_endpoints_that_drain_or_are_removed_get_no_requests(state: EndpointState) -> None:
    harness = PolicyHarness(2)
    harness.update_endpoints(Endpoint("s0", state), kind=EndpointListKind.DELTA)
    assert {harness.serve() for _ in range(30)} == {"s1"}


def test_an_endpoint_missing_from_a_snapshot_is_removed() -> None:
    harness = PolicyHarness(2)
    harness.update_endpoints(Endpoint("s1"))
    assert {harness.serve() for _ in range(30)} == {"s1"}


def test_the_endpoint_list_is_polled_at_once_and_after_failures_with_jitter() -> None:
    firing_times = set()
    for seed in range(4):
        harness = PolicyHarness(2, seed=seed, polls_discovery=True)
        assert of_type(harness.actions, WatchEndpoints) == [WatchEndpoints()]
        actions = harness.handle(EndpointListUpdate(EndpointListKind.FAILED))
        assert any(isinstance(a, LogMessage) for a in actions)
        timer = of_type(actions, SetTimer)[0]
        assert isinstance(timer, SetTimer)
        assert timer.at_ms < harness.now + 5_000
        firing_times.add(timer.at_ms)
        assert WatchEndpoints() in harness.handle(TimerFired(timer.timer))
        assert {harness.serve() for _ in range(30)} == {"s0", "s1"}, "the old list stands"
    assert len(firing_times) == 4
    for _ in range(2_000):  # an outage of hours
        actions = harness.handle(EndpointListUpdate(EndpointListKind.FAILED))
        assert not any(isinstance(a, LogMessage) for a in actions)


# ---- cold endpoints -------------------------------------------------------------------------------


def test_a_warming_endpoint_gets_few_requests() -> None:
    harness = PolicyHarness(4)
    serve_many(harness, dict.fromkeys(("s0", "s1", "s2", "s3"), 10.0))
    harness.update_endpoints(Endpoint("s0", started_at_ms=harness.now), kind=EndpointListKind.DELTA)
    counts = Counter(s.endpoint for _ in range(16) for s in started_attempts(harness.request()[1]))
    assert counts["s0"] <= 2 < min(counts["s1"], counts["s2"], counts["s3"])


def test_endpoints_that_are_all_warming_are_not_overloaded() -> None:
    harness = PolicyHarness(2)
    harness.update_endpoints(*(Endpoint(f"s{i}", started_at_ms=harness.now) for i in range(2)))
    counts = Counter(s.endpoint for _ in range(50) for s in started_attempts(harness.request()[1]))
    assert set(counts.values()) == {1}


# ---- overload -----------------------------------------------------------------------------------


def count_admitted(
    harness: PolicyHarness, duration_ms: float, request_class: RequestClass, rounds: int = 40
) -> int:
    """Send requests one after another, each served in the same time, and count those admitted."""
    admitted = 0
    for _ in range(rounds):
        request, actions = harness.request(request_class)
        if started_attempts(actions):
            admitted += 1
            harness.now += duration_ms
            harness.finish(request, 0, first_endpoint(actions), Outcome.SUCCEEDED)
        else:
            assert RejectRequest(request) in actions
            harness.now += 20
    return admitted


LOW_PRIORITY = RequestClass("low", 1_000, 3_000, READ.idempotency, priority_weight=1.0)
HIGH_PRIORITY = RequestClass("high", 1_000, 3_000, PAY.idempotency, priority_weight=10.0)


def settled(harness: PolicyHarness) -> PolicyHarness:
    """Serve many requests quickly, so that the balancer has left the limits of its start behind."""
    for _ in range(400):
        harness.serve(duration_ms=0.1)
    return harness


def send_until_shed(
    harness: PolicyHarness, request_class: RequestClass = READ, tenant: str | None = None
) -> list[tuple[int, str]]:
    """Send requests at once until one is shed; return the admitted ones with their endpoints."""
    in_flight: list[tuple[int, str]] = []
    while sends := started_attempts(harness.request(request_class, tenant=tenant)[1]):
        in_flight.append((sends[0].request_id, sends[0].endpoint))
        assert len(in_flight) < 1_000
    return in_flight


def test_a_burst_is_shed_before_endpoints_are_overloaded_and_admitted_as_requests_finish() -> None:
    """By a mean over seconds a burst was admitted whole, and overloaded endpoints stay slow for long."""
    harness = settled(PolicyHarness(4, balancers=2))
    in_flight = send_until_shed(harness)
    assert 10 <= len(in_flight) <= 20, "a few for each endpoint, of which the other balancer sends its part"
    logs = [a for a in harness.actions if isinstance(a, LogMessage) and "shedding" in a.text]
    assert len(logs) == 1, "one line for a whole time of shedding"
    harness.now += 50
    for request, endpoint in in_flight[:5]:
        harness.finish(request, 0, endpoint, Outcome.SUCCEEDED)
    assert len(send_until_shed(harness)) == 5


@pytest.mark.parametrize("duration_ms", [50.0, 950.0])
def test_large_requests_are_no_overload_while_few_are_in_flight(duration_ms: float) -> None:
    """Responses past half their objective shed half of the important requests at half idle endpoints."""
    harness = PolicyHarness(4, balancers=2)
    harness.balancer._overload.completions.reset(16.0, harness.now)  # the limit of its start is past
    in_flight: deque[tuple[int, str]] = deque()
    for _ in range(200):
        request, actions = harness.request()
        in_flight.append((request, first_endpoint(actions)))
        harness.now += duration_ms / 14
        if len(in_flight) >= 14:
            request, endpoint = in_flight.popleft()
            harness.finish(request, 0, endpoint, Outcome.SUCCEEDED)


def apply_load(
    harness: PolicyHarness, duration_ms: float, *requests: tuple[RequestClass, str | None], rounds: int = 200
) -> Counter[str]:
    """Send rounds of these requests, one every 20 ms; count the admitted ones by tenant or class."""
    admitted: Counter[str] = Counter()
    in_flight: deque[tuple[float, int, str]] = deque()
    for _ in range(rounds):
        for request_class, tenant in requests:
            harness.now += 20
            while in_flight and in_flight[0][0] <= harness.now:
                _, request, endpoint = in_flight.popleft()
                harness.finish(request, 0, endpoint, Outcome.SUCCEEDED)
            request, actions = harness.request(request_class, tenant=tenant)
            if started_attempts(actions):
                admitted[tenant or request_class.name] += 1
                in_flight.append((harness.now + duration_ms, request, first_endpoint(actions)))
    for harness.now, request, endpoint in in_flight:
        harness.finish(request, 0, endpoint, Outcome.SUCCEEDED)
    return admitted


def test_one_late_response_sheds_nothing() -> None:
    """At light load a tenth was rejected: each late response shed load until many timely ones had come."""
    harness = PolicyHarness(4)
    count_admitted(harness, 50.0, READ, 20)
    count_admitted(harness, 1_000.0, READ, 1)
    assert count_admitted(harness, 50.0, READ, 40) == 40


def test_shedding_ends_within_seconds_of_the_overload() -> None:
    """The limit rose with responses only, and these were few because it was low."""
    harness = PolicyHarness(8)
    apply_load(harness, 950.0, (READ, None))
    harness.now += 4_000
    apply_load(harness, 50.0, (READ, None), rounds=100)
    assert apply_load(harness, 50.0, (READ, None), rounds=50)["read"] == 50


def test_the_lowest_priority_weight_is_shed_first() -> None:
    admitted = apply_load(
        PolicyHarness(2, classes=(LOW_PRIORITY, HIGH_PRIORITY)),
        600.0,
        (HIGH_PRIORITY, None),
        (LOW_PRIORITY, None),
    )
    assert admitted["high"] > 1.5 * admitted["low"] > 0
    harness = PolicyHarness(4, classes=(LOW_PRIORITY, HIGH_PRIORITY))
    assert send_until_shed(harness, LOW_PRIORITY)
    assert len(send_until_shed(harness, HIGH_PRIORITY)) >= 4, "kept free by the lower priority"


def test_a_class_of_low_priority_weight_is_not_shed_like_requests_over_quota() -> None:
    """At an eighth of the largest weight it had the limit of weight zero: a third of it was rejected."""
    low, high = (
        replace(request_class, priority_weight=weight)
        for request_class, weight in ((LOW_PRIORITY, 1.0), (HIGH_PRIORITY, 8.0))
    )
    admitted = {
        request_class: len(
            send_until_shed(settled(PolicyHarness(4, classes=(READ, low, high))), request_class)
        )
        for request_class in (low, high)
    }
    assert 0.7 * admitted[high] < admitted[low] < admitted[high]


def test_inner_tiers_do_not_shed_load() -> None:
    assert count_admitted(PolicyHarness(2, tier=1), 950.0, READ, 100) == 100


def test_one_of_many_balancers_may_have_more_than_two_requests_in_flight() -> None:
    """With hundreds of balancers, each one's part of a limit on requests in flight was filled by chance."""
    harness = PolicyHarness(8, balancers=400)
    assert all(started_attempts(harness.request()[1]) for _ in range(8))


def mean_in_flight(harness: PolicyHarness, tenant: str, seconds: float) -> float:
    """Mean number of requests of 600 ms in flight, in the second half of a run with endless demand."""
    for _ in range(20):
        harness.serve(duration_ms=600.0)  # the baseline service time
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
    half = counts[len(counts) // 2 :]
    return sum(half) / len(half)


@pytest.mark.parametrize("balancers", [1, 3, 7, 40])
def test_the_limit_on_requests_in_flight_does_not_grow_with_the_number_of_balancers(balancers: int) -> None:
    """Eight that each balancer might have in any case were 11 an endpoint after the loss of a zone."""
    harness = PolicyHarness(6, balancers=balancers, tenants=(Tenant("big", 0.0),), over_quota_weight=0.0)
    assert mean_in_flight(harness, "big", 10) * balancers == pytest.approx(24, rel=0.25), (
        "four for each endpoint"
    )


@pytest.mark.parametrize(("change", "limit"), [({}, 48), ({"started_at_ms": 1_000.0}, 29)])
def test_warming_endpoints_raise_the_limit_by_what_they_can_serve_only(
    change: dict[str, float], limit: int
) -> None:
    """Warming endpoints admitted requests that only the others, slow already, could get."""
    harness = PolicyHarness(6)
    harness.update_endpoints(*endpoint_list(6)[:3], *endpoint_list(6, **change)[3:])
    assert len(send_until_shed(harness)) <= limit
    assert len(send_until_shed(harness)) == 0


def test_endpoints_that_fail_all_requests_do_not_raise_the_limit() -> None:
    """Until the list showed the loss of a zone, the other endpoints got the requests of its endpoints."""
    harness = settled(PolicyHarness(6, max_attempts=1))
    in_flight = send_until_shed(harness)
    for request, endpoint in in_flight:
        harness.finish(request, 0, endpoint, Outcome.SUCCEEDED)
    for _ in range(100):
        request, actions = harness.request()
        endpoint = first_endpoint(actions)
        harness.now += 20
        lost = endpoint in ("s0", "s1", "s2")
        harness.finish(request, 0, endpoint, Outcome.CONNECT_FAILED if lost else Outcome.SUCCEEDED)
    assert len(send_until_shed(harness)) < 0.6 * len(in_flight)


def test_requests_at_draining_endpoints_do_not_count_against_the_limit() -> None:
    """During a rollout the requests that old endpoints still held filled the limit of the others."""
    harness = PolicyHarness(6)
    endpoints = [first_endpoint(harness.request()[1]) for _ in range(24)]
    harness.update_endpoints(*endpoint_list(6)[:3], *endpoint_list(6, state=EndpointState.DRAINING)[3:])
    left = sum(endpoint in ("s0", "s1", "s2") for endpoint in endpoints)
    assert left + len(send_until_shed(harness)) == pytest.approx(24, abs=1), (
        "eight for each endpoint that is left"
    )


def serve_at_interval(harness: PolicyHarness, interval_ms: float, seconds: int) -> None:
    for _ in range(int(seconds * 1_000 / interval_ms)):
        harness.serve(duration_ms=5.0)
        harness.now += interval_ms - 5.0


@pytest.mark.parametrize(
    ("left", "interval_ms", "takes_over"),
    [(5, 10.0, True), (10, 10.0, False), (5, 40.0, False), (10, 40.0, False)],
)
def test_a_balancer_that_gets_the_requests_of_a_lost_zone_counts_fewer_peers(
    left: int, interval_ms: float, takes_over: bool
) -> None:
    """Three balancers left of seven used three sevenths of the capacity that was left."""
    harness = PolicyHarness(10, balancers=4)
    serve_at_interval(harness, 40.0, 10)
    harness.update_endpoints(*endpoint_list(10)[:left])
    serve_at_interval(harness, interval_ms, 3)
    admitted_per_endpoint = len(send_until_shed(harness)) / left
    assert (admitted_per_endpoint > 4) if takes_over else (admitted_per_endpoint < 3), (
        "of eight requests for each endpoint"
    )


def test_fewer_peers_leave_a_balancer_a_larger_part_of_each_quota() -> None:
    harness = PolicyHarness(10, balancers=4, tenants=(Tenant("small", 30.0),), over_quota_weight=0.0)
    serve_at_interval(harness, 40.0, 10)
    harness.update_endpoints(*endpoint_list(10)[:5])
    serve_at_interval(harness, 10.0, 3)
    assert len(send_until_shed(harness, tenant="small")) > 20, (
        "a fourth of its quota would have limited it to 15"
    )


def test_the_limit_holds_where_all_endpoints_fail() -> None:
    """With no endpoint eligible nothing was counted against the limit: all requests were admitted."""
    harness = PolicyHarness(4)
    for _ in range(60):
        request, actions = harness.request(PAY)
        harness.now += 5
        harness.finish(request, 0, first_endpoint(actions), Outcome.ERROR)
    assert 0 < len(send_until_shed(harness)) <= 9


def test_a_random_peak_at_one_of_many_balancers_is_no_overload() -> None:
    """A twelfth of the requests within quota was rejected for a momentary peak at one of seven balancers."""
    harness = PolicyHarness(10, balancers=7)
    for _ in range(50):
        harness.serve(duration_ms=40.0)
    assert len(send_until_shed(harness)) > 80 / 7 + 1


def test_a_tenant_over_its_quota_is_shed_before_the_others() -> None:
    harness = PolicyHarness(4, tenants=(Tenant("big", 0.1), Tenant("small", 500.0)), over_quota_weight=0.1)
    admitted = apply_load(harness, 600.0, (READ, "big"), (READ, "small"))
    assert admitted["small"] > 1.5 * admitted["big"] > 0


@pytest.mark.parametrize(("limit", "expected"), [(0.0, 0.0), (10.0, 10.0), (2_000.0, 40.0)])
def test_a_rejection_gives_retry_after_where_the_settings_allow(limit: float, expected: float) -> None:
    harness = PolicyHarness(4, max_retry_after_ms=limit)
    for _ in range(500):
        harness.serve(duration_ms=40.0)
    send_until_shed(harness)
    (rejection,) = (a for a in harness.request()[1] if isinstance(a, RejectRequest))
    assert rejection.retry_after_ms == pytest.approx(expected, rel=0.05), "the baseline service time"


def test_a_rejected_request_does_not_use_up_quota() -> None:
    """Clients send a rejected request retries: one shed in an overload was counted twice."""
    harness = settled(PolicyHarness(4, tenants=(Tenant("small", 4.0),), over_quota_weight=0.1))
    in_flight = send_until_shed(harness)
    for _ in range(20):
        assert not started_attempts(harness.request(tenant="small")[1])
    for request, endpoint in in_flight[:6]:
        harness.finish(request, 0, endpoint, Outcome.SUCCEEDED)
    assert len(send_until_shed(harness, tenant="small")) == 6, (
        "all within its quota: a request over it would be shed here"
    )


def test_a_late_client_retry_is_shed_before_requests_still_in_time() -> None:
    """Requests that had timed out came again from the client, without value, and ranked as high as any."""
    harness = PolicyHarness(4)
    assert started_attempts(harness.request(remaining_ms=1_900)[1]), "nothing else asks for the capacity"
    for request, endpoint in send_until_shed(harness)[:6]:
        harness.finish(request, 0, endpoint, Outcome.SUCCEEDED)
    assert not started_attempts(harness.request(remaining_ms=1_900)[1]), (
        "its client began 1,100 ms ago, with an objective of 1,000"
    )
    assert started_attempts(harness.request(remaining_ms=2_100)[1])


def test_a_first_request_with_a_part_of_the_deadline_is_no_late_retry() -> None:
    """Clients that wait for six tenths of the deadline had each first request ranked as a late retry."""
    admitted = {}
    for remaining in (1_800.0, 3_000.0):
        harness, admitted[remaining] = PolicyHarness(4), 0
        while started_attempts(harness.request(remaining_ms=remaining)[1]):
            admitted[remaining] += 1
    assert admitted[1_800.0] == admitted[3_000.0]


def test_one_of_many_balancers_uses_a_stable_subset_of_the_endpoints() -> None:
    """Requests spread over all endpoints are too few at each to learn it or to use a connection twice."""
    subsets = []
    for seed in range(40):
        harness = PolicyHarness(60, seed=seed, balancers=300)
        subsets.append({harness.serve() for _ in range(300)})
        harness.update_endpoints(Endpoint("s60"), kind=EndpointListKind.DELTA)
        assert len({harness.serve() for _ in range(100)} - subsets[-1]) <= 1, (
            "a new entry replaces one of them at most"
        )
    assert {len(subset) for subset in subsets} == {12}
    assert len(set[str]().union(*subsets)) > 55, "each balancer has a subset of its own"
    harness = PolicyHarness(20, balancers=10)
    assert len({harness.serve() for _ in range(400)}) == 20, "few balancers use all the endpoints"


def test_a_keyed_retry_stays_in_its_cell_even_outside_the_subset() -> None:
    harness = PolicyHarness(60, balancers=3_000)
    other_endpoints = 0
    for _ in range(60):
        request, actions = harness.request(ORDER)
        if started_attempts(actions):
            first = int(first_endpoint(actions)[1:])
            retries = started_attempts(harness.finish(request, 0, first_endpoint(actions), Outcome.ERROR))
            assert all(int(s.endpoint[1:]) // 2 == first // 2 for s in retries)
            other_endpoints += any(int(s.endpoint[1:]) != first for s in retries)
        harness.now += 500
    assert other_endpoints > 0


@pytest.mark.parametrize("tier", [0, 1])
@pytest.mark.parametrize("request_class", [READ, ORDER])
def test_an_unresponsive_endpoint_costs_an_idempotent_request_one_hedged_attempt(
    request_class: RequestClass, tier: int
) -> None:
    harness = PolicyHarness(4, tier=tier)
    serve_many(harness, dict.fromkeys(("s0", "s1", "s2", "s3"), 50.0), 50)
    request, actions = harness.request(request_class)
    first, timer = started_attempts(actions)[0], of_type(actions, SetTimer)[0]
    assert first.timeout_ms == pytest.approx(1_000)
    assert isinstance(timer, SetTimer)
    assert timer.at_ms < harness.now + 501
    harness.now = timer.at_ms
    actions = harness.handle(TimerFired(timer.timer))
    hedged = started_attempts(actions)[0]
    assert hedged.endpoint != first.endpoint
    assert actions.index(CloseIdleConnections(hedged.endpoint)) < actions.index(hedged), "on a new connection"
    assert request_class is READ or int(hedged.endpoint[1]) // 2 == int(first.endpoint[1]) // 2, (
        "inside its cell"
    )
    assert not started_attempts(harness.handle(TimerFired(timer.timer))), "one hedged attempt, not more"
    harness.now += 40
    assert CancelAttempt(request, 0) in harness.finish(request, 1, hedged.endpoint, Outcome.SUCCEEDED)


def test_no_hedged_attempt_where_a_request_must_not_run_twice_or_hedging_is_off() -> None:
    assert not of_type(PolicyHarness(4).request(PAY)[1], SetTimer)
    actions = PolicyHarness(4, may_hedge=False).request(READ)[1]
    assert not of_type(actions, SetTimer)
    assert started_attempts(actions)[0].timeout_ms == pytest.approx(1_000), (
        "cut short, the work done so far is lost"
    )
    assert started_attempts(PolicyHarness(4, max_attempts=1).request(READ)[1])[0].timeout_ms == pytest.approx(
        1_000
    )


def test_without_hedging_an_attempt_keeps_its_whole_timeout() -> None:
    """Cut at four times the baseline, large requests were started anew elsewhere and lost there as well."""
    harness = PolicyHarness(4, may_hedge=False)
    for _ in range(400):
        harness.serve(duration_ms=20.0)
    request, actions = harness.request()
    assert started_attempts(actions)[0].timeout_ms == pytest.approx(READ.latency_objective_ms)
    harness.now += 900
    assert not started_attempts(harness.finish(request, 0, first_endpoint(actions), Outcome.SUCCEEDED))


# ---- settings, determinism ----------------------------------------------------------------------


@pytest.mark.parametrize(
    ("change", "name"),
    [
        ({"classes": ()}, "classes"),
        ({"classes": (READ, READ)}, "classes"),
        ({"balancers": 0}, "balancers"),
        ({"max_attempts": 0}, "max_attempts"),
        ({"slow_start_initial_fraction": 0.0}, "slow_start_initial_fraction"),
        ({"tick_ms": float("inf")}, "tick_ms"),
        ({"over_quota_weight": 2.0}, "over_quota_weight"),
    ],
)
def test_invalid_settings_name_their_field(change: dict[str, object], name: str) -> None:
    with pytest.raises(ValueError, match=name):
        settings(**change)
    with pytest.raises(ValueError, match="latency_objective_ms"):
        RequestClass("x", 0, 10, READ.idempotency)


def test_the_same_events_and_seed_give_the_same_actions() -> None:
    def run(seed: int) -> list[object]:
        harness = PolicyHarness(6, seed=seed)
        for i in range(200):
            harness.serve(duration_ms=5.0 + i % 7)
        return [a for a in harness.actions if isinstance(a, StartAttempt)]

    assert run(3) == run(3) != run(4)


def test_a_balancer_needs_no_endpoint_list_to_start() -> None:
    balancer = LoadBalancer(Settings(classes=(READ,), polls_discovery=True), 1)
    assert WatchEndpoints() in balancer.handle(RequestReceived(1, "read", 500), 0.0)


def test_ties_go_to_the_larger_capacity_and_draws_follow_capacity(monkeypatch: pytest.MonkeyPatch) -> None:
    harness = PolicyHarness(2)
    capacity = {"s0": 2.0, "s1": 1.0}

    def known_capacities(_: object, endpoints: list[EndpointStats], *_args: float) -> list[float]:
        return [capacity[endpoint.entry.name] for endpoint in endpoints]

    monkeypatch.setattr(CapacityEstimator, "estimates", known_capacities)
    request, _ = harness.request()
    known = harness.balancer._requests[request]
    known.attempts.clear()
    # (3 + 1) / 2 ties with (1 + 1) / 1
    harness.balancer._endpoints.by_name["s0"].in_flight = 3
    harness.balancer._endpoints.by_name["s1"].in_flight = 1
    counts = Counter(
        s.entry.name for _ in range(2_000) if (s := harness.balancer._selector.select(known, harness.now))
    )
    assert counts["s0"] > 1_900, "s1 wins only if none of the four draws is s0: one in 81"
    assert counts["s1"] > 5


def test_a_failed_attempt_counts_its_full_timeout_as_busy_time() -> None:
    """A fast failure must not look like a fast response, nor like a request in flight."""
    harness = PolicyHarness(1)
    _, actions = harness.request(PAY)
    harness.now += 5
    harness.finish(1, 0, "s0", Outcome.ERROR)
    endpoint = harness.balancer._endpoints.by_name["s0"]
    assert endpoint.in_flight == 0
    assert endpoint.busy_ms == pytest.approx(started_attempts(actions)[0].timeout_ms, rel=0.01)
    assert endpoint.served == 0


def closes_idle_connections(harness: PolicyHarness, interval_ms: float) -> bool:
    """Serve a request after a pause; return whether idle connections were closed before it."""
    harness.now += interval_ms
    request, actions = harness.request(PAY)
    harness.now += 20
    harness.finish(request, 0, first_endpoint(actions), Outcome.SUCCEEDED)
    return bool(of_type(actions, CloseIdleConnections))


def test_connections_that_break_when_idle_are_closed_before_that() -> None:
    """Connections dropped silently after a second without use cost each later attempt its whole timeout."""
    harness = PolicyHarness(1, tier=1)  # nothing is shed there
    for _ in range(20):
        assert not closes_idle_connections(harness, 400.0)
    assert not closes_idle_connections(harness, 1_500.0)
    for _ in range(2):
        closes_idle_connections(harness, 10.0)
        harness.now += 1_500
        request, actions = harness.request(PAY)
        assert not of_type(actions, CloseIdleConnections)
        harness.now += 1_000
        harness.finish(request, 0, "s0", Outcome.TIMED_OUT)
    closes_idle_connections(harness, 10.0)
    assert closes_idle_connections(harness, 1_600.0), "as long a pause as that of the lost attempts"
    assert not closes_idle_connections(harness, 400.0), "a short one is known to be safe"
    for _ in range(60):
        closes_idle_connections(harness, 400.0)
    assert not closes_idle_connections(harness, 1_600.0), "the evidence has been replaced"


def test_a_request_never_has_two_attempts_in_flight_unless_hedging_is_allowed() -> None:
    harness = PolicyHarness(4, may_hedge=False)
    request, _ = harness.request()
    for timer in (HedgeTimer(request), EndpointListTimer(), HedgeTimer(99)):
        harness.now += 100
        assert started_attempts(harness.handle(TimerFired(timer))) == []


def test_large_requests_by_their_cost_hint_do_not_make_an_endpoint_look_slow() -> None:
    """Heavy-tailed work that counted as one request each made capacity estimates fluctuate."""
    harness = PolicyHarness(1)
    for hint in (20.0, 20.0, 20.0, 200.0) * 50:
        request, actions = harness.request(PAY, cost_hint_ms=hint)
        harness.now += hint * 2
        harness.finish(request, 0, first_endpoint(actions), Outcome.SUCCEEDED)
    endpoint = harness.balancer._endpoints.by_name["s0"]
    mean = (20 * 3 + 200) / 4
    endpoint.catch_up(harness.now)
    assert endpoint.served / endpoint.busy_ms == pytest.approx(1 / (2 * mean), rel=0.25)


def test_a_large_request_by_its_cost_hint_is_hedged_later() -> None:
    harness = PolicyHarness(4)
    for _ in range(60):
        request, actions = harness.request(cost_hint_ms=10.0)
        harness.now += 20
        harness.finish(request, 0, first_endpoint(actions), Outcome.SUCCEEDED)

    def hedge_delay_ms(hint: float) -> float:
        timer = of_type(harness.request(cost_hint_ms=hint)[1], SetTimer)[0]
        assert isinstance(timer, SetTimer)
        return timer.at_ms - harness.now

    assert hedge_delay_ms(20.0) > 1.5 * hedge_delay_ms(10.0)


@pytest.mark.parametrize(("duration_ms", "all_admitted"), [(150.0, True), (1_500.0, False)])
def test_overload_behind_the_endpoints_shows_in_response_times(
    duration_ms: float, all_admitted: bool
) -> None:
    """The limit goes by the endpoints themselves; those behind them were overloaded before it was reached."""
    harness = PolicyHarness(60, balancers=6)
    harness.now = 1_700_000_000_000.0  # Unix time, as in service: the first estimates must survive rounding
    apply_load(harness, 150.0, (READ, None), rounds=300)
    admitted = apply_load(harness, duration_ms, (READ, None), rounds=600)["read"]
    assert (admitted == 600) is all_admitted, "75 of 80 in flight, at seven times their baseline service time"
    assert admitted > 200


def test_the_baseline_service_time_is_learned_at_idle_endpoints() -> None:
    """Large requests at idle endpoints are no overload, however much of their objective they take."""
    harness = PolicyHarness(60, balancers=6)
    for _ in range(20):
        harness.serve(duration_ms=900.0)
    assert apply_load(harness, 900.0, (READ, None), rounds=600)["read"] > 540, "but for the first second"


def test_evidence_on_an_endpoint_lasts_until_its_next_request_at_a_low_rate() -> None:
    """With evidence that faded in 6 s one balancer of hundreds drew slow endpoints as often as fast ones."""
    harness = PolicyHarness(12)
    slow = "s3"
    counts: Counter[str] = Counter()
    for _ in range(150):
        harness.now += 1_500.0
        counts[
            harness.serve(duration_ms={f"s{i}": 1_500.0 if f"s{i}" == slow else 100.0 for i in range(12)})
        ] += 1
    assert 0 < counts[slow] <= 6, "a twelfth are 12 of 150"


def test_balancers_that_start_together_do_not_fill_the_limit_before_the_first_responses() -> None:
    """Each admitted all of the first second, and the endpoints behind them were overloaded by then."""
    harness = PolicyHarness(60, balancers=6)
    admitted = apply_load(harness, 10_000.0, (READ, None), rounds=100)["read"]
    assert 20 <= admitted <= 45, "the limit admits 80"
