"""Reads settings from flat `path=value` fields, for the simulator's wire and the file that `LB_CONFIG` names.

The names of the settings, and the words for enum values, are those of the wire. They occur in no other
module, except for the names of the settings that `loadbalancer.configuration` uses itself. Each field is
text, which `read_number`, `read_integer`, `read_flag` and `read_enum` convert to a typed value. Each error is
a `FieldError` that names the field.
"""

from __future__ import annotations

import math
import re
from collections.abc import Callable
from typing import TypeVar

from loadbalancer.errors import LoadBalancerError
from loadbalancer.settings import Idempotency, IdempotencyScope, RequestClass, Settings, Tenant

DEFAULT_CONNECT_TIMEOUT_MS = 250.0
"""Connect timeout if `limits.connectTimeout` is not set."""

Fields = dict[str, str]
"""The fields of a line or of a configuration: maps the path of each field to its text."""

Warn = Callable[[str], None]
"""Called with a message for each part of the input that is ignored."""

T = TypeVar("T")

_IDEMPOTENCY_BY_WORD = {
    "retryable": Idempotency.SAFE,
    "dedup": Idempotency.KEYED,
    "fragile": Idempotency.NOT_IDEMPOTENT,
}
_SCOPE_BY_WORD = {
    "all": IdempotencyScope.ALL,
    "zone": IdempotencyScope.ZONE,
    "cell": IdempotencyScope.CELL,
}

_KNOWN_FIELDS = frozenset(
    """
    azs balancers classes.count classes.aimStretch classes.target classes.deadline classes.effect
    classes.keyScope classes.lateShare classes.name classes.stream classes.repeatWindow
    classes.worth clients.marksRetry discovery family familyInfo.passesDeadline familyInfo.warmKeys
    goal.logLossPart goal.fullAtNines goal.punctual goal.tailMiss
    goal.whole goal.worstClass goal.worstTenant goal.worstWindow kinds limits.mayCancel
    limits.connIdle limits.connectTimeout limits.cpuUsPerRequest limits.cpuUsPerS limits.attemptsCap
    limits.openCap limits.maxRetryAfter limits.peers limits.probes limits.retryAfter
    limits.mayDuplicate limits.streamsPerConn myNumber overShareWorth prices.connection
    prices.crossZone prices.discovery prices.fleet prices.handshake prices.lateFail prices.moves
    prices.origin prices.peer prices.probe prices.waste telemetry.fields telemetry.how
    contract.graceToAnswer contract.askWithin contract.coldFrom contract.cold contract.drainGrace
    contract.overloadFactor contract.tipAfter orgs orgs.count orgs.name orgs.quotaPerS orgs.portion
    tick tier stages weights worthBy zone
    """.split()
)
_INDEX = re.compile(r"\.\d+\.")
"""The index of an entry in a list of settings, such as `.0.` in `classes.0.name`."""


class FieldError(LoadBalancerError, ValueError):
    """Base class of the errors in a field."""


class MissingFieldError(FieldError):
    """A required field is missing.

    Attributes:
        name: The name of the field.
    """

    def __init__(self, name: str) -> None:
        super().__init__(f"field {name!r} is missing")
        self.name = name


class InvalidFieldError(FieldError):
    """The text of a field can't be converted to the field's type.

    Attributes:
        name: The name of the field.
        text: The text of the field.
        reason: Why the text is invalid, such as "is no number".
    """

    def __init__(self, name: str, text: str, reason: str) -> None:
        super().__init__(f"field {name!r} holds {text!r}, which {reason}")
        self.name = name
        self.text = text
        self.reason = reason


def read_text(fields: Fields, name: str) -> str:
    """Return the text of a required field.

    Raises:
        MissingFieldError: The field is missing.
    """
    try:
        return fields[name]
    except KeyError:
        raise MissingFieldError(name) from None


def read_number(fields: Fields, name: str, default: float | None = None) -> float:
    """Return the value of a field as a finite number.

    Args:
        fields: The fields.
        name: The name of the field.
        default: The value to return for a missing field; None if the field is required.

    Raises:
        MissingFieldError: The field is missing, and there is no default.
        InvalidFieldError: The text is not a finite number.
    """
    text = fields.get(name)
    if text is None:
        if default is None:
            raise MissingFieldError(name)
        return default
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not math.isfinite(value):
        raise InvalidFieldError(name, text, "is no number")
    return value


def read_integer(fields: Fields, name: str) -> int:
    """Return the value of a required field as an integer.

    Raises:
        MissingFieldError: The field is missing.
        InvalidFieldError: The text is not an integer.
    """
    try:
        return int(fields[name])
    except KeyError:
        raise MissingFieldError(name) from None
    except ValueError:
        raise InvalidFieldError(name, fields[name], "is no whole number") from None


def read_flag(fields: Fields, name: str) -> bool:
    """Return whether a field is true; a missing field is false."""
    return fields.get(name) in ("1", "true")


def read_enum(value_by_word: dict[str, T], fields: Fields, name: str) -> T:
    """Return the value to which `value_by_word` maps the text of a required field.

    Raises:
        MissingFieldError: The field is missing.
        InvalidFieldError: The text is not a key of `value_by_word`.
    """
    word = read_text(fields, name)
    try:
        return value_by_word[word]
    except KeyError:
        raise InvalidFieldError(name, word, "has no meaning there") from None


def read_settings(fields: Fields, warn: Warn) -> Settings:
    """Return the settings of one balancer instance.

    Args:
        fields: The settings.
        warn: Called with a message for each field with an unknown name, which is ignored.

    Raises:
        FieldError: A field is missing or malformed.
        InvalidSettingsError: A value is out of range.
    """
    _warn_about_unknown_fields(fields, warn)
    return _read_known_settings(fields)


def _warn_about_unknown_fields(fields: Fields, warn: Warn) -> None:
    for name in fields:
        if _INDEX.sub(".", name) not in _KNOWN_FIELDS:
            warn(f"setting {name!r} is unknown and ignored")


def _read_known_settings(fields: Fields) -> Settings:
    return Settings(
        classes=_read_classes(fields),
        tenants=_read_tenants(fields),
        balancers=int(read_number(fields, "balancers", 1.0)),
        tier=int(read_number(fields, "tier", 0.0)),
        zone=fields.get("zone", ""),
        polls_discovery=fields.get("discovery") == "ask",
        poll_deadline_ms=read_number(fields, "contract.askWithin", 10_000.0),
        max_attempts=int(read_number(fields, "limits.attemptsCap", 1.0)),
        connect_timeout_ms=read_number(fields, "limits.connectTimeout", DEFAULT_CONNECT_TIMEOUT_MS),
        may_cancel=read_flag(fields, "limits.mayCancel"),
        may_hedge=read_flag(fields, "limits.mayDuplicate"),
        may_health_check=read_flag(fields, "limits.probes"),
        max_retry_after_ms=_read_max_retry_after_ms(fields),
        slow_start_ms=read_number(fields, "contract.cold", 0.0),
        slow_start_initial_fraction=read_number(fields, "contract.coldFrom", 1.0),
        slow_start_overload_factor=read_number(fields, "contract.overloadFactor", 1.0),
        slow_start_window_ms=read_number(fields, "contract.tipAfter", 1_000.0),
        over_quota_weight=read_number(fields, "overShareWorth", 1.0),
        tick_ms=read_number(fields, "tick", 1.0),
        load_report_fields=_read_load_report_fields(fields),
    )


def _read_classes(fields: Fields) -> tuple[RequestClass, ...]:
    count = read_integer(fields, "classes.count")
    return tuple([_read_class(fields, f"classes.{index}.") for index in range(count)])


def _read_class(fields: Fields, prefix: str) -> RequestClass:
    return RequestClass(
        name=read_text(fields, prefix + "name"),
        latency_objective_ms=read_number(fields, prefix + "target"),
        deadline_ms=read_number(fields, prefix + "deadline"),
        idempotency=read_enum(_IDEMPOTENCY_BY_WORD, fields, prefix + "effect"),
        idempotency_scope=_read_idempotency_scope(fields, prefix + "keyScope"),
        idempotency_window_ms=read_number(fields, prefix + "repeatWindow", 0.0),
        priority_weight=read_number(fields, prefix + "worth", 1.0),
        late_value=read_number(fields, prefix + "lateShare", 0.0),
        is_streaming=read_flag(fields, prefix + "stream"),
    )


def _read_idempotency_scope(fields: Fields, name: str) -> IdempotencyScope:
    """Return the idempotency scope of a class; for an unknown word the narrowest, which is always safe."""
    return _SCOPE_BY_WORD.get(fields.get(name, "all"), IdempotencyScope.CELL)


def _read_tenants(fields: Fields) -> tuple[Tenant, ...]:
    count = int(read_number(fields, "orgs.count", 0.0))
    return tuple([_read_tenant(fields, f"orgs.{index}.") for index in range(count)])


def _read_tenant(fields: Fields, prefix: str) -> Tenant:
    return Tenant(read_text(fields, prefix + "name"), read_number(fields, prefix + "quotaPerS"))


def _read_max_retry_after_ms(fields: Fields) -> float:
    if not read_flag(fields, "limits.retryAfter"):
        return 0.0
    return read_number(fields, "limits.maxRetryAfter", 0.0)


def _read_load_report_fields(fields: Fields) -> tuple[str, ...]:
    names = fields.get("telemetry.fields", "").split(",")
    return tuple([name for name in names if name])
