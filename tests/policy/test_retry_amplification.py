"""Retries over a path of tiers, each endpoint with a balancer of its own: they add up, not multiply."""

from __future__ import annotations

from typing import Any

import pytest
import structlog
from structlog.testing import capture_logs

from loadbalancer.policy import retry as retry_policy
from testbed.runs.depth import run as depth

ENDPOINTS = 6  # a tier; as many balancers before the first one, too


def measure_rows(faults: list[dict[str, Any]], **changes: Any) -> list[dict[str, Any]]:
    """The rows of a depth run: one for each fault and depth, with 20 calls a second from outside."""
    defaults: dict[str, Any] = {
        "run": "depth",
        "about": "Small ones.",
        "seed": 1,
        "sizes": [16, 28],
        "calls_per_s": 20,
        "warm_s": 0,
        "trouble_s": 10,
        "troubles": faults,
    }
    with capture_logs():
        result = depth.measure(depth.Plan.model_validate(defaults | changes), structlog.get_logger())
    return [row.columns() for row in result.rows]


@pytest.mark.parametrize("behaviour", ["fails", "refuses", "turns away"])
def test_saved_tokens_bound_the_retries_at_a_failed_tier(behaviour: str) -> None:
    """Earned by arrivals, 28 tiers made 88 attempts for each admitted request, and 320 unprocessed ones."""
    for row in measure_rows([{"name": "lost", "behaviour": behaviour}]):
        assert row["served"] == 0
        assert row["calls"] > 150
        attempts = row["bottom_attempts_a_call"] * row["calls"]
        saved_tokens = retry_policy.RETRY_INITIAL_TOKENS * ENDPOINTS * row["depth"]
        if behaviour != "fails":
            # Only the balancers right before the last tier make transparent retries.
            saved_tokens += retry_policy.TRANSPARENT_RETRY_INITIAL_TOKENS * ENDPOINTS
        assert 0.5 * row["calls"] < attempts <= row["calls"] + saved_tokens


def test_sporadic_failures_behind_28_tiers_are_retried() -> None:
    fault = {"name": "a tenth", "behaviour": "fails", "part": 0.1}
    for row in measure_rows([fault], warm_s=2):
        assert row["served"] >= 0.99
        assert 1.05 < row["bottom_attempts_a_call"] < 1.25


def test_service_resumes_when_the_last_tier_recovers() -> None:
    faults = [{"name": b, "behaviour": b} for b in ("fails", "refuses", "turns away")]
    for row in measure_rows(faults, warm_s=2, trouble_s=5, after_s=6, sizes=[28]):
        assert row["served_before"] == 1
        assert row["back_after_s"] <= 5
        assert row["served_after"] >= 0.95
