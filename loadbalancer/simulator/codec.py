"""The codec of the simulator's wire: parses one line into a typed value, and formats an action as one line.

A line consists of its kind and of `name=value` fields, separated by single spaces. Only this module and
`batch_reader` contain the kinds, names and codes of the wire, except for the names of settings.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

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
from loadbalancer.errors import LoadBalancerError
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
from loadbalancer.settings_reader import (
    Fields,
    InvalidFieldError,
    Warn,
    read_enum,
    read_integer,
    read_number,
    read_settings,
    read_text,
)
from loadbalancer.simulator.errors import MalformedPartError, UnknownEndpointListError
from loadbalancer.simulator.messages import InstanceStarted
from loadbalancer.timers import EndpointListTimer, HedgeTimer, Timer

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

_OUTCOME_BY_CODE = {
    "0": Outcome.ERROR,
    "1": Outcome.SUCCEEDED,
    "2": Outcome.REJECTED,
    "3": Outcome.TIMED_OUT,
    "4": Outcome.CONNECT_FAILED,
    "5": Outcome.RESET,
    "6": Outcome.CANCELLED,
    "7": Outcome.NOT_SENT,
}
_STATE_BY_CODE = {"0": EndpointState.REMOVED, "1": EndpointState.READY, "2": EndpointState.DRAINING}
_LIST_KIND_BY_CODE = {
    "0": EndpointListKind.CACHED,
    "2": EndpointListKind.SNAPSHOT,
    "3": EndpointListKind.DELTA,
    "4": EndpointListKind.FAILED,
}
_LOAD_REPORT = "gauge"
_LIST_TIMER = "list"
_HEDGE_TIMER = "hedge"


def parse_fields(parts: list[str]) -> Fields:
    """Return the names and values of the `name=value` parts of a line.

    Raises:
        MalformedPartError: A part has no equals sign.
    """
    try:
        return dict([part.split("=", 1) for part in parts])
    except ValueError:
        malformed = next(part for part in parts if "=" not in part)
        raise MalformedPartError(malformed) from None


def parse_endpoint(fields: Fields) -> Endpoint:
    """Return one entry of an endpoint list."""
    return Endpoint(
        name=read_text(fields, "upstream"),
        state=read_enum(_STATE_BY_CODE, fields, "readiness"),
        zone=fields.get("rackZone", ""),
        cell=int(read_number(fields, "cell", 0.0)),
        weight=read_number(fields, "nominal", 1.0),
        started_at_ms=read_number(fields, "upSince", 0.0),
    )


def parse_endpoint_list_update(
    fields: Fields, shared_lists: Mapping[int, tuple[Endpoint, ...]]
) -> EndpointListUpdate:
    """Return the endpoint list update of one line.

    Args:
        fields: The fields of the line, including the number of a list.
        shared_lists: The endpoint lists received so far, by number.

    Raises:
        FieldError: A field is missing or malformed.
        UnknownEndpointListError: No list with this number was received.
    """
    kind = read_enum(_LIST_KIND_BY_CODE, fields, "mode")
    if kind is EndpointListKind.FAILED:
        return EndpointListUpdate(kind)
    list_id = read_integer(fields, "list")
    if list_id not in shared_lists:
        raise UnknownEndpointListError(list_id)
    return EndpointListUpdate(kind, shared_lists[list_id])


def parse_instance_started(fields: Fields, warn: Warn) -> InstanceStarted:
    """Return the message that starts an instance. Fields other than its id and seed are settings."""
    seed = read_integer(fields, "prng")
    settings_fields = {name: value for name, value in fields.items() if name not in ("who", "prng")}
    settings = read_settings(settings_fields, warn)
    return InstanceStarted(read_text(fields, "who"), seed, settings)


def parse_event(kind: str, fields: Fields, warn: Warn) -> Event | None:
    """Return the event of one line.

    Args:
        kind: The first word of the line.
        fields: The fields of the line.
        warn: Called with a message for an unknown kind, timer or outcome.

    Returns:
        The event; None if the line is of an unknown kind, or of one that the policy does not use.

    Raises:
        FieldError: A field is missing or malformed.
    """
    parser = _EVENT_PARSERS.get(kind)
    if parser is None:
        warn(f"event {kind!r} is unknown and ignored")
        return None
    return parser(fields, warn)


def _parse_request_received(fields: Fields, _warn: Warn) -> RequestReceived:
    return RequestReceived(
        request_id=read_integer(fields, "corr"),
        class_name=read_text(fields, "grade"),
        remaining_ms=read_number(fields, "remaining"),
        tenant=fields.get("customer"),
        is_client_retry=fields.get("repeat") == "1",
        cost_hint_ms=read_number(fields, "weightHint", 0.0),
    )


def _parse_attempt_finished(fields: Fields, warn: Warn) -> AttemptFinished:
    return AttemptFinished(
        request_id=read_integer(fields, "corr"),
        attempt_index=read_integer(fields, "shot"),
        endpoint=read_text(fields, "upstream"),
        outcome=_parse_outcome(fields, warn),
        is_request_complete=fields.get("complete") == "1",
        load_report=_parse_load_report(fields),
    )


def _parse_timer_fired(fields: Fields, warn: Warn) -> TimerFired | None:
    timer = _parse_timer(read_text(fields, "ctx"))
    if timer is None:
        warn(f"timer {fields['ctx']!r} is unknown and ignored")
        return None
    return TimerFired(timer)


def _parse_client_disconnected(fields: Fields, _warn: Warn) -> ClientDisconnected:
    return ClientDisconnected(read_integer(fields, "corr"))


def _parse_response_started(fields: Fields, _warn: Warn) -> ResponseStarted:
    return ResponseStarted(read_integer(fields, "corr"), read_integer(fields, "shot"))


def _parse_health_check_finished(fields: Fields, warn: Warn) -> HealthCheckFinished:
    return HealthCheckFinished(
        endpoint=read_text(fields, "upstream"),
        outcome=_parse_outcome(fields, warn),
        load_report=_parse_load_report(fields),
    )


def _ignore(_fields: Fields, _warn: Warn) -> None:
    """Ignore a line of a known kind that the policy does not use."""


_EVENT_PARSERS: dict[str, Callable[[Fields, Warn], Event | None]] = {
    "knock": _parse_request_received,
    "verdict": _parse_attempt_finished,
    "reminder": _parse_timer_fired,
    "client_gone": _parse_client_disconnected,
    "established": _parse_response_started,
    "check_result": _parse_health_check_finished,
    "note_from": _ignore,
}


def _parse_outcome(fields: Fields, warn: Warn) -> Outcome:
    code = read_text(fields, "verdict")
    outcome = _OUTCOME_BY_CODE.get(code)
    if outcome is None:
        warn(f"outcome code {code!r} is unknown; taken as one that may have run")
        return Outcome.UNKNOWN
    return outcome


def _parse_load_report(fields: Fields) -> tuple[float, ...]:
    """Return the load report of an endpoint, which the policy does not use."""
    text = fields.get(_LOAD_REPORT)
    if not text:
        return ()
    try:
        values = tuple([float(value) for value in text.split(",")])
    except ValueError:
        values = (math.nan,)
    if not all(map(math.isfinite, values)):
        raise InvalidFieldError(_LOAD_REPORT, text, "is no row of numbers")
    return values


def _parse_timer(text: str) -> Timer | None:
    kind, _, request_id = text.partition(":")
    if kind == _LIST_TIMER:
        return EndpointListTimer()
    if kind == _HEDGE_TIMER and request_id.isdecimal():
        return HedgeTimer(int(request_id))
    return None


def _format_timer(timer: Timer) -> str:
    match timer:
        case EndpointListTimer():
            return _LIST_TIMER
        case HedgeTimer(request_id):
            return f"{_HEDGE_TIMER}:{request_id}"


def format_action(instance: str, action: Action) -> str:
    """Return an action as one line of the reply."""
    match action:
        case StartAttempt():
            fields = f"corr={action.request_id} upstream={action.endpoint} timeout={action.timeout_ms:.3f}"
            line = f"send who={instance} {fields}"
        case SetTimer():
            line = f"remind who={instance} moment={action.at_ms:.3f} ctx={_format_timer(action.timer)}"
        case RejectRequest():
            line = f"reject who={instance} corr={action.request_id} stayAway={action.retry_after_ms:.3f}"
        case FailRequest():
            line = f"abort who={instance} corr={action.request_id}"
        case CancelAttempt():
            line = f"cancel who={instance} corr={action.request_id} shot={action.attempt_index}"
        case StartHealthCheck():
            line = f"sound_out who={instance} upstream={action.endpoint}"
        case CloseIdleConnections():
            line = f"close_idle who={instance} upstream={action.endpoint}"
        case WatchEndpoints():
            line = f"follow who={instance} enable=1"
        case LogMessage():
            line = f"say_log who={instance} bodyText={_one_line(action.text)}"
    return line


def format_failure(instance: str, error: BaseException) -> str:
    """Return the line of the reply that reports an error in the policy of an instance."""
    return f"give_in who={instance} bodyText={_one_line(f'{_error_type_name(error)}: {error}')}"


def _error_type_name(error: BaseException) -> str:
    """Return the name of an error's type; for errors of this package, the name of the built-in base class."""
    types = type(error).__mro__ if isinstance(error, LoadBalancerError) else (type(error),)
    return next(t.__name__ for t in types if t.__module__ != LoadBalancerError.__module__)


def format_batch_end(batch_id: str) -> str:
    """Return the last line of a reply."""
    return f"yield batch={batch_id}"


def _one_line(text: str) -> str:
    return " ".join(text.split())
