"""The codec between the simulator's lines and the types of `loadbalancer.interface`; it decides nothing."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

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
from loadbalancer.endpoints import Endpoint, EndpointState
from loadbalancer.events import (
    AttemptFinished,
    ClientDisconnected,
    EndpointListKind,
    EndpointListUpdate,
    Event,
    HealthCheckFinished,
    Outcome,
    RequestReceived,
    ResponseStarted,
    TimerFired,
)
from loadbalancer.settings import Settings
from loadbalancer.settings_reader import (
    Fields,
    SettingsError,
    integer,
    lookup,
    number,
    read_settings,
    required,
)
from loadbalancer.timers import EndpointListTimer, HedgeTimer, Timer

_OUTCOMES = {
    "0": Outcome.ERROR,
    "1": Outcome.SUCCEEDED,
    "2": Outcome.REJECTED,
    "3": Outcome.TIMED_OUT,
    "4": Outcome.CONNECT_FAILED,
    "5": Outcome.RESET,
    "6": Outcome.CANCELLED,
    "7": Outcome.NOT_SENT,
}
_LIST_TIMER, _HEDGE_TIMER = "list", "hedge"  # a timer's kind on the wire
_READINESS = {"0": EndpointState.REMOVED, "1": EndpointState.READY, "2": EndpointState.DRAINING}
_LIST_KINDS = {
    "0": EndpointListKind.CACHED,
    "2": EndpointListKind.SNAPSHOT,
    "3": EndpointListKind.DELTA,
    "4": EndpointListKind.FAILED,
}


@dataclass(frozen=True, slots=True)
class Start:
    """An instance comes up."""

    seed: int
    settings: Settings


@dataclass(frozen=True, slots=True)
class Stop:
    """An instance has been killed."""


@dataclass(frozen=True, slots=True)
class EndpointListReference:
    """A list event that names its entries by the number of a ledger."""

    kind: EndpointListKind
    ledger: int | None


def read_fields(parts: list[str]) -> Fields:
    """The name=value parts of a line as a dictionary."""
    try:
        return dict([part.split("=", 1) for part in parts])
    except ValueError:
        bad = next(part for part in parts if "=" not in part)
        raise SettingsError(f"{bad!r} is not name=value") from None


def _report(fields: Fields) -> tuple[float, ...]:
    text = fields.get("gauge")
    if not text:
        return ()
    try:
        row = tuple([float(value) for value in text.split(",")])
    except ValueError:
        row = (math.nan,)
    if not all(map(math.isfinite, row)):
        raise SettingsError(f"field 'gauge' holds {text!r}, which is no row of numbers")
    return row


def _outcome(fields: Fields, note: Callable[[str], None]) -> Outcome:
    code = required(fields, "verdict")
    known = _OUTCOMES.get(code)
    if known is None:
        note(f"outcome code {code!r} is unknown; taken as one that may have run")
        return Outcome.UNKNOWN
    return known


def read_member(fields: Fields) -> Endpoint:
    """One entry of a ledger."""
    return Endpoint(
        name=required(fields, "upstream"),
        state=lookup(_READINESS, fields, "readiness"),
        zone=fields.get("rackZone", ""),
        cell=int(number(fields, "cell", 0.0)),
        weight=number(fields, "nominal", 1.0),
        started_at_ms=number(fields, "upSince", 0.0),
    )


def read_event(
    word: str, fields: Fields, note: Callable[[str], None]
) -> Event | Start | Stop | EndpointListReference | None:
    """The event of one line, or None for a kind that is unknown or of no use to a balancer."""
    match word:
        case "knock":
            return RequestReceived(
                integer(fields, "corr"),
                required(fields, "grade"),
                number(fields, "remaining"),
                fields.get("customer"),
                fields.get("repeat") == "1",
                number(fields, "weightHint", 0.0),
            )
        case "verdict":
            return AttemptFinished(
                integer(fields, "corr"),
                integer(fields, "shot"),
                required(fields, "upstream"),
                _outcome(fields, note),
                fields.get("complete") == "1",
                _report(fields),
            )
        case "reminder":
            timer = _read_timer(fields, note)
            return None if timer is None else TimerFired(timer)
        case "client_gone":
            return ClientDisconnected(integer(fields, "corr"))
        case "established":
            return ResponseStarted(integer(fields, "corr"), integer(fields, "shot"))
        case "check_result":
            return HealthCheckFinished(required(fields, "upstream"), _outcome(fields, note), _report(fields))
        case "membership":
            kind = lookup(_LIST_KINDS, fields, "mode")
            return EndpointListReference(
                kind, None if kind is EndpointListKind.FAILED else integer(fields, "list")
            )
        case "up":
            facts = {name: value for name, value in fields.items() if name not in ("who", "prng")}
            return Start(integer(fields, "prng"), read_settings(facts, note))
        case "killed":
            return Stop()
        case "note_from":
            return None
    note(f"event {word!r} is unknown and ignored")
    return None


def list_update(news: EndpointListReference, members: tuple[Endpoint, ...]) -> EndpointListUpdate:
    """The list event with the entries of its ledger."""
    return EndpointListUpdate(news.kind, members)


def write_action(who: str, action: Action) -> str:
    """One action as a line of the reply."""
    match action:
        case StartAttempt(request, server, timeout):
            return f"send who={who} corr={request} upstream={server} timeout={timeout:.3f}"
        case SetTimer(at, timer):
            return f"remind who={who} moment={at:.3f} ctx={_write_timer(timer)}"
        case RejectRequest(request, after):
            return f"reject who={who} corr={request} stayAway={after:.3f}"
        case FailRequest(request):
            return f"abort who={who} corr={request}"
        case CancelAttempt(request, attempt):
            return f"cancel who={who} corr={request} shot={attempt}"
        case StartHealthCheck(server):
            return f"sound_out who={who} upstream={server}"
        case CloseIdleConnections(server):
            return f"close_idle who={who} upstream={server}"
        case WatchEndpoints():
            return f"follow who={who} enable=1"
        case LogMessage(text):
            return f"say_log who={who} bodyText={_one_line(text)}"


def _write_timer(timer: Timer) -> str:
    match timer:
        case EndpointListTimer():
            return _LIST_TIMER
        case HedgeTimer(request_id):
            return f"{_HEDGE_TIMER}:{request_id}"


def _read_timer(fields: Fields, note: Callable[[str], None]) -> Timer | None:
    kind, _, request_id = required(fields, "ctx").partition(":")
    if kind == _LIST_TIMER:
        return EndpointListTimer()
    if kind == _HEDGE_TIMER and request_id.isdecimal():
        return HedgeTimer(int(request_id))
    note(f"timer {fields['ctx']!r} is unknown and ignored")
    return None


def write_fault(who: str, error: BaseException) -> str:
    """The line that says that an instance's decision code has failed."""
    return f"give_in who={who} bodyText={_one_line(f'{type(error).__name__}: {error}')}"


def _one_line(text: str) -> str:
    return " ".join(text.split())
