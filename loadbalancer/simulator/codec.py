"""The lines of the simulator's wire: one line to one typed value, and one action to one line.

A line is a kind, then `name=value` fields, all separated by one space. The kinds, the names and the codes in
this module are the wire's own; nothing is decided here.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping

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
from loadbalancer.settings_reader import Fields, Warn, integer, lookup, number, read_settings, required
from loadbalancer.simulator.messages import InstanceStarted, WireError
from loadbalancer.timers import EndpointListTimer, HedgeTimer, Timer

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
_LIST_TIMER = "list"
_HEDGE_TIMER = "hedge"


def read_fields(parts: list[str]) -> Fields:
    """Read the `name=value` parts of a line.

    Raises:
        WireError: A part has no equals sign.
    """
    try:
        return dict([part.split("=", 1) for part in parts])
    except ValueError:
        malformed = next(part for part in parts if "=" not in part)
        raise WireError(f"{malformed!r} is not name=value") from None


def read_endpoint(fields: Fields) -> Endpoint:
    """Read one entry of an endpoint list."""
    return Endpoint(
        name=required(fields, "upstream"),
        state=lookup(_STATE_BY_CODE, fields, "readiness"),
        zone=fields.get("rackZone", ""),
        cell=int(number(fields, "cell", 0.0)),
        weight=number(fields, "nominal", 1.0),
        started_at_ms=number(fields, "upSince", 0.0),
    )


def read_endpoint_list_update(
    fields: Fields, shared_lists: Mapping[int, tuple[Endpoint, ...]]
) -> EndpointListUpdate:
    """Read the endpoint list event of one line.

    Args:
        fields: The line; it names its list by a number.
        shared_lists: The lists that were sent before, by their numbers.

    Raises:
        SettingsError: A field is missing or malformed, or the list was never sent.
    """
    kind = lookup(_LIST_KIND_BY_CODE, fields, "mode")
    if kind is EndpointListKind.FAILED:
        return EndpointListUpdate(kind)
    list_id = integer(fields, "list")
    if list_id not in shared_lists:
        raise WireError(f"ledger {list_id} was never sent")
    return EndpointListUpdate(kind, shared_lists[list_id])


def read_instance_started(fields: Fields, warn: Warn) -> InstanceStarted:
    """Read the start of an instance: besides its identity and seed, all fields are settings."""
    seed = integer(fields, "prng")
    settings_fields = {name: value for name, value in fields.items() if name not in ("who", "prng")}
    settings = read_settings(settings_fields, warn)
    return InstanceStarted(required(fields, "who"), seed, settings)


def read_event(kind: str, fields: Fields, warn: Warn) -> Event | None:
    """Read the event of one line.

    Args:
        kind: The first word of the line.
        fields: The rest of the line.
        warn: Called with a message on each thing that is unknown.

    Returns:
        The event, or None for a kind that is unknown or of no use to a balancer.

    Raises:
        SettingsError: A field is missing or malformed.
    """
    reader = _EVENT_READERS.get(kind)
    if reader is None:
        warn(f"event {kind!r} is unknown and ignored")
        return None
    return reader(fields, warn)


def _read_request_received(fields: Fields, _warn: Warn) -> RequestReceived:
    return RequestReceived(
        request_id=integer(fields, "corr"),
        class_name=required(fields, "grade"),
        remaining_ms=number(fields, "remaining"),
        tenant=fields.get("customer"),
        is_client_retry=fields.get("repeat") == "1",
        cost_hint_ms=number(fields, "weightHint", 0.0),
    )


def _read_attempt_finished(fields: Fields, warn: Warn) -> AttemptFinished:
    return AttemptFinished(
        request_id=integer(fields, "corr"),
        attempt_index=integer(fields, "shot"),
        endpoint=required(fields, "upstream"),
        outcome=_read_outcome(fields, warn),
        is_request_complete=fields.get("complete") == "1",
        load_report=_read_load_report(fields),
    )


def _read_timer_fired(fields: Fields, warn: Warn) -> TimerFired | None:
    timer = _read_timer(required(fields, "ctx"))
    if timer is None:
        warn(f"timer {fields['ctx']!r} is unknown and ignored")
        return None
    return TimerFired(timer)


def _read_client_disconnected(fields: Fields, _warn: Warn) -> ClientDisconnected:
    return ClientDisconnected(integer(fields, "corr"))


def _read_response_started(fields: Fields, _warn: Warn) -> ResponseStarted:
    return ResponseStarted(integer(fields, "corr"), integer(fields, "shot"))


def _read_health_check_finished(fields: Fields, warn: Warn) -> HealthCheckFinished:
    return HealthCheckFinished(
        endpoint=required(fields, "upstream"),
        outcome=_read_outcome(fields, warn),
        load_report=_read_load_report(fields),
    )


def _ignore(_fields: Fields, _warn: Warn) -> None:
    """A known line that is of no use to a balancer."""


_EVENT_READERS: dict[str, Callable[[Fields, Warn], Event | None]] = {
    "knock": _read_request_received,
    "verdict": _read_attempt_finished,
    "reminder": _read_timer_fired,
    "client_gone": _read_client_disconnected,
    "established": _read_response_started,
    "check_result": _read_health_check_finished,
    "note_from": _ignore,
}


def _read_outcome(fields: Fields, warn: Warn) -> Outcome:
    code = required(fields, "verdict")
    outcome = _OUTCOME_BY_CODE.get(code)
    if outcome is None:
        warn(f"outcome code {code!r} is unknown; taken as one that may have run")
        return Outcome.UNKNOWN
    return outcome


def _read_load_report(fields: Fields) -> tuple[float, ...]:
    """Read the figures that an endpoint reports of itself; nothing is decided by them."""
    text = fields.get("gauge")
    if not text:
        return ()
    try:
        figures = tuple([float(value) for value in text.split(",")])
    except ValueError:
        figures = (math.nan,)
    if not all(map(math.isfinite, figures)):
        raise WireError(f"field 'gauge' holds {text!r}, which is no row of numbers")
    return figures


def _read_timer(text: str) -> Timer | None:
    kind, _, request_id = text.partition(":")
    if kind == _LIST_TIMER:
        return EndpointListTimer()
    if kind == _HEDGE_TIMER and request_id.isdecimal():
        return HedgeTimer(int(request_id))
    return None


def _write_timer(timer: Timer) -> str:
    match timer:
        case EndpointListTimer():
            return _LIST_TIMER
        case HedgeTimer(request_id):
            return f"{_HEDGE_TIMER}:{request_id}"


def write_action(instance: str, action: Action) -> str:
    """Write one action as a line of the reply."""
    match action:
        case StartAttempt(request_id, endpoint, timeout_ms):
            line = f"send who={instance} corr={request_id} upstream={endpoint} timeout={timeout_ms:.3f}"
        case SetTimer(at_ms, timer):
            line = f"remind who={instance} moment={at_ms:.3f} ctx={_write_timer(timer)}"
        case RejectRequest(request_id, retry_after_ms):
            line = f"reject who={instance} corr={request_id} stayAway={retry_after_ms:.3f}"
        case FailRequest(request_id):
            line = f"abort who={instance} corr={request_id}"
        case CancelAttempt(request_id, attempt_index):
            line = f"cancel who={instance} corr={request_id} shot={attempt_index}"
        case StartHealthCheck(endpoint):
            line = f"sound_out who={instance} upstream={endpoint}"
        case CloseIdleConnections(endpoint):
            line = f"close_idle who={instance} upstream={endpoint}"
        case WatchEndpoints():
            line = f"follow who={instance} enable=1"
        case LogMessage(text):
            line = f"say_log who={instance} bodyText={_one_line(text)}"
    return line


def write_failure(instance: str, error: BaseException) -> str:
    """Write the line that says that an instance's policy has raised an error."""
    return f"give_in who={instance} bodyText={_one_line(f'{_wire_name(error)}: {error}')}"


def _wire_name(error: BaseException) -> str:
    """Return the name of an error's type; the wire knows the package's own errors by their standard base."""
    types = type(error).__mro__ if isinstance(error, LoadBalancerError) else (type(error),)
    return next(t.__name__ for t in types if t.__module__ != LoadBalancerError.__module__)


def write_batch_end(batch_id: str) -> str:
    """Write the last line of a reply."""
    return f"yield batch={batch_id}"


def _one_line(text: str) -> str:
    return " ".join(text.split())
