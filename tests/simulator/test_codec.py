"""Parsing and formatting of the lines of the simulator's line protocol."""

from __future__ import annotations

import pytest

from loadbalancer.actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    LogMessage,
    RejectRequest,
    SetTimer,
    StartAttempt,
    StartHealthCheck,
    WatchEndpoints,
)
from loadbalancer.events import (
    AttemptFinished,
    ClientDisconnected,
    Event,
    HealthCheckFinished,
    Outcome,
    RequestReceived,
    ResponseStarted,
    TimerFired,
)
from loadbalancer.simulator.codec import format_action, parse_event, parse_fields
from loadbalancer.simulator.errors import MalformedPartError
from loadbalancer.timers import EndpointListTimer, HedgeTimer


@pytest.mark.parametrize(
    ("action", "line"),
    [
        (StartAttempt(7, "u1", 80), "send who=4 corr=7 upstream=u1 timeout=80.000"),
        (SetTimer(12.5, HedgeTimer(7)), "remind who=4 moment=12.500 ctx=hedge:7"),
        (SetTimer(13.5, EndpointListTimer()), "remind who=4 moment=13.500 ctx=list"),
        (RejectRequest(7, 250), "reject who=4 corr=7 stayAway=250.000"),
        (FailRequest(7), "abort who=4 corr=7"),
        (CancelAttempt(7, 1), "cancel who=4 corr=7 shot=1"),
        (StartHealthCheck("u1"), "sound_out who=4 upstream=u1"),
        (WatchEndpoints(), "follow who=4 enable=1"),
        (CloseIdleConnections("u1"), "close_idle who=4 upstream=u1"),
        (LogMessage("two\nlines"), "say_log who=4 bodyText=two lines"),
    ],
)
def test_action_is_formatted_as_one_line(action: Action, line: str) -> None:
    assert format_action("4", action) == line


@pytest.mark.parametrize(
    ("line", "event"),
    [
        ("knock corr=7 grade=read remaining=900.5", RequestReceived(7, "read", 900.5)),
        (
            "knock corr=7 grade=read remaining=900 customer=a repeat=1 weightHint=12.5",
            RequestReceived(7, "read", 900.0, "a", is_client_retry=True, cost_hint_ms=12.5),
        ),
        (
            "verdict corr=7 shot=1 upstream=u1 verdict=1 complete=1",
            AttemptFinished(7, 1, "u1", Outcome.SUCCEEDED, is_request_complete=True),
        ),
        (
            "verdict corr=7 shot=0 upstream=u1 verdict=7 complete=0 gauge=1.5,2",
            AttemptFinished(7, 0, "u1", Outcome.NOT_SENT, is_request_complete=False, load_report=(1.5, 2.0)),
        ),
        ("reminder ctx=hedge:7", TimerFired(HedgeTimer(7))),
        ("reminder ctx=list", TimerFired(EndpointListTimer())),
        ("client_gone corr=7", ClientDisconnected(7)),
        ("established corr=7 shot=1", ResponseStarted(7, 1)),
        (
            "check_result upstream=u1 verdict=4 gauge=0.5",
            HealthCheckFinished("u1", Outcome.CONNECT_FAILED, (0.5,)),
        ),
        ("note_from text=hello", None),
    ],
)
def test_line_is_parsed_as_event(line: str, event: Event | None) -> None:
    warnings: list[str] = []
    kind, *parts = line.split(" ")
    assert parse_event(kind, parse_fields(parts), warnings.append) == event
    assert warnings == []


@pytest.mark.parametrize("line", ["reminder ctx=other", "reminder ctx=hedge:x", "frobnicate corr=7"])
def test_unknown_line_is_ignored_with_warning(line: str) -> None:
    warnings: list[str] = []
    kind, *parts = line.split(" ")
    assert parse_event(kind, parse_fields(parts), warnings.append) is None
    assert len(warnings) == 1


def test_part_without_equals_sign_is_rejected() -> None:
    with pytest.raises(MalformedPartError, match="'remaining' is not name=value"):
        parse_fields(["corr=7", "remaining"])
