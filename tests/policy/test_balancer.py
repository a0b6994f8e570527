"""The decisions one by one: the ordinary path, and each guard by the failure it answers."""

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
from loadbalancer.settings import RequestClass, Settings, Tenant
from loadbalancer.timers import EndpointListTimer, HedgeTimer
from tests.policy.helpers import ANYWHERE, ORDER, PAY, READ, Desk, members, of_kind, sent, settings


def shares(desk: Desk, rounds: int) -> Counter[str]:
    """Where requests go that are served one at a time, all in the same time."""
    return Counter(desk.serve(takes=20.0) for _ in range(rounds))


def teach(desk: Desk, times: dict[str, float], rounds: int = 400) -> None:
    """Serve requests one at a time, each server taking its own time."""
    for _ in range(rounds):
        desk.serve(takes=times)


def s0_fails(desk: Desk, rounds: int) -> Counter[str]:
    """Where requests go that s0 fails at once and the others serve."""
    got: Counter[str] = Counter()
    for _ in range(rounds):
        request, actions = desk.ask(PAY)
        server = sent(actions)[0].endpoint
        got[server] += 1
        desk.now += 5
        desk.end(request, 0, server, Outcome.ERROR if server == "s0" else Outcome.SUCCEEDED)
    return got


# ---- the ordinary path --------------------------------------------------------------------------


def test_equal_servers_get_equal_shares() -> None:
    got = shares(Desk(4), 2_000)
    assert len(got) == 4
    assert min(got.values()) > 100


def test_share_follows_learned_capacity() -> None:
    desk = Desk(2)
    teach(desk, {"s0": 10.0, "s1": 30.0})
    got = Counter(desk.serve(takes=10.0) for _ in range(200))
    assert got["s0"] > 1.7 * got["s1"], "three to one by what is known at first, even in the end"


def test_lowest_load_after_placing_wins_and_busy_servers_are_passed_over() -> None:
    desk = Desk(2)
    got = Counter(sent(desk.ask()[1])[0].endpoint for _ in range(8))
    assert abs(got["s0"] - got["s1"]) <= 4


def test_a_new_server_starts_at_the_median() -> None:
    desk = Desk(3)
    teach(desk, {"s0": 10.0, "s1": 20.0, "s2": 60.0})
    desk.show(*members(3), Endpoint("new"))
    got = Counter(sent(desk.ask()[1])[0].endpoint for _ in range(9))
    assert got["s0"] >= got["new"] > got["s2"]


def test_unknown_servers_are_drawn_by_registered_size_and_the_largest_is_not_crowded() -> None:
    """At full size no server holds a call of ours: the lowest 1/c of four draws was the largest server."""
    got: Counter[str] = Counter()
    for seed in range(1_000):
        desk = Desk(0, seed=seed)
        desk.show(Endpoint("s0", weight=4.0), *(Endpoint(f"s{i}", weight=1.0) for i in range(1, 7)))
        got[sent(desk.ask()[1])[0].endpoint] += 1
    assert 330 < got["s0"] < 470, "4 of 10 by size"
    assert min(got.values()) > 60


@pytest.mark.parametrize("size", [0.0, -1.0, float("inf"), float("nan")])
def test_odd_sizes_in_the_list_are_survived(size: float) -> None:
    desk = Desk(0)
    desk.show(Endpoint("s0", weight=size), Endpoint("s1"))
    assert {desk.serve() for _ in range(60)} == {"s0", "s1"}


def test_classes_without_worth_are_survived() -> None:
    free = RequestClass("free", 1_000, 3_000, READ.idempotency, priority_weight=0.0)
    desk = Desk(2, classes=(free,))
    assert {desk.serve(free) for _ in range(60)} == {"s0", "s1"}


def zone_shares(sizes: dict[str, float]) -> Counter[str]:
    """Where the first calls of fresh balancers of zone `a` go, one server a zone."""
    got: Counter[str] = Counter()
    for seed in range(600):
        desk = Desk(0, seed=seed, zone="a")
        desk.show(*(Endpoint(zone, zone=zone, weight=size) for zone, size in sizes.items()))
        got[sent(desk.ask()[1])[0].endpoint] += 1
    return got


def test_calls_stay_in_the_own_zone_while_it_has_its_part() -> None:
    assert zone_shares({"a": 1.0, "b": 1.0, "c": 0.5}) == {"a": 600}
    assert zone_shares({"a": 0.3, "b": 0.3, "c": 0.3}) == {"a": 600}
    third = 0.1 + 0.2  # its part of three such zones is off by rounding
    assert zone_shares({"a": third, "b": 0.3, "c": third}).keys() <= {"a", "b", "c"}


def test_a_zone_short_of_capacity_spills_to_those_with_more_than_their_part() -> None:
    got = zone_shares({"a": 1.0, "b": 3.0, "c": 2.0})
    assert 240 < got["a"] < 360, "it keeps half of what it gets: its part would be 2"
    assert got["c"] == 0
    assert got["b"] == 600 - got["a"]


def test_a_zone_makes_way_for_the_others_as_soon_as_its_servers_hold_calls() -> None:
    """Servers of one zone carried two or three times the calls of another, and slowed down for long."""
    stayed = []
    for servers in (1, 3):
        stayed.append(0)
        for seed in range(30):
            desk = Desk(0, seed=seed, zone="a", may_hedge=False)
            desk.show(*(Endpoint(f"{zone}{i}", zone=zone) for zone in "abcd" for i in range(servers)))
            stayed[-1] += sum(sent(desk.ask(PAY)[1])[0].endpoint[0] == "a" for _ in range(2 * servers))
    assert stayed[0] <= 45  # the first of two at the most, and now and then the second
    assert 30 * 2 <= stayed[1] <= 30 * 6 * 0.7  # drawn first, then weighed by load alone


def test_a_zone_that_holds_many_of_our_calls_makes_way_for_the_others() -> None:
    """One of two balancers sent nearly all to the one server of its zone; two zones stood idle."""
    desk = Desk(0, zone="a", balancers=2, may_hedge=False)
    desk.show(*(Endpoint(zone, zone=zone) for zone in "abcd"))
    desk.balancer._overload.completions.reset(16.0, desk.now)  # not at its start
    got = Counter(sent(desk.ask(PAY)[1])[0].endpoint for _ in range(16))
    assert got.keys() == {"a", "b", "c", "d"}
    assert max(got.values()) == got["a"] < 12


def test_a_balancer_whose_zone_has_no_server_uses_all_the_others() -> None:
    assert zone_shares({"b": 1.0, "c": 1.0}).keys() == {"b", "c"}


def test_one_slow_answer_does_not_ruin_an_estimate() -> None:
    desk = Desk(2)
    teach(desk, {"s0": 20.0, "s1": 20.0}, 100)
    request, actions = desk.ask()
    slow = sent(actions)[0].endpoint
    desk.now += 200
    desk.end(request, 0, slow, Outcome.SUCCEEDED)
    got = Counter(desk.serve(takes=20.0) for _ in range(400))
    assert got[slow] > 10


def test_a_silent_server_sinks_before_its_first_time_out() -> None:
    desk = Desk(2)
    teach(desk, {"s0": 20.0, "s1": 20.0}, 100)
    first = sent(desk.ask()[1])[0].endpoint
    desk.now += 500
    got = Counter(desk.serve(takes=20.0) for _ in range(20))
    assert got[first] <= 2


def test_a_fast_failing_server_does_not_look_idle() -> None:
    assert s0_fails(Desk(2, tier=1), 60)["s0"] < 10


def test_a_server_that_recovers_is_found_again() -> None:
    desk = Desk(2, tier=1)  # nothing is shed there
    s0_fails(desk, 30)
    got = Counter(desk.serve(takes=20.0) for _ in range(1_500))
    assert got["s0"] > 10


# ---- no lost request ----------------------------------------------------------------------------


def test_a_server_that_cannot_be_reached_is_set_aside_though_it_served_well() -> None:
    """A lost zone's servers were called on as long as what they had served before stood against it."""
    desk = Desk(5, seed=3)
    for _ in range(200):
        desk.serve(takes=20.0)
    got: Counter[str] = Counter()
    for _ in range(200):
        request, actions = desk.ask(PAY)
        server = sent(actions)[0].endpoint
        got[server] += 1
        desk.now += 5
        lost = server in ("s0", "s1", "s2")
        actions = desk.end(request, 0, server, Outcome.CONNECT_FAILED if lost else Outcome.SUCCEEDED)
        for send in sent(actions):
            desk.tell(ClientDisconnected(request))
            desk.end(request, 1, send.endpoint, Outcome.CANCELLED)
    assert got["s0"] + got["s1"] + got["s2"] <= 8, (
        "more than half of the servers, yet each is away for certain"
    )
    desk.now += 20_000
    assert "s0" in shares(desk, 50), "and is tried again"


def test_nothing_to_send_to_ends_in_a_refusal_at_once() -> None:
    desk = Desk(0)
    for _ in range(3):
        request, actions = desk.ask()
        assert RejectRequest(request) in actions
        assert not sent(actions)
    assert len([a for a in desk.log if isinstance(a, LogMessage)]) == 1, "one line for the spell"


def test_a_request_with_no_time_left_is_answered_at_once() -> None:
    desk = Desk(2)
    request, actions = desk.ask(remaining=0.0)
    assert RejectRequest(request) in actions
    assert not sent(actions)


def test_a_time_out_at_the_deadline_is_answered_at_once() -> None:
    desk = Desk(2)
    request, actions = desk.ask(PAY, remaining=300)
    desk.now += 300
    assert of_kind(desk.end(request, 0, sent(actions)[0].endpoint, Outcome.TIMED_OUT), FailRequest) == [
        FailRequest(request)
    ]


def test_late_and_odd_events_are_ignored_and_impossible_ones_raise() -> None:
    desk = Desk(2)
    assert desk.tell(ClientDisconnected(99)) == []
    assert desk.tell(TimerFired(HedgeTimer(99))) == []
    with pytest.raises(ValueError, match="never made"):
        desk.tell(AttemptFinished(99, 0, "s0", Outcome.SUCCEEDED))
    with pytest.raises(ValueError, match="never made"):
        desk.tell(ResponseStarted(99, 0))
    request, _ = desk.ask()
    for attempt in (-1, 1):
        with pytest.raises(ValueError, match="never made"):
            desk.tell(AttemptFinished(request, attempt, "s0", Outcome.SUCCEEDED))
    with pytest.raises(ValueError, match="arrived before"):
        desk.tell(RequestReceived(request, "read", 10))
    with pytest.raises(ValueError, match="unknown class"):
        desk.tell(RequestReceived(12345, "nosuch", 10))


# ---- no doubled effect --------------------------------------------------------------------------


def test_an_unsafe_request_is_retried_only_if_it_never_ran() -> None:
    desk = Desk(4)
    request, actions = desk.ask(PAY)
    again = sent(desk.end(request, 0, sent(actions)[0].endpoint, Outcome.REJECTED))
    assert len(again) == 1
    assert desk.end(request, 1, again[0].endpoint, Outcome.RESET) == [FailRequest(request)]


def test_a_keyed_request_stays_in_its_cell_and_window() -> None:
    desk = Desk(6)
    for _ in range(20):
        request, actions = desk.ask(ORDER)
        if not sent(actions):
            continue  # errors shed load
        first = sent(actions)[0].endpoint
        again = sent(desk.end(request, 0, first, Outcome.ERROR))
        if again:
            assert int(again[0].endpoint[1]) // 2 == int(first[1]) // 2
        desk.now += 100
    desk = Desk(
        6, classes=(RequestClass("order", 5_000, 9_000, ORDER.idempotency, ORDER.idempotency_scope, 2_000),)
    )
    request, actions = desk.ask(ORDER, remaining=9_000)
    desk.now += 2_000
    assert desk.end(request, 0, sent(actions)[0].endpoint, Outcome.ERROR) == [FailRequest(request)]


@pytest.mark.parametrize(("after", "again"), [(1_600.0, 1), (1_750.0, 0)])
def test_a_keyed_repeat_is_not_decided_where_its_connection_may_come_up_too_late(
    after: float, again: int
) -> None:
    """A connect of up to 300 ms began inside the window of 2,000 and brought the repeat behind it."""
    order = replace(ANYWHERE, latency_objective_ms=5_000, deadline_ms=9_000)
    desk = Desk(6, classes=(order,), connect_timeout_ms=300.0)
    request, actions = desk.ask(order, remaining=9_000)
    desk.now += after
    assert len(sent(desk.end(request, 0, sent(actions)[0].endpoint, Outcome.ERROR))) == again


def test_a_server_that_restarted_since_is_not_trusted_to_drop_a_repeat() -> None:
    desk = Desk(2, slow_start_ms=0)
    request, actions = desk.ask(ANYWHERE)
    first = sent(actions)[0].endpoint
    desk.now += 50
    other = "s1" if first == "s0" else "s0"
    desk.show(Endpoint(other, started_at_ms=desk.now), kind=EndpointListKind.DELTA)
    again = sent(desk.end(request, 0, first, Outcome.ERROR))
    assert [a.endpoint for a in again] in ([], [first])


# ---- drains, the list ---------------------------------------------------------------------------


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.REMOVED])
def test_nothing_new_goes_to_what_drains_or_is_gone(state: EndpointState) -> None:
    desk = Desk(2)
    desk.show(Endpoint("s0", state), kind=EndpointListKind.DELTA)
    assert {desk.serve() for _ in range(30)} == {"s1"}


def test_missing_from_a_whole_list_means_gone() -> None:
    desk = Desk(2)
    desk.show(Endpoint("s1"))
    assert {desk.serve() for _ in range(30)} == {"s1"}


def test_the_list_is_asked_at_once_and_again_after_a_failure_never_in_step() -> None:
    pauses = set()
    for seed in range(4):
        desk = Desk(2, seed=seed, polls_discovery=True)
        assert of_kind(desk.log, WatchEndpoints) == [WatchEndpoints()]
        actions = desk.tell(EndpointListUpdate(EndpointListKind.FAILED))
        assert any(isinstance(a, LogMessage) for a in actions)
        timer = of_kind(actions, SetTimer)[0]
        assert isinstance(timer, SetTimer)
        assert timer.at_ms < desk.now + 5_000
        pauses.add(timer.at_ms)
        assert WatchEndpoints() in desk.tell(TimerFired(timer.timer))
        assert {desk.serve() for _ in range(30)} == {"s0", "s1"}, "the old list stands"
    assert len(pauses) == 4
    for _ in range(2_000):  # an outage of hours
        actions = desk.tell(EndpointListUpdate(EndpointListKind.FAILED))
        assert not any(isinstance(a, LogMessage) for a in actions)


# ---- cold servers -------------------------------------------------------------------------------


def test_a_cold_server_gets_little() -> None:
    desk = Desk(4)
    teach(desk, dict.fromkeys(("s0", "s1", "s2", "s3"), 10.0))
    desk.show(Endpoint("s0", started_at_ms=desk.now), kind=EndpointListKind.DELTA)
    got = Counter(s.endpoint for _ in range(16) for s in sent(desk.ask()[1]))
    assert got["s0"] <= 2 < min(got["s1"], got["s2"], got["s3"])


def test_a_fleet_that_is_all_cold_is_not_pushed_over() -> None:
    desk = Desk(2)
    desk.show(*(Endpoint(f"s{i}", started_at_ms=desk.now) for i in range(2)))
    got = Counter(s.endpoint for _ in range(50) for s in sent(desk.ask()[1]))
    assert set(got.values()) == {1}


# ---- overload -----------------------------------------------------------------------------------


def serve_in(desk: Desk, takes: float, cls: RequestClass, rounds: int = 40) -> int:
    """Requests one after another, all answered after `takes`; how many were let in."""
    let_in = 0
    for _ in range(rounds):
        request, actions = desk.ask(cls)
        if sent(actions):
            let_in += 1
            desk.now += takes
            desk.end(request, 0, sent(actions)[0].endpoint, Outcome.SUCCEEDED)
        else:
            assert RejectRequest(request) in actions
            desk.now += 20
    return let_in


CHEAP = RequestClass("cheap", 1_000, 3_000, READ.idempotency, priority_weight=1.0)
DEAR = RequestClass("dear", 1_000, 3_000, PAY.idempotency, priority_weight=10.0)


def settled(desk: Desk) -> Desk:
    """One whose servers answer as quickly as ever: what it does at its start is not the matter."""
    for _ in range(400):
        desk.serve(takes=0.1)
    return desk


def flood(desk: Desk, cls: RequestClass = READ, tenant: str | None = None) -> list[tuple[int, str]]:
    """Requests at once until one is shed; those that were let in, with their servers."""
    out: list[tuple[int, str]] = []
    while sends := sent(desk.ask(cls, tenant=tenant)[1]):
        out.append((sends[0].request_id, sends[0].endpoint))
        assert len(out) < 1_000
    return out


def test_a_burst_is_shed_before_the_servers_are_crowded_and_let_in_as_calls_end() -> None:
    """Judged by a mean over seconds, a burst was let in whole; crowded servers then stay slow for long."""
    desk = settled(Desk(4, balancers=2))
    out = flood(desk)
    assert 10 <= len(out) <= 20, "a few calls for each server, of which the other balancer sends its part"
    logs = [a for a in desk.log if isinstance(a, LogMessage) and "shedding" in a.text]
    assert len(logs) == 1, "one line for a whole spell of shedding"
    desk.now += 50
    for request, server in out[:5]:
        desk.end(request, 0, server, Outcome.SUCCEEDED)
    assert len(flood(desk)) == 5


@pytest.mark.parametrize("takes", [50.0, 950.0])
def test_large_work_is_no_crowd_while_few_calls_are_out(takes: float) -> None:
    """Answers past half their aim shed half of the dear work, though the servers stood half idle."""
    desk = Desk(4, balancers=2)
    desk.balancer._overload.completions.reset(16.0, desk.now)  # not at its start
    out: deque[tuple[int, str]] = deque()
    for _ in range(200):
        request, actions = desk.ask()
        out.append((request, sent(actions)[0].endpoint))
        desk.now += takes / 14
        if len(out) >= 14:
            request, server = out.popleft()
            desk.end(request, 0, server, Outcome.SUCCEEDED)


def load(desk: Desk, takes: float, *asks: tuple[RequestClass, str | None], rounds: int = 200) -> Counter[str]:
    """Rounds of these requests, one each 20 ms, answered after `takes`; who was let in."""
    let_in: Counter[str] = Counter()
    out: deque[tuple[float, int, str]] = deque()
    for _ in range(rounds):
        for cls, tenant in asks:
            desk.now += 20
            while out and out[0][0] <= desk.now:
                _, request, server = out.popleft()
                desk.end(request, 0, server, Outcome.SUCCEEDED)
            request, actions = desk.ask(cls, tenant=tenant)
            if sent(actions):
                let_in[tenant or cls.name] += 1
                out.append((desk.now + takes, request, sent(actions)[0].endpoint))
    for desk.now, request, server in out:
        desk.end(request, 0, server, Outcome.SUCCEEDED)
    return let_in


def test_one_late_answer_sheds_nothing() -> None:
    """At light load a tenth was refused: each late answer shut the door until many good ones had come."""
    desk = Desk(4)
    serve_in(desk, 50.0, READ, 20)
    serve_in(desk, 1_000.0, READ, 1)
    assert serve_in(desk, 50.0, READ, 40) == 40


def test_shedding_lifts_within_seconds_once_the_crowd_is_gone() -> None:
    """The level once rose with answers alone, and those were few because it was low."""
    desk = Desk(8)
    load(desk, 950.0, (READ, None))
    desk.now += 4_000
    load(desk, 50.0, (READ, None), rounds=100)
    assert load(desk, 50.0, (READ, None), rounds=50)["read"] == 50


def test_the_least_worth_is_shed_first() -> None:
    let_in = load(Desk(2, classes=(CHEAP, DEAR)), 600.0, (DEAR, None), (CHEAP, None))
    assert let_in["dear"] > 1.5 * let_in["cheap"] > 0
    desk = Desk(4, classes=(CHEAP, DEAR))
    assert flood(desk, CHEAP)
    assert len(flood(desk, DEAR)) >= 4, "kept free by what is worth less"


def test_a_class_of_little_worth_is_not_shed_like_excess_work() -> None:
    """At an eighth of the dearest it had the bound of work worth nothing: a third of it was refused."""
    cheap, dear = (replace(cls, priority_weight=worth) for cls, worth in ((CHEAP, 1.0), (DEAR, 8.0)))
    let_in = {cls: len(flood(settled(Desk(4, classes=(READ, cheap, dear))), cls)) for cls in (cheap, dear)}
    assert 0.7 * let_in[dear] < let_in[cheap] < let_in[dear]


def test_inner_tiers_do_not_shed_what_others_have_worked_on() -> None:
    assert serve_in(Desk(2, tier=1), 950.0, READ, 100) == 100


def test_one_of_many_balancers_is_not_held_to_a_call_or_two() -> None:
    """At full size each balancer's part of a limit on calls out was filled by chance alone."""
    desk = Desk(8, balancers=400)
    assert all(sent(desk.ask()[1]) for _ in range(8))


def held(desk: Desk, tenant: str, seconds: float) -> float:
    """How many calls of 600 ms are out on average in the second half, when there are always more to come."""
    for _ in range(20):
        desk.serve(takes=600.0)  # so long is usual
    out: deque[tuple[float, int, str]] = deque()
    counts: list[int] = []
    end = desk.now + seconds * 1_000
    while desk.now < end:
        desk.now += 20
        while out and out[0][0] <= desk.now:
            _, request, server = out.popleft()
            desk.end(request, 0, server, Outcome.SUCCEEDED)
        request, actions = desk.ask(tenant=tenant)
        if sent(actions):
            out.append((desk.now + 600, request, sent(actions)[0].endpoint))
        counts.append(len(out))
    half = counts[len(counts) // 2 :]
    return sum(half) / len(half)


@pytest.mark.parametrize("balancers", [1, 3, 7, 40])
def test_all_balancers_together_keep_to_the_same_bound_however_many(balancers: int) -> None:
    """Eight calls that each might have in any case were 11 for each server that a lost zone had left."""
    desk = Desk(6, balancers=balancers, tenants=(Tenant("big", 0.0),), over_quota_weight=0.0)
    assert held(desk, "big", 10) * balancers == pytest.approx(24, rel=0.25), "four for each server"


@pytest.mark.parametrize(("change", "most"), [({}, 48), ({"started_at_ms": 1_000.0}, 29)])
def test_cold_servers_make_room_for_no_more_calls_than_they_can_take(
    change: dict[str, float], most: int
) -> None:
    """Cold ones in the list let in calls that only the others, slow already, could be sent."""
    desk = Desk(6)
    desk.show(*members(6)[:3], *members(6, **change)[3:])
    assert len(flood(desk)) <= most
    assert len(flood(desk)) == 0


def test_servers_that_lose_their_calls_make_room_for_none() -> None:
    """Until the list told of a lost zone, the calls of all its servers came to those that were left."""
    desk = settled(Desk(6, max_attempts=1))
    out = flood(desk)
    for request, server in out:
        desk.end(request, 0, server, Outcome.SUCCEEDED)
    for _ in range(100):
        request, actions = desk.ask()
        server = sent(actions)[0].endpoint
        desk.now += 20
        lost = server in ("s0", "s1", "s2")
        desk.end(request, 0, server, Outcome.CONNECT_FAILED if lost else Outcome.SUCCEEDED)
    assert len(flood(desk)) < 0.6 * len(out)


def test_calls_at_servers_that_drain_crowd_none_of_those_left() -> None:
    """In a release the calls that old servers still held filled the bound of the others."""
    desk = Desk(6)
    servers = [sent(desk.ask()[1])[0].endpoint for _ in range(24)]
    desk.show(*members(6)[:3], *members(6, state=EndpointState.DRAINING)[3:])
    left = sum(server in ("s0", "s1", "s2") for server in servers)
    assert left + len(flood(desk)) == pytest.approx(24, abs=1), "eight for each server that is left"


def steadily(desk: Desk, pause: float, seconds: int) -> None:
    for _ in range(int(seconds * 1_000 / pause)):
        desk.serve(takes=5.0)
        desk.now += pause - 5.0


@pytest.mark.parametrize(
    ("left", "pause", "takes_over"), [(5, 10.0, True), (10, 10.0, False), (5, 40.0, False), (10, 40.0, False)]
)
def test_a_lost_zone_whose_requests_come_to_us_took_its_balancers_with_it(
    left: int, pause: float, takes_over: bool
) -> None:
    """Three of seven balancers kept to three sevenths of what the servers left could take."""
    desk = Desk(10, balancers=4)
    steadily(desk, 40.0, 10)
    desk.show(*members(10)[:left])
    steadily(desk, pause, 3)
    part = len(flood(desk)) / left
    assert (part > 4) if takes_over else (part < 3), "of eight calls for each server"


def test_who_takes_over_for_others_takes_over_their_part_of_the_shares() -> None:
    desk = Desk(10, balancers=4, tenants=(Tenant("small", 30.0),), over_quota_weight=0.0)
    steadily(desk, 40.0, 10)
    desk.show(*members(10)[:5])
    steadily(desk, 10.0, 3)
    assert len(flood(desk, tenant="small")) > 20, "a fourth of its share would have held it to 15"


def test_the_bound_stands_where_all_servers_lose_their_calls() -> None:
    """With none of them counted as able there was nothing to count the calls at: all were let in."""
    desk = Desk(4)
    for _ in range(60):
        request, actions = desk.ask(PAY)
        desk.now += 5
        desk.end(request, 0, sent(actions)[0].endpoint, Outcome.ERROR)
    assert 0 < len(flood(desk)) <= 9


def test_a_chance_swing_of_one_of_many_balancers_is_no_crowd() -> None:
    """Inside its share a twelfth was refused for the calls that one of seven balancers had at one moment."""
    desk = Desk(10, balancers=7)
    for _ in range(50):
        desk.serve(takes=40.0)
    assert len(flood(desk)) > 80 / 7 + 1


def test_a_tenant_over_its_share_is_shed_before_the_others() -> None:
    desk = Desk(4, tenants=(Tenant("big", 0.1), Tenant("small", 500.0)), over_quota_weight=0.1)
    let_in = load(desk, 600.0, (READ, "big"), (READ, "small"))
    assert let_in["small"] > 1.5 * let_in["big"] > 0


@pytest.mark.parametrize(("most", "wanted"), [(0.0, 0.0), (10.0, 10.0), (2_000.0, 40.0)])
def test_a_refusal_says_when_to_come_back_where_the_settings_allow(most: float, wanted: float) -> None:
    desk = Desk(4, max_retry_after_ms=most)
    for _ in range(500):
        desk.serve(takes=40.0)
    flood(desk)
    (refused,) = (a for a in desk.ask()[1] if isinstance(a, RejectRequest))
    assert refused.retry_after_ms == pytest.approx(wanted, rel=0.05), "the time that a usual call takes"


def test_what_is_shed_uses_up_no_share() -> None:
    """Clients ask again after a refusal: a request shed in a crowd was counted twice."""
    desk = settled(Desk(4, tenants=(Tenant("small", 4.0),), over_quota_weight=0.1))
    out = flood(desk)
    for _ in range(20):
        assert not sent(desk.ask(tenant="small")[1])
    for request, server in out[:6]:
        desk.end(request, 0, server, Outcome.SUCCEEDED)
    assert len(flood(desk, tenant="small")) == 6, "all inside its share: what is past it would be shed here"


def test_a_further_try_past_its_aim_makes_way_for_those_still_in_time() -> None:
    """Calls that timed out came back from the client, worth nothing any more, and ranked as dear as any."""
    desk = Desk(4)
    assert sent(desk.ask(remaining=1_900)[1]), "nothing else asks for the room"
    for request, server in flood(desk)[:6]:
        desk.end(request, 0, server, Outcome.SUCCEEDED)
    assert not sent(desk.ask(remaining=1_900)[1]), "its client began 1,100 ms ago and wanted it within 1,000"
    assert sent(desk.ask(remaining=2_100)[1])


def test_a_first_try_that_is_given_a_part_of_the_deadline_is_no_late_one() -> None:
    """Clients that wait for six tenths of the deadline at a time had each first try ranked as a late one."""
    let_in = {}
    for remaining in (1_800.0, 3_000.0):
        desk, let_in[remaining] = Desk(4), 0
        while sent(desk.ask(remaining=remaining)[1]):
            let_in[remaining] += 1
    assert let_in[1_800.0] == let_in[3_000.0]


def test_one_of_many_balancers_keeps_to_a_stable_part_of_the_servers() -> None:
    """Calls spread over all servers are too few at each to learn it or to use a connection twice."""
    parts = []
    for seed in range(40):
        desk = Desk(60, seed=seed, balancers=300)
        parts.append({desk.serve() for _ in range(300)})
        desk.show(Endpoint("s60"), kind=EndpointListKind.DELTA)
        assert len({desk.serve() for _ in range(100)} - parts[-1]) <= 1, "a new entry moves one place"
    assert {len(part) for part in parts} == {12}
    assert len(set[str]().union(*parts)) > 55, "each balancer has a part of its own"
    desk = Desk(20, balancers=10)
    assert len({desk.serve() for _ in range(400)}) == 20, "few balancers use all the servers"


def test_a_keyed_repeat_goes_to_its_cell_outside_the_part_kept_to() -> None:
    desk = Desk(60, balancers=3_000)
    mates = 0
    for _ in range(60):
        request, actions = desk.ask(ORDER)
        if sent(actions):
            first = int(sent(actions)[0].endpoint[1:])
            again = sent(desk.end(request, 0, sent(actions)[0].endpoint, Outcome.ERROR))
            assert all(int(s.endpoint[1:]) // 2 == first // 2 for s in again)
            mates += any(int(s.endpoint[1:]) != first for s in again)
        desk.now += 500
    assert mates > 0


@pytest.mark.parametrize("tier", [0, 1])
@pytest.mark.parametrize("cls", [READ, ORDER])
def test_a_silent_server_costs_a_repeatable_request_no_more_than_a_second_copy(
    cls: RequestClass, tier: int
) -> None:
    desk = Desk(4, tier=tier)
    teach(desk, dict.fromkeys(("s0", "s1", "s2", "s3"), 50.0), 50)
    request, actions = desk.ask(cls)
    first, timer = sent(actions)[0], of_kind(actions, SetTimer)[0]
    assert first.timeout_ms == pytest.approx(1_000)
    assert isinstance(timer, SetTimer)
    assert timer.at_ms < desk.now + 501
    desk.now = timer.at_ms
    actions = desk.tell(TimerFired(timer.timer))
    copy = sent(actions)[0]
    assert copy.endpoint != first.endpoint
    assert actions.index(CloseIdleConnections(copy.endpoint)) < actions.index(copy), (
        "on a connection that is surely whole"
    )
    assert cls is READ or int(copy.endpoint[1]) // 2 == int(first.endpoint[1]) // 2, "inside its group"
    assert not sent(desk.tell(TimerFired(timer.timer))), "one copy, not more"
    desk.now += 40
    assert CancelAttempt(request, 0) in desk.end(request, 1, copy.endpoint, Outcome.SUCCEEDED)


def test_no_second_copy_of_what_must_not_run_twice_or_may_not_be_doubled() -> None:
    assert not of_kind(Desk(4).ask(PAY)[1], SetTimer)
    actions = Desk(4, may_hedge=False).ask(READ)[1]
    assert not of_kind(actions, SetTimer)
    assert sent(actions)[0].timeout_ms == pytest.approx(1_000), "cut short, the work done so far is lost"
    assert sent(Desk(4, max_attempts=1).ask(READ)[1])[0].timeout_ms == pytest.approx(1_000)


def test_a_call_of_many_usual_times_keeps_its_time_where_no_copy_may_go_out() -> None:
    """Cut at four usual times, large requests were begun anew elsewhere and lost there just the same."""
    desk = Desk(4, may_hedge=False)
    for _ in range(400):
        desk.serve(takes=20.0)
    request, actions = desk.ask()
    assert sent(actions)[0].timeout_ms == pytest.approx(READ.latency_objective_ms)
    desk.now += 900
    assert not sent(desk.end(request, 0, sent(actions)[0].endpoint, Outcome.SUCCEEDED))


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
def test_bad_settings_name_their_field(change: dict[str, object], name: str) -> None:
    with pytest.raises(ValueError, match=name):
        settings(**change)
    with pytest.raises(ValueError, match="latency_objective_ms"):
        RequestClass("x", 0, 10, READ.idempotency)


def test_same_events_and_seed_give_the_same_actions() -> None:
    def run(seed: int) -> list[object]:
        desk = Desk(6, seed=seed)
        for i in range(200):
            desk.serve(takes=5.0 + i % 7)
        return [a for a in desk.log if isinstance(a, StartAttempt)]

    assert run(3) == run(3) != run(4)


def test_a_balancer_needs_no_list_to_start() -> None:
    balancer = LoadBalancer(Settings(classes=(READ,), polls_discovery=True), 1)
    assert WatchEndpoints() in balancer.handle(RequestReceived(1, "read", 500), 0.0)


def test_ties_go_to_the_larger_capacity_and_draws_follow_it(monkeypatch: pytest.MonkeyPatch) -> None:
    desk = Desk(2)
    capacity = {"s0": 2.0, "s1": 1.0}
    monkeypatch.setattr(CapacityEstimator, "estimate", lambda _self, s, _median, _now: capacity[s.entry.name])
    request, _ = desk.ask()
    known = desk.balancer._requests[request]
    known.attempts.clear()
    # (3 + 1) / 2 ties with (1 + 1) / 1
    desk.balancer._endpoints.by_name["s0"].in_flight, desk.balancer._endpoints.by_name["s1"].in_flight = 3, 1
    got = Counter(
        s.entry.name for _ in range(2_000) if (s := desk.balancer._selector.select(known, desk.now))
    )
    assert got["s0"] > 1_900, "s1 wins only if none of the four draws is s0: one in 81"
    assert got["s1"] > 5


def test_a_failure_counts_at_its_full_time_out() -> None:
    """Held to its time-out in the estimate: it must not look quick, and a call in flight it is no more."""
    desk = Desk(1)
    _, actions = desk.ask(PAY)
    desk.now += 5
    desk.end(1, 0, "s0", Outcome.ERROR)
    server = desk.balancer._endpoints.by_name["s0"]
    assert server.in_flight == 0
    assert server.busy_ms == pytest.approx(sent(actions)[0].timeout_ms, rel=0.01)
    assert server.served == 0


def closes(desk: Desk, pause: float) -> bool:
    """Whether a call after such a pause opens a new connection; it is served."""
    desk.now += pause
    request, actions = desk.ask(PAY)
    desk.now += 20
    desk.end(request, 0, sent(actions)[0].endpoint, Outcome.SUCCEEDED)
    return bool(of_kind(actions, CloseIdleConnections))


def test_connections_that_die_when_idle_are_closed_sooner() -> None:
    """Unseen drops after a second without use cost each later call there its whole time-out."""
    desk = Desk(1, tier=1)  # nothing is shed there
    for _ in range(20):
        assert not closes(desk, 400.0)
    assert not closes(desk, 1_500.0)
    for _ in range(2):
        closes(desk, 10.0)
        desk.now += 1_500
        request, actions = desk.ask(PAY)
        assert not of_kind(actions, CloseIdleConnections)
        desk.now += 1_000
        desk.end(request, 0, "s0", Outcome.TIMED_OUT)
    closes(desk, 10.0)
    assert closes(desk, 1_600.0), "as long a pause as that of the silent calls"
    assert not closes(desk, 400.0), "a short one is known to be safe"
    for _ in range(60):
        closes(desk, 400.0)
    assert not closes(desk, 1_600.0), "the evidence has given way"


def test_a_request_never_has_two_attempts_out_unless_allowed() -> None:
    desk = Desk(4, may_hedge=False)
    request, _ = desk.ask()
    for timer in (HedgeTimer(request), EndpointListTimer(), HedgeTimer(99)):
        desk.now += 100
        assert sent(desk.tell(TimerFired(timer))) == []


def test_heavy_calls_by_their_hint_do_not_make_a_server_look_slow() -> None:
    """Heavy-tailed work booked as one call each made capacity estimates swing by chance."""
    desk = Desk(1)
    for hint in (20.0, 20.0, 20.0, 200.0) * 50:
        request, actions = desk.ask(PAY, cost_hint_ms=hint)
        desk.now += hint * 2
        desk.end(request, 0, sent(actions)[0].endpoint, Outcome.SUCCEEDED)
    server = desk.balancer._endpoints.by_name["s0"]
    mean = (20 * 3 + 200) / 4
    server.catch_up(desk.now)
    assert server.served / server.busy_ms == pytest.approx(1 / (2 * mean), rel=0.25)


def test_a_heavy_call_may_take_long_before_a_copy_goes_out() -> None:
    desk = Desk(4)
    for _ in range(60):
        request, actions = desk.ask(cost_hint_ms=10.0)
        desk.now += 20
        desk.end(request, 0, sent(actions)[0].endpoint, Outcome.SUCCEEDED)

    def copy_after(hint: float) -> float:
        timer = of_kind(desk.ask(cost_hint_ms=hint)[1], SetTimer)[0]
        assert isinstance(timer, SetTimer)
        return timer.at_ms - desk.now

    assert copy_after(20.0) > 1.5 * copy_after(10.0)


@pytest.mark.parametrize(("takes", "all_in"), [(150.0, True), (1_500.0, False)])
def test_a_crowd_behind_the_servers_shows_in_how_long_their_calls_take(takes: float, all_in: bool) -> None:
    """The bound goes by the servers that we call; those behind them tipped before it was reached."""
    desk = Desk(60, balancers=6)
    desk.now = 1_700_000_000_000.0  # Unix time, as in service: the first figure must not come to be none
    load(desk, 150.0, (READ, None), rounds=300)
    let_in = load(desk, takes, (READ, None), rounds=600)["read"]
    assert (let_in == 600) is all_in, "75 of 80 calls out, at seven times their usual time"
    assert let_in > 200


def test_what_is_usual_is_learned_at_servers_that_hold_hardly_a_call() -> None:
    """Large work at servers that stand idle is no crowd, however much of its aim it takes."""
    desk = Desk(60, balancers=6)
    for _ in range(20):
        desk.serve(takes=900.0)
    assert load(desk, 900.0, (READ, None), rounds=600)["read"] > 540, "but for the first second"


def test_what_a_server_called_once_in_seconds_showed_is_kept_until_it_is_called_again() -> None:
    """Evidence that faded in 6 s had one balancer of hundreds draw slow servers as often as quick ones."""
    desk = Desk(12)
    slow = "s3"
    got: Counter[str] = Counter()
    for _ in range(150):
        desk.now += 1_500.0
        got[desk.serve(takes={f"s{i}": 1_500.0 if f"s{i}" == slow else 100.0 for i in range(12)})] += 1
    assert 0 < got[slow] <= 6, "a twelfth are 12 of 150"


def test_balancers_that_start_together_do_not_fill_the_bound_before_an_answer_tells() -> None:
    """Each let in all that came in the first second: the servers behind them had tipped by then."""
    desk = Desk(60, balancers=6)
    let_in = load(desk, 10_000.0, (READ, None), rounds=100)["read"]
    assert 20 <= let_in <= 45, "the bound lets in 80"
