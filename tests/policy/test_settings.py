"""Validation of the settings."""

from __future__ import annotations

from dataclasses import replace

import pytest

from loadbalancer.errors import InvalidSettingsError
from loadbalancer.settings import RequestClass, Tenant
from tests.policy.helpers import READ, make_settings


@pytest.mark.parametrize(
    ("change", "name"),
    [
        ({"classes": ()}, "classes"),
        ({"classes": (READ, READ)}, "classes"),
        ({"balancers": 0}, "balancers"),
        ({"max_attempts": 0}, "max_attempts"),
        ({"slow_start_initial_fraction": 0.0}, "slow_start_initial_fraction"),
        ({"tick_ms": float("inf")}, "tick_ms"),
        ({"over_quota_weight": 2.0}, "over_quota_weight"),
    ],
)
def test_invalid_settings_error_names_field(change: dict[str, object], name: str) -> None:
    with pytest.raises(InvalidSettingsError, match=name) as invalid:
        make_settings(**change)
    assert invalid.value.field == name
    assert isinstance(invalid.value, ValueError), "callers may catch the built-in type"
    with pytest.raises(InvalidSettingsError, match="latency_objective_ms"):
        RequestClass("x", 0, 10, READ.idempotency)


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"name": ""}, "name is '': it must not be empty"),
        ({"deadline_ms": float("inf")}, "deadline_ms is inf: it must be a finite number above 0"),
        ({"idempotency_window_ms": -1.0}, "idempotency_window_ms is -1.0: it must not be negative"),
        ({"priority_weight": float("nan")}, "priority_weight is nan: it must not be negative"),
        ({"late_value": 1.5}, "late_value is 1.5: it must be between 0 and 1"),
    ],
)
def test_invalid_class_is_rejected(change: dict[str, object], message: str) -> None:
    with pytest.raises(InvalidSettingsError) as invalid:
        replace(READ, **change)  # type: ignore[arg-type]
    assert str(invalid.value) == message


def test_invalid_tenant_is_rejected() -> None:
    with pytest.raises(InvalidSettingsError, match="quota_per_s is -1: it must not be negative"):
        Tenant("t", -1)
    with pytest.raises(InvalidSettingsError, match="name is '': it must not be empty"):
        Tenant("", 1)
