"""The checks on settings."""

from __future__ import annotations

import pytest

from loadbalancer.settings import RequestClass
from tests.policy.helpers import READ, settings


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
def test_invalid_settings_name_their_field(change: dict[str, object], name: str) -> None:
    with pytest.raises(ValueError, match=name):
        settings(**change)
    with pytest.raises(ValueError, match="latency_objective_ms"):
        RequestClass("x", 0, 10, READ.idempotency)
