"""A request gets a final response as soon as no attempt can serve it any more."""

from __future__ import annotations

import pytest

from loadbalancer.actions import FailRequest, LogMessage, RejectRequest
from loadbalancer.errors import (
    DuplicateRequestError,
    LoadBalancerError,
    UnknownClassError,
    UnknownRequestError,
)
from loadbalancer.events import (
    AttemptFinished,
    ClientDisconnected,
    Outcome,
    RequestReceived,
    ResponseStarted,
    TimerFired,
)
from loadbalancer.timers import HedgeTimer
from tests.policy.helpers import PAY, PolicyHarness, actions_of_type, first_endpoint, started_attempts


def test_request_without_endpoints_is_rejected_immediately() -> None:
    harness = PolicyHarness(0)
    for _ in range(3):
        request, actions = harness.request()
        assert RejectRequest(request) in actions
        assert not started_attempts(actions)
    assert len([a for a in harness.actions if isinstance(a, LogMessage)]) == 1, "only one log line"


def test_request_without_remaining_time_is_rejected_immediately() -> None:
    harness = PolicyHarness(2)
    request, actions = harness.request(remaining_ms=0.0)
    assert RejectRequest(request) in actions
    assert not started_attempts(actions)


def test_timeout_at_deadline_fails_request() -> None:
    harness = PolicyHarness(2)
    request, actions = harness.request(PAY, remaining_ms=300)
    harness.now += 300
    assert actions_of_type(
        harness.finish(request, 0, first_endpoint(actions), Outcome.TIMED_OUT), FailRequest
    ) == [FailRequest(request)]


def test_late_events_are_ignored_and_invalid_events_raise() -> None:
    harness = PolicyHarness(2)
    assert harness.handle(ClientDisconnected(99)) == []
    assert harness.handle(TimerFired(HedgeTimer(99))) == []
    with pytest.raises(UnknownRequestError, match="never made"):
        harness.handle(AttemptFinished(99, 0, "s0", Outcome.SUCCEEDED))
    with pytest.raises(UnknownRequestError, match="never made") as unknown_request:
        harness.handle(ResponseStarted(99, 0))
    assert (unknown_request.value.request_id, unknown_request.value.attempt_index) == (99, 0)
    request, _ = harness.request()
    for attempt in (-1, 1):
        with pytest.raises(UnknownRequestError, match="never made") as unknown_attempt:
            harness.handle(AttemptFinished(request, attempt, "s0", Outcome.SUCCEEDED))
        assert unknown_attempt.value.request_id == request
        assert unknown_attempt.value.attempt_index == attempt
    with pytest.raises(DuplicateRequestError, match="arrived before") as duplicate:
        harness.handle(RequestReceived(request, "read", 10))
    assert duplicate.value.request_id == request
    with pytest.raises(UnknownClassError, match="unknown class") as unknown_class:
        harness.handle(RequestReceived(12345, "nosuch", 10))
    assert (unknown_class.value.request_id, unknown_class.value.class_name) == (12345, "nosuch")


def test_policy_errors_have_common_base_classes() -> None:
    for error in (DuplicateRequestError, UnknownClassError, UnknownRequestError):
        assert issubclass(error, LoadBalancerError)
        assert issubclass(error, ValueError)
