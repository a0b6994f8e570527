"""Simulated chains: the events that the host passes to the policy, and how the host performs actions."""

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

# Binary fractions, so that floating-point sums are exact.
HOP_MS, SERVICE_MS = 0.25, 1.0
ScriptedPolicy = Callable[[Event, float], list[Action]]


def chain_settings(
    depth: int,
    latency_objective_ms: float = 3_000.0,
    idempotency: Idempotency = Idempotency.SAFE,
    **overrides: Any,
) -> ChainSettings:
    defaults: dict[str, Any] = {
        "servers_per_tier": 2,
        "front_balancer_count": 1,
        "hop_ms": HOP_MS,
        "service_ms": SERVICE_MS,
        "constant_service_time": True,
    }
    request_class = RequestClass("call", latency_objective_ms, 3_000.0, idempotency)
    return ChainSettings(depth, request_class, **(defaults | overrides))


class RecordedEvents:
    """Records the events of all balancers by tier; the front balancer can have a scripted policy."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, front_policy: ScriptedPolicy | None = None) -> None:
        self.events: list[tuple[int, float, Event]] = []
        recorded = self

        class RecordingBalancer(LoadBalancer):
            def __init__(self, settings: Settings, seed: int) -> None:
                super().__init__(settings, seed)
                self.tier = settings.tier

            def handle(self, event: Event, now: float) -> list[Action]:
                recorded.events.append((self.tier, now, event))
                return (
                    front_policy(event, now)
                    if front_policy and self.tier == 0
                    else super().handle(event, now)
                )

        monkeypatch.setattr("testbed.chain.host.LoadBalancer", RecordingBalancer)

    def events_of(self, tier: int, *event_types: type) -> list[tuple[float, Any]]:
        return [
            (now, event)
            for event_tier, now, event in self.events
            if event_tier == tier and isinstance(event, event_types)
        ]


def run_to_end(chain: Chain, max_events: int = 100_000) -> None:
    assert chain.clock.run(max_events)


@pytest.mark.parametrize(
    ("behaviour", "outcome", "duration_ms"),
    [
        (Behaviour.SERVES, Outcome.SUCCEEDED, 2 * HOP_MS + SERVICE_MS),
        (Behaviour.FAILS, Outcome.ERROR, 2 * HOP_MS + SERVICE_MS),
        (Behaviour.REFUSES_CONNECTIONS, Outcome.CONNECT_FAILED, HOP_MS),
        (Behaviour.REJECTS, Outcome.REJECTED, 2 * HOP_MS),
        (Behaviour.HANGS, Outcome.TIMED_OUT, 500.0),
    ],
)
def test_outcome_and_duration_by_behaviour(
    monkeypatch: pytest.MonkeyPatch, behaviour: Behaviour, outcome: Outcome, duration_ms: float
) -> None:
    recorded = RecordedEvents(monkeypatch)
    chain = Chain(chain_settings(1, latency_objective_ms=500.0, max_attempts=1), 1)
    assert [e.kind for _, e in recorded.events_of(0, EndpointListUpdate)] == [
        EndpointListKind.CACHED,
        EndpointListKind.SNAPSHOT,
    ]
    chain.set_behaviour(1, 2, behaviour)
    chain.send_request(0)
    run_to_end(chain)
    [(finished_at, finished)] = recorded.events_of(0, AttemptFinished)
    served = outcome is Outcome.SUCCEEDED
    assert (finished.outcome, finished_at, finished.is_request_complete) == (outcome, duration_ms, served)
    # A failed request that is safe to retry has the status 503, not 502.
    assert chain.client_requests[0].status == (200 if served else 503)
    assert chain.client_requests[0].finished_at_ms == duration_ms
    assert all(front.open_requests == 0 for front in chain.front_balancers)


def test_non_idempotent_request_that_may_have_run_fails() -> None:
    chain = Chain(chain_settings(2, idempotency=Idempotency.NOT_IDEMPOTENT), 1)
    chain.set_behaviour(2, 2, Behaviour.FAILS)
    chain.send_request(0)
    run_to_end(chain)
    assert chain.client_requests[0].status == 502
    assert chain.recorder.attempts_by_phase[0] == [1, 1]


def test_next_tier_failure_fails_server(monkeypatch: pytest.MonkeyPatch) -> None:
    """A server responds 500 even if the response of its own balancer says that a retry is safe."""
    recorded = RecordedEvents(monkeypatch)
    chain = Chain(chain_settings(2, max_attempts=1), 1)
    chain.set_behaviour(2, 2, Behaviour.REJECTS)
    chain.send_request(0)
    run_to_end(chain)
    assert [e.outcome for _, e in recorded.events_of(1, AttemptFinished)] == [Outcome.REJECTED]
    assert [e.outcome for _, e in recorded.events_of(0, AttemptFinished)] == [Outcome.ERROR]


def test_remaining_time_decreases_by_tier(monkeypatch: pytest.MonkeyPatch) -> None:
    recorded = RecordedEvents(monkeypatch)
    chain = Chain(chain_settings(4), 1)
    chain.send_request(0)
    run_to_end(chain)
    remaining_ms_by_tier = [
        [e.remaining_ms for _, e in recorded.events_of(tier, RequestReceived)] for tier in range(4)
    ]
    # Each balancer reserves 10 ms for its response; each server works for 1 ms before it calls the next tier.
    assert remaining_ms_by_tier == [[2990.0], [2979.0], [2968.0], [2957.0]]
    assert chain.client_requests[0].status == 200
    assert chain.client_requests[0].finished_at_ms == 4 * (2 * HOP_MS + SERVICE_MS)
    assert chain.client_requests[0].deadline_fraction == pytest.approx(2957 / 3000)


def cancel_at(time_ms: float) -> ScriptedPolicy:
    """Return a policy that starts an attempt immediately and cancels it at a given time."""

    def scripted_policy(event: Event, now: float) -> list[Action]:
        if isinstance(event, RequestReceived):
            return [
                StartAttempt(event.request_id, "t1-0", event.remaining_ms),
                SetTimer(time_ms, HedgeTimer(1)),
            ]
        return [CancelAttempt(1, 0)] if isinstance(event, TimerFired) else []

    return scripted_policy


def test_cancellation_reaches_every_tier(monkeypatch: pytest.MonkeyPatch) -> None:
    recorded = RecordedEvents(monkeypatch, cancel_at(100.0))
    chain = Chain(chain_settings(3), 1)
    chain.set_behaviour(3, 2, Behaviour.HANGS)
    chain.send_request(0)
    run_to_end(chain)
    # Each server notices the closed connection one hop later; its balancer then cancels the attempt at the
    # next tier.
    assert [(now, e.outcome) for now, e in recorded.events_of(0, AttemptFinished)] == [
        (100.0, Outcome.CANCELLED)
    ]
    for tier, disconnected_at in ((1, 100.0 + HOP_MS), (2, 100.0 + 2 * HOP_MS)):
        assert [now for now, _ in recorded.events_of(tier, ClientDisconnected)] == [disconnected_at]
        finished = [
            (now, e.outcome, e.is_request_complete) for now, e in recorded.events_of(tier, AttemptFinished)
        ]
        assert finished == [(disconnected_at, Outcome.CANCELLED, True)]
    assert [server.in_service for tier in chain.tiers for server in tier] == [0] * 6


def test_attempts_continue_if_cancellation_is_disabled(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    recorded = RecordedEvents(monkeypatch, cancel_at(100.0))
    chain = Chain(chain_settings(3, may_cancel=False), 1)
    chain.set_behaviour(3, 2, Behaviour.HANGS)
    chain.send_request(0)
    run_to_end(chain)
    assert [now for now, _ in recorded.events_of(1, ClientDisconnected)] == [100.0 + HOP_MS]
    assert recorded.events_of(2, ClientDisconnected) == []
    # The next tier timed out and responded 500 after the request of this tier had ended.
    [(_, finished)] = recorded.events_of(1, AttemptFinished)
    assert finished.outcome is Outcome.ERROR
    assert finished.is_request_complete


def test_timed_out_attempt_leaves_queue(monkeypatch: pytest.MonkeyPatch) -> None:
    def scripted_policy(event: Event, now: float) -> list[Action]:
        if isinstance(event, RequestReceived):
            return [StartAttempt(event.request_id, "t1-0", 0.75 if event.request_id < 3 else 0.0)]
        return []

    recorded = RecordedEvents(monkeypatch, scripted_policy)
    chain = Chain(chain_settings(1, workers=1), 1)
    for _ in range(3):
        chain.send_request(0)
    run_to_end(chain)
    # The first request is in service when it times out, and keeps its slot until the work is done. The second
    # one is queued when it times out, and leaves the queue. The third one is served after the first.
    assert [(e.request_id, now, e.outcome) for now, e in recorded.events_of(0, AttemptFinished)] == [
        (1, 0.75, Outcome.TIMED_OUT),
        (2, 0.75, Outcome.TIMED_OUT),
        (3, 2 * HOP_MS + 2 * SERVICE_MS, Outcome.SUCCEEDED),
    ]


def test_no_attempt_is_sent_after_response(monkeypatch: pytest.MonkeyPatch) -> None:
    served_at_ms = 2 * HOP_MS + SERVICE_MS

    def scripted_policy(event: Event, now: float) -> list[Action]:
        match event:
            case RequestReceived(number):
                timers = [
                    SetTimer(served_at_ms - HOP_MS / 2, HedgeTimer(2)),
                    SetTimer(served_at_ms + 1.0, HedgeTimer(3)),
                ]
                return [StartAttempt(number, "t1-0", 0.0), *timers]
            case TimerFired(HedgeTimer(2)):
                return [StartAttempt(1, "t1-1", 0.0), StartAttempt(1, "t1-0", 0.0)]
            case TimerFired(HedgeTimer(3)):
                return [StartAttempt(1, "t1-0", 0.0), StartAttempt(1, "t1-0", 0.0)]
            case AttemptFinished(attempt_index=3):
                return [CancelAttempt(1, 4)]  # performed after both attempts have been started
        return []

    recorded = RecordedEvents(monkeypatch, scripted_policy)
    chain = Chain(chain_settings(1), 1)
    chain.set_behaviour(1, 2, Behaviour.REFUSES_CONNECTIONS)
    chain.set_behaviour(1, 1, Behaviour.SERVES)
    chain.send_request(0)
    run_to_end(chain)
    finished = [(now, e.attempt_index, e.outcome) for now, e in recorded.events_of(0, AttemptFinished)]
    assert finished == [
        (served_at_ms, 0, Outcome.SUCCEEDED),
        (served_at_ms, 1, Outcome.NOT_SENT),  # not connected yet
        (served_at_ms + 1.0, 3, Outcome.NOT_SENT),  # started after the response
        (served_at_ms + 1.0, 4, Outcome.NOT_SENT),
        (2 * served_at_ms - HOP_MS / 2, 2, Outcome.SUCCEEDED),
    ]
    assert chain.client_requests[0].status == 200
    assert chain.recorder.attempts_by_phase[0] == [3]


@pytest.mark.parametrize(("starts_attempt", "status"), [(False, 503), (True, 502)])
def test_host_responds_before_deadline(
    monkeypatch: pytest.MonkeyPatch, status: int, *, starts_attempt: bool
) -> None:
    def start_on_timer(event: Event, now: float) -> list[Action]:
        if starts_attempt and isinstance(event, RequestReceived):
            return [SetTimer(now, HedgeTimer(1))]
        return [StartAttempt(1, "t1-0", 0.0)] if isinstance(event, TimerFired) else []

    recorded = RecordedEvents(monkeypatch, start_on_timer)
    chain = Chain(chain_settings(1), 1)
    chain.set_behaviour(1, 2, Behaviour.HANGS)
    chain.send_request(0)
    run_to_end(chain)
    assert (chain.client_requests[0].status, chain.client_requests[0].finished_at_ms) == (status, 2995.0)
    assert [now for now, _ in recorded.events_of(0, ClientDisconnected)] == [2995.0]


def test_full_server_rejects_requests() -> None:
    chain = Chain(chain_settings(1, servers_per_tier=1, workers=1, max_queued=2, max_attempts=1), 1)
    for _ in range(4):
        chain.send_request(0)
    run_to_end(chain)
    # One in service, two queued, the fourth rejected immediately.
    assert [request.status for request in chain.client_requests] == [200, 200, 200, 503]
    assert [request.finished_at_ms for request in chain.client_requests] == [
        *(2 * HOP_MS + n * SERVICE_MS for n in (1, 2, 3)),
        2 * HOP_MS,
    ]
    assert chain.tiers[0][0].rejected == 1
    unlimited = Chain(chain_settings(1, servers_per_tier=1, workers=0, max_queued=0, max_attempts=1), 1)
    for _ in range(4):
        unlimited.send_request(0)
    run_to_end(unlimited)
    assert {request.finished_at_ms for request in unlimited.client_requests} == {2 * HOP_MS + SERVICE_MS}


@pytest.mark.parametrize("behaviour", [Behaviour.REFUSES_CONNECTIONS, Behaviour.REJECTS])
def test_unprocessed_attempts_are_retried_up_to_limit(behaviour: Behaviour) -> None:
    for max_attempts in (1, 3, 4):
        chain = Chain(chain_settings(1, servers_per_tier=6, max_attempts=max_attempts), 1)
        chain.set_behaviour(1, 6, behaviour)
        for _ in range(5):
            chain.send_request(0)
            run_to_end(chain)
        assert chain.recorder.attempts_by_phase[0] == [5 * max_attempts]
        assert {request.last_tier_attempts for request in chain.client_requests} == {max_attempts}
