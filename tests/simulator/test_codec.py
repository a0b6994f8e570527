"""The lines of the simulator's wire."""

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
from loadbalancer.simulator.codec import write_action
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
def test_an_action_is_written_as_one_line(action: Action, line: str) -> None:
    assert write_action("4", action) == line
