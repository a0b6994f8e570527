"""Retries cost tokens that only responses add, so over a chain of tiers they add up but don't multiply."""

from __future__ import annotations

from itertools import cycle, repeat
from typing import TYPE_CHECKING

import pytest

from loadbalancer.actions import SetTimer
from loadbalancer.events import AttemptFinished, ClientDisconnected, Outcome, TimerFired
from loadbalancer.policy import retry as retry_policy
from loadbalancer.policy.overload import OverloadDetector
from loadbalancer.settings import Idempotency, RequestClass
from tests.policy.helpers import (
    GLOBAL_ORDER,
    PAY,
    READ,
    PolicyHarness,
    actions_of_type,
    first_endpoint,
    started_attempts,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

UNPROCESSED_OUTCOMES = [Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT]
MAY_HAVE_RUN_OUTCOMES = [Outcome.ERROR, Outcome.RESET, Outcome.TIMED_OUT]


def inner_tier_harness(seed: int = 1, *, may_hedge: bool = False) -> PolicyHarness:
    """Return a balancer of the second tier, which sheds no load, with eight warm endpoints."""
    return PolicyHarness(8, seed, slow_start_ms=0, tier=1, may_hedge=may_hedge)


def send_requests(
    harness: PolicyHarness,
    requests: int,
    outcomes: Iterator[Outcome],
    request_class: RequestClass = READ,
    interval_ms: float = 0.0,
) -> tuple[int, int]:
    """Send requests whose attempts end with the given outcomes in turn; return the retries and responses."""
    retries = responses = 0
    for _ in range(requests):
        harness.now += interval_ms
        request, actions = harness.request(request_class)
        attempt_count = 0
        while started := started_attempts(actions):
            harness.now += 5
            outcome = next(outcomes)
            actions = harness.finish(request, attempt_count, started[0].endpoint, outcome)
            responses += outcome is Outcome.SUCCEEDED
            attempt_count += 1
        retries += max(attempt_count - 1, 0)
    return retries, responses


def harness_with_full_buckets(*, may_hedge: bool = False) -> PolicyHarness:
    """Return a balancer whose token buckets are both full."""
    harness = inner_tier_harness(may_hedge=may_hedge)
    send_requests(harness, 100, repeat(Outcome.SUCCEEDED))
    return harness


@pytest.mark.parametrize("outcome", MAY_HAVE_RUN_OUTCOMES)
def test_retries_stop_when_tokens_run_out(outcome: Outcome) -> None:
    """If requests added tokens, each tier would continue to send a fifth more attempts than it receives."""
    assert send_requests(harness_with_full_buckets(), 300, repeat(outcome)) == (
        retry_policy.RETRY_MAX_TOKENS,
        0,
    )


@pytest.mark.parametrize("outcome", UNPROCESSED_OUTCOMES)
def test_transparent_retries_stop_when_tokens_run_out(
    outcome: Outcome,
) -> None:
    """Without a budget, each request would be retried up to its maximum number of attempts."""
    assert send_requests(harness_with_full_buckets(), 300, repeat(outcome)) == (
        retry_policy.TRANSPARENT_RETRY_MAX_TOKENS,
        0,
    )


@pytest.mark.parametrize("outcome", UNPROCESSED_OUTCOMES[:2])
def test_budget_covers_two_transparent_retries_per_request(outcome: Outcome) -> None:
    """If requests refilled the budget, it would run out too early if half of the connections were refused."""
    harness = inner_tier_harness()
    assert send_requests(harness, 300, cycle((outcome, outcome, Outcome.SUCCEEDED))) == (600, 300)


def test_budget_covers_one_failure_in_ten_attempts() -> None:
    harness = inner_tier_harness()
    assert send_requests(harness, 900, cycle([Outcome.SUCCEEDED] * 9 + [Outcome.ERROR])) == (99, 900)


def test_retries_are_limited_to_fifth_of_responses() -> None:
    """If nine of ten attempts fail, one request in about ten gets a response, which adds 0.2 tokens."""
    harness = inner_tier_harness()
    retries, responses = send_requests(harness, 2_000, cycle([Outcome.ERROR] * 9 + [Outcome.SUCCEEDED]))
    assert responses > 200
    tokens = retry_policy.RETRY_INITIAL_TOKENS + responses * retry_policy.RETRY_TOKENS_PER_RESPONSE
    assert tokens - 1 <= retries <= tokens


def test_time_adds_no_tokens() -> None:
    harness = harness_with_full_buckets()
    assert send_requests(harness, 60, repeat(Outcome.ERROR), interval_ms=10_000.0) == (
        retry_policy.RETRY_MAX_TOKENS,
        0,
    )


@pytest.mark.parametrize(
    ("outcome", "limit"),
    [
        (Outcome.ERROR, retry_policy.RETRY_INITIAL_TOKENS),
        (Outcome.CONNECT_FAILED, retry_policy.TRANSPARENT_RETRY_INITIAL_TOKENS),
    ],
)
def test_new_balancer_has_only_initial_tokens(outcome: Outcome, limit: float) -> None:
    """If buckets began full, thirty balancers restarting in an outage would add many retries to the load."""
    assert retry_policy.RETRY_INITIAL_TOKENS < retry_policy.RETRY_MAX_TOKENS / 2
    assert (
        sum(send_requests(inner_tier_harness(seed=seed), 50, repeat(outcome))[0] for seed in range(30))
        == 30 * limit
    )


def test_responses_refill_bucket_after_outage() -> None:
    harness = harness_with_full_buckets()
    send_requests(harness, 100, repeat(Outcome.ERROR))
    assert send_requests(harness, 4, repeat(Outcome.SUCCEEDED)) == (0, 4)
    assert send_requests(harness, 1, iter([Outcome.ERROR])) == (0, 0)
    assert send_requests(harness, 1, repeat(Outcome.SUCCEEDED)) == (0, 1)
    assert send_requests(harness, 1, iter([Outcome.ERROR, Outcome.SUCCEEDED])) == (1, 1)
    send_requests(harness, 50, repeat(Outcome.SUCCEEDED))
    assert send_requests(harness, 100, repeat(Outcome.ERROR)) == (retry_policy.RETRY_MAX_TOKENS, 0)


@pytest.mark.parametrize("request_class", [READ, GLOBAL_ORDER], ids=lambda c: c.name)
def test_idempotent_class_spends_retry_tokens(request_class: RequestClass) -> None:
    assert send_requests(harness_with_full_buckets(), 100, repeat(Outcome.ERROR), request_class) == (
        retry_policy.RETRY_MAX_TOKENS,
        0,
    )
    assert send_requests(harness_with_full_buckets(), 100, repeat(Outcome.REJECTED), request_class) == (
        retry_policy.TRANSPARENT_RETRY_MAX_TOKENS,
        0,
    )


def test_non_idempotent_class_spends_no_retry_tokens() -> None:
    assert PAY.idempotency is Idempotency.NOT_IDEMPOTENT
    harness = harness_with_full_buckets()
    assert send_requests(harness, 100, repeat(Outcome.ERROR), PAY) == (0, 0)
    assert send_requests(harness, 100, repeat(Outcome.REJECTED), PAY) == (
        retry_policy.TRANSPARENT_RETRY_MAX_TOKENS,
        0,
    )
    assert send_requests(harness, 100, repeat(Outcome.ERROR), READ) == (retry_policy.RETRY_MAX_TOKENS, 0), (
        "no retry tokens have been spent"
    )


def count_hedged_attempts(harness: PolicyHarness, requests: int) -> int:
    """Count the hedged attempts for requests whose first attempt gets no response."""
    count = 0
    for _ in range(requests):
        request, actions = harness.request()
        first = first_endpoint(actions)
        (timer,) = actions_of_type(actions, SetTimer)
        assert isinstance(timer, SetTimer)
        harness.now = timer.at_ms
        hedged = started_attempts(harness.handle(TimerFired(timer.timer)))
        count += len(hedged)
        harness.handle(ClientDisconnected(request))  # no third attempt follows after a disconnect
        for index, endpoint in enumerate([first, *(attempt.endpoint for attempt in hedged)]):
            harness.finish(request, index, endpoint, Outcome.CANCELLED)
    return count


def test_hedged_attempts_spend_retry_tokens(monkeypatch: pytest.MonkeyPatch) -> None:
    harness = harness_with_full_buckets(may_hedge=True)
    # An overload would also suspend hedging.
    monkeypatch.setattr(OverloadDetector, "is_overloaded", lambda _, importance, now: False)
    assert count_hedged_attempts(harness, 40) == retry_policy.RETRY_MAX_TOKENS


def test_response_after_disconnect_adds_no_token() -> None:
    harness = inner_tier_harness(may_hedge=True)
    send_requests(harness, 100, repeat(Outcome.ERROR))
    for _ in range(4):
        send_requests(harness, 1, repeat(Outcome.SUCCEEDED))
    request, actions = harness.request()
    first = first_endpoint(actions)
    harness.handle(ClientDisconnected(request))  # a response after a disconnect is not final
    harness.handle(AttemptFinished(request, 0, first, Outcome.SUCCEEDED, is_request_complete=True))
    assert send_requests(harness, 1, iter([Outcome.ERROR])) == (0, 0), (
        "four responses add less than one token"
    )


def test_request_fails_immediately_without_tokens() -> None:
    harness = harness_with_full_buckets()
    send_requests(harness, 100, repeat(Outcome.ERROR))
    request, actions = harness.request()
    assert len(harness.finish(request, 0, first_endpoint(actions), Outcome.ERROR)) == 1
