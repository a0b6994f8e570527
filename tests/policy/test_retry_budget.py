"""Further attempts are paid by answers: they add up over a path and do not multiply."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import cycle, repeat

import pytest

from loadbalancer.actions import SetTimer
from loadbalancer.events import AttemptFinished, ClientDisconnected, Outcome, TimerFired
from loadbalancer.policy import retry as policy
from loadbalancer.policy.overload import OverloadDetector
from loadbalancer.settings import Idempotency, RequestClass
from tests.policy.helpers import ANYWHERE, PAY, READ, Desk, of_kind, sent

NEVER_RAN = [Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT]
MAY_HAVE_RUN = [Outcome.ERROR, Outcome.RESET, Outcome.TIMED_OUT]


def inner(seed: int = 1, may_hedge: bool = False) -> Desk:
    """A balancer behind the first tier, where nothing is shed, with eight warm servers."""
    return Desk(8, seed, slow_start_ms=0, tier=1, may_hedge=may_hedge)


def play(
    desk: Desk, requests: int, outcomes: Iterator[Outcome], cls: RequestClass = READ, pause_ms: float = 0.0
) -> tuple[int, int]:
    """Requests in turn, their attempts ending by the outcomes in turn: further attempts, and answers."""
    further = answers = 0
    for _ in range(requests):
        desk.now += pause_ms
        request, actions = desk.ask(cls)
        attempt = 0
        while sends := sent(actions):
            desk.now += 5
            outcome = next(outcomes)
            actions = desk.end(request, attempt, sends[0].endpoint, outcome)
            answers += outcome is Outcome.SUCCEEDED
            attempt += 1
        further += max(attempt - 1, 0)
    return further, answers


def filled(may_hedge: bool = False) -> Desk:
    """A balancer with both buckets full."""
    desk = inner(may_hedge=may_hedge)
    play(desk, 100, repeat(Outcome.SUCCEEDED))
    return desk


@pytest.mark.parametrize("outcome", MAY_HAVE_RUN)
def test_with_nothing_served_retries_end_with_what_was_saved_up(outcome: Outcome) -> None:
    """Earned by arrivals they went on for ever: each tier added a fifth to what the tier above had added."""
    assert play(filled(), 300, repeat(outcome)) == (policy.RETRY_MAX_TOKENS, 0)


@pytest.mark.parametrize("outcome", NEVER_RAN)
def test_with_a_whole_service_gone_resends_end_with_what_was_saved_up(outcome: Outcome) -> None:
    """They were free: each request made all the attempts that it may."""
    assert play(filled(), 300, repeat(outcome)) == (policy.RESEND_MAX_TOKENS, 0)


@pytest.mark.parametrize("outcome", NEVER_RAN[:2])
def test_two_of_three_servers_gone_cost_nothing(outcome: Outcome) -> None:
    """With half of all connections refused a ration by requests ran out before the try that would serve."""
    desk = inner()
    assert play(desk, 300, cycle((outcome, outcome, Outcome.SUCCEEDED))) == (600, 300)


def test_one_call_in_ten_that_fails_is_made_good() -> None:
    desk = inner()
    assert play(desk, 900, cycle([Outcome.SUCCEEDED] * 9 + [Outcome.ERROR])) == (99, 900)


def test_retries_are_a_fifth_of_the_answers_where_more_fail() -> None:
    """Nine in ten fail: one answer in ten calls or so pays for a fifth of a retry."""
    desk = inner()
    further, answers = play(desk, 2_000, cycle([Outcome.ERROR] * 9 + [Outcome.SUCCEEDED]))
    assert answers > 200
    paid = policy.RETRY_INITIAL_TOKENS + answers * policy.RETRY_TOKENS_PER_RESPONSE
    assert paid - 1 <= further <= paid


def test_with_few_calls_time_alone_earns_nothing() -> None:
    desk = filled()
    assert play(desk, 60, repeat(Outcome.ERROR), pause_ms=10_000.0) == (policy.RETRY_MAX_TOKENS, 0)


@pytest.mark.parametrize(
    ("outcome", "most"),
    [(Outcome.ERROR, policy.RETRY_INITIAL_TOKENS), (Outcome.CONNECT_FAILED, policy.RESEND_INITIAL_TOKENS)],
)
def test_a_new_balancer_brings_few_into_an_outage(outcome: Outcome, most: float) -> None:
    """Started anew while it lasts, thirty bring thirty times that little, and not a full bucket each."""
    assert policy.RETRY_INITIAL_TOKENS < policy.RETRY_MAX_TOKENS / 2
    assert sum(play(inner(seed=seed), 50, repeat(outcome))[0] for seed in range(30)) == 30 * most


def test_after_an_outage_five_answers_earn_a_retry_and_fifty_fill_the_bucket() -> None:
    desk = filled()
    play(desk, 100, repeat(Outcome.ERROR))
    assert play(desk, 4, repeat(Outcome.SUCCEEDED)) == (0, 4)
    assert play(desk, 1, iter([Outcome.ERROR])) == (0, 0)
    assert play(desk, 1, repeat(Outcome.SUCCEEDED)) == (0, 1)
    assert play(desk, 1, iter([Outcome.ERROR, Outcome.SUCCEEDED])) == (1, 1)
    play(desk, 50, repeat(Outcome.SUCCEEDED))
    assert play(desk, 100, repeat(Outcome.ERROR)) == (policy.RETRY_MAX_TOKENS, 0)


@pytest.mark.parametrize("cls", [READ, ANYWHERE], ids=lambda c: c.name)
def test_a_class_that_may_be_repeated_spends_retries(cls: RequestClass) -> None:
    assert play(filled(), 100, repeat(Outcome.ERROR), cls) == (policy.RETRY_MAX_TOKENS, 0)
    assert play(filled(), 100, repeat(Outcome.REJECTED), cls) == (policy.RESEND_MAX_TOKENS, 0)


def test_a_class_unsafe_to_repeat_spends_resends_alone() -> None:
    assert PAY.idempotency is Idempotency.NOT_IDEMPOTENT
    desk = filled()
    assert play(desk, 100, repeat(Outcome.ERROR), PAY) == (0, 0)
    assert play(desk, 100, repeat(Outcome.REJECTED), PAY) == (policy.RESEND_MAX_TOKENS, 0)
    assert play(desk, 100, repeat(Outcome.ERROR), READ) == (policy.RETRY_MAX_TOKENS, 0), (
        "these were not touched"
    )


def hedges(desk: Desk, requests: int) -> int:
    """Second copies made for requests whose first attempt says nothing."""
    copies = 0
    for _ in range(requests):
        request, actions = desk.ask()
        first = sent(actions)[0].endpoint
        (timer,) = of_kind(actions, SetTimer)
        assert isinstance(timer, SetTimer)
        desk.now = timer.at_ms
        copied = sent(desk.tell(TimerFired(timer.timer)))
        copies += len(copied)
        desk.tell(ClientDisconnected(request))  # with nobody waiting no third attempt follows
        for attempt, server in enumerate([first, *(copy.endpoint for copy in copied)]):
            desk.end(request, attempt, server, Outcome.CANCELLED)
    return copies


def test_second_copies_spend_retries_and_end_with_them(monkeypatch: pytest.MonkeyPatch) -> None:
    desk = filled(may_hedge=True)
    monkeypatch.setattr(
        OverloadDetector, "is_overloaded", lambda _, importance, now: False
    )  # it holds copies back, too
    assert hedges(desk, 40) == policy.RETRY_MAX_TOKENS


def test_an_answer_earns_once_whatever_copies_come_after_it() -> None:
    desk = inner(may_hedge=True)
    play(desk, 100, repeat(Outcome.ERROR))
    for _ in range(4):
        play(desk, 1, repeat(Outcome.SUCCEEDED))
    request, actions = desk.ask()
    first = sent(actions)[0].endpoint
    desk.tell(ClientDisconnected(request))  # nobody waits: what comes now is no answer
    desk.tell(AttemptFinished(request, 0, first, Outcome.SUCCEEDED, True))
    assert play(desk, 1, iter([Outcome.ERROR])) == (0, 0), "four answers pay for no retry"


def test_the_final_answer_comes_at_once_where_no_token_is_left() -> None:
    desk = filled()
    play(desk, 100, repeat(Outcome.ERROR))
    request, actions = desk.ask()
    assert len(desk.end(request, 0, sent(actions)[0].endpoint, Outcome.ERROR)) == 1
