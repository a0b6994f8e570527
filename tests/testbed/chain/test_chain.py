"""Simulated chains: what a balancer's host passes on and carries out."""

from collections.abc import Callable
from typing import Any

import pytest

from loadbalancer.actions import Action, CancelAttempt, SetTimer, StartAttempt
from loadbalancer.events import (
    AttemptFinished,
    ClientDisconnected,
    EndpointListKind,
    EndpointListUpdate,
    Event,
    Outcome,
    RequestReceived,
    TimerFired,
)
from loadbalancer.policy.balancer import LoadBalancer
from loadbalancer.settings import Idempotency, RequestClass, Settings
from loadbalancer.timers import HedgeTimer
from testbed.chain.chain import Chain
from testbed.chain.server import Behaviour
from testbed.chain.settings import ChainSettings

HOP, SERVICE = 0.25, 1.0  # binary fractions: sums of them are exact
Script = Callable[[Event, float], list[Action]]


def chain_settings(
    depth: int,
    latency_objective_ms: float = 3_000.0,
    idempotency: Idempotency = Idempotency.SAFE,
    **changes: Any,
) -> ChainSettings:
    base: dict[str, Any] = {
        "servers_per_tier": 2,
        "fronts": 1,
        "hop_ms": HOP,
        "service_ms": SERVICE,
        "steady_service": True,
    }
    cls = RequestClass("call", latency_objective_ms, 3_000.0, idempotency)
    return ChainSettings(depth, cls, **(base | changes))


class RecordedEvents:
    """Balancers that note what they are told, by the tier they call from; the front's may act by a script."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, front: Script | None = None) -> None:
        self.events: list[tuple[int, float, Event]] = []
        recorded = self

        class RecordingBalancer(LoadBalancer):
            def __init__(self, settings: Settings, seed: int) -> None:
                super().__init__(settings, seed)
                self.tier = settings.tier

            def handle(self, event: Event, now: float) -> list[Action]:
                recorded.events.append((self.tier, now, event))
                return front(event, now) if front and self.tier == 0 else super().handle(event, now)

        monkeypatch.setattr("testbed.chain.host.LoadBalancer", RecordingBalancer)

    def by(self, tier: int, *kinds: type) -> list[tuple[float, Any]]:
        return [(now, event) for at, now, event in self.events if at == tier and isinstance(event, kinds)]


def play(chain: Chain, events: int = 100_000) -> None:
    assert chain.clock.run(events)


@pytest.mark.parametrize(
    ("behaviour", "outcome", "after_ms"),
    [
        (Behaviour.SERVES, Outcome.SUCCEEDED, 2 * HOP + SERVICE),
        (Behaviour.FAILS, Outcome.ERROR, 2 * HOP + SERVICE),
        (Behaviour.REFUSES, Outcome.CONNECT_FAILED, HOP),
        (Behaviour.REJECTS, Outcome.REJECTED, 2 * HOP),
        (Behaviour.HANGS, Outcome.TIMED_OUT, 500.0),
    ],
)
def test_each_behaviour_has_its_outcome_and_time(
    monkeypatch: pytest.MonkeyPatch, behaviour: Behaviour, outcome: Outcome, after_ms: float
) -> None:
    recorded = RecordedEvents(monkeypatch)
    chain = Chain(chain_settings(1, latency_objective_ms=500.0, max_attempts=1), 1)
    assert [e.kind for _, e in recorded.by(0, EndpointListUpdate)] == [
        EndpointListKind.CACHED,
        EndpointListKind.SNAPSHOT,
    ]
    chain.set_behaviour(1, 2, behaviour)
    chain.send_request(0)
    play(chain)
    [(at, ended)] = recorded.by(0, AttemptFinished)
    served = outcome is Outcome.SUCCEEDED
    assert (ended.outcome, at, ended.is_request_complete) == (outcome, after_ms, served)
    # Nothing is owed after an answer; a class that is safe to repeat is refused, not failed.
    assert chain.client_requests[0].status == (200 if served else 503)
    assert chain.client_requests[0].finished_at_ms == after_ms
    assert all(front.open_requests == 0 for front in chain.fronts)


def test_a_call_that_may_have_run_and_must_not_twice_fails() -> None:
    chain = Chain(chain_settings(2, idempotency=Idempotency.NOT_IDEMPOTENT), 1)
    chain.set_behaviour(2, 2, Behaviour.FAILS)
    chain.send_request(0)
    play(chain)
    assert chain.client_requests[0].status == 502
    assert chain.statistics.attempts_by_phase[0] == [1, 1]


def test_a_server_fails_if_its_call_fails(monkeypatch: pytest.MonkeyPatch) -> None:
    """Whatever its own balancer says of the call, which here is harmless to repeat."""
    recorded = RecordedEvents(monkeypatch)
    chain = Chain(chain_settings(2, max_attempts=1), 1)
    chain.set_behaviour(2, 2, Behaviour.REJECTS)
    chain.send_request(0)
    play(chain)
    assert [e.outcome for _, e in recorded.by(1, AttemptFinished)] == [Outcome.REJECTED]
    assert [e.outcome for _, e in recorded.by(0, AttemptFinished)] == [Outcome.ERROR]


def test_each_tier_gets_the_time_that_remains(monkeypatch: pytest.MonkeyPatch) -> None:
    recorded = RecordedEvents(monkeypatch)
    chain = Chain(chain_settings(4), 1)
    chain.send_request(0)
    play(chain)
    arrived = [[e.remaining_ms for _, e in recorded.by(tier, RequestReceived)] for tier in range(4)]
    # Each balancer keeps 10 ms for its answer; each server has worked 1 ms before it calls.
    assert arrived == [[2990.0], [2979.0], [2968.0], [2957.0]]
    assert chain.client_requests[0].status == 200
    assert chain.client_requests[0].finished_at_ms == 4 * (2 * HOP + SERVICE)
    assert chain.client_requests[0].deadline_fraction == pytest.approx(2957 / 3000)


def cancelling(at: float) -> Script:
    """A front that sends a call at once and calls it off at a moment."""

    def act(event: Event, now: float) -> list[Action]:
        if isinstance(event, RequestReceived):
            return [StartAttempt(event.request_id, "t1-0", event.remaining_ms), SetTimer(at, HedgeTimer(1))]
        return [CancelAttempt(1, 0)] if isinstance(event, TimerFired) else []

    return act


def test_a_cancelled_call_is_called_off_tier_by_tier(monkeypatch: pytest.MonkeyPatch) -> None:
    recorded = RecordedEvents(monkeypatch, cancelling(100.0))
    chain = Chain(chain_settings(3), 1)
    chain.set_behaviour(3, 2, Behaviour.HANGS)
    chain.send_request(0)
    play(chain)
    # The connection's end travels one hop to each server, whose balancer then calls off its own call.
    assert [(now, e.outcome) for now, e in recorded.by(0, AttemptFinished)] == [(100.0, Outcome.CANCELLED)]
    for tier, left in ((1, 100.0 + HOP), (2, 100.0 + 2 * HOP)):
        assert [now for now, _ in recorded.by(tier, ClientDisconnected)] == [left]
        ended = [(now, e.outcome, e.is_request_complete) for now, e in recorded.by(tier, AttemptFinished)]
        assert ended == [(left, Outcome.CANCELLED, True)]
    assert [server.in_service for tier in chain.tiers for server in tier] == [0] * 6


def test_what_must_not_be_cancelled_goes_on_below(monkeypatch: pytest.MonkeyPatch) -> None:
    recorded = RecordedEvents(monkeypatch, cancelling(100.0))
    chain = Chain(chain_settings(3, may_cancel=False), 1)
    chain.set_behaviour(3, 2, Behaviour.HANGS)
    chain.send_request(0)
    play(chain)
    assert [now for now, _ in recorded.by(1, ClientDisconnected)] == [100.0 + HOP]
    assert recorded.by(2, ClientDisconnected) == []
    # The tier behind gave up by its own time, 500 came up, and nobody owed an answer any more.
    [(_, ended)] = recorded.by(1, AttemptFinished)
    assert ended.outcome is Outcome.ERROR
    assert ended.is_request_complete


def test_a_call_out_of_time_leaves_the_queue(monkeypatch: pytest.MonkeyPatch) -> None:
    def act(event: Event, now: float) -> list[Action]:
        if isinstance(event, RequestReceived):
            return [StartAttempt(event.request_id, "t1-0", 0.75 if event.request_id < 3 else 0.0)]
        return []

    recorded = RecordedEvents(monkeypatch, act)
    chain = Chain(chain_settings(1, workers=1), 1)
    for _ in range(3):
        chain.send_request(0)
    play(chain)
    # The first is worked on to its end though nobody waits; the second is not; then comes the third.
    assert [(e.request_id, now, e.outcome) for now, e in recorded.by(0, AttemptFinished)] == [
        (1, 0.75, Outcome.TIMED_OUT),
        (2, 0.75, Outcome.TIMED_OUT),
        (3, 2 * HOP + 2 * SERVICE, Outcome.SUCCEEDED),
    ]


def test_a_closed_request_takes_nothing_further(monkeypatch: pytest.MonkeyPatch) -> None:
    served = 2 * HOP + SERVICE

    def act(event: Event, now: float) -> list[Action]:
        match event:
            case RequestReceived(number):
                timers = [SetTimer(served - HOP / 2, HedgeTimer(2)), SetTimer(served + 1.0, HedgeTimer(3))]
                return [StartAttempt(number, "t1-0", 0.0), *timers]
            case TimerFired(HedgeTimer(2)):
                return [StartAttempt(1, "t1-1", 0.0), StartAttempt(1, "t1-0", 0.0)]
            case TimerFired(HedgeTimer(3)):
                return [StartAttempt(1, "t1-0", 0.0), StartAttempt(1, "t1-0", 0.0)]
            case AttemptFinished(attempt_index=3):
                return [CancelAttempt(1, 4)]  # told only once both of them were carried out
        return []

    recorded = RecordedEvents(monkeypatch, act)
    chain = Chain(chain_settings(1), 1)
    chain.set_behaviour(1, 2, Behaviour.REFUSES)
    chain.set_behaviour(1, 1, Behaviour.SERVES)
    chain.send_request(0)
    play(chain)
    ended = [(now, e.attempt_index, e.outcome) for now, e in recorded.by(0, AttemptFinished)]
    assert ended == [
        (served, 0, Outcome.SUCCEEDED),
        (served, 1, Outcome.NOT_SENT),  # its connection had not come up
        (served + 1.0, 3, Outcome.NOT_SENT),  # decided too late
        (served + 1.0, 4, Outcome.NOT_SENT),
        (2 * served - HOP / 2, 2, Outcome.SUCCEEDED),
    ]
    assert chain.client_requests[0].status == 200
    assert chain.statistics.attempts_by_phase[0] == [3]


@pytest.mark.parametrize(("sends", "status"), [(False, 503), (True, 502)])
def test_the_host_responds_before_the_deadline(
    monkeypatch: pytest.MonkeyPatch, sends: bool, status: int
) -> None:
    def lazy(event: Event, now: float) -> list[Action]:
        if sends and isinstance(event, RequestReceived):
            return [SetTimer(now, HedgeTimer(1))]
        return [StartAttempt(1, "t1-0", 0.0)] if isinstance(event, TimerFired) else []

    recorded = RecordedEvents(monkeypatch, lazy)
    chain = Chain(chain_settings(1), 1)
    chain.set_behaviour(1, 2, Behaviour.HANGS)
    chain.send_request(0)
    play(chain)
    assert (chain.client_requests[0].status, chain.client_requests[0].finished_at_ms) == (status, 2995.0)
    assert [now for now, _ in recorded.by(0, ClientDisconnected)] == [2995.0]


def test_a_full_server_rejects() -> None:
    chain = Chain(chain_settings(1, servers_per_tier=1, workers=1, queue=2, max_attempts=1), 1)
    for _ in range(4):
        chain.send_request(0)
    play(chain)
    # One at work, two waiting for their turn, the fourth turned away at once.
    assert [call.status for call in chain.client_requests] == [200, 200, 200, 503]
    assert [call.finished_at_ms for call in chain.client_requests] == [
        *(2 * HOP + n * SERVICE for n in (1, 2, 3)),
        2 * HOP,
    ]
    assert chain.tiers[0][0].rejected == 1
    wide = Chain(chain_settings(1, servers_per_tier=1, workers=0, queue=0, max_attempts=1), 1)
    for _ in range(4):
        wide.send_request(0)
    play(wide)
    assert {call.finished_at_ms for call in wide.client_requests} == {2 * HOP + SERVICE}


@pytest.mark.parametrize("behaviour", [Behaviour.REFUSES, Behaviour.REJECTS])
def test_calls_that_never_ran_take_all_attempts_that_the_cap_allows(behaviour: Behaviour) -> None:
    for cap in (1, 3, 4):
        chain = Chain(chain_settings(1, servers_per_tier=6, max_attempts=cap), 1)
        chain.set_behaviour(1, 6, behaviour)
        for _ in range(5):
            chain.send_request(0)
            play(chain)
        assert chain.statistics.attempts_by_phase[0] == [5 * cap]
        assert {call.last_tier_attempts for call in chain.client_requests} == {cap}
