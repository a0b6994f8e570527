"""In a chain of tiers with a balancer at each endpoint, retries add up over the tiers but don't multiply."""

from __future__ import annotations

from typing import Any

import pytest
import structlog
from structlog.testing import capture_logs

from loadbalancer.policy import retry as retry_policy
from testbed.runs.depth import run as depth

# Number of endpoints per tier, and of balancers before the first tier.
ENDPOINTS = 6


def measure_rows(faults: list[dict[str, Any]], **changes: Any) -> list[dict[str, Any]]:
    """Return the rows of a depth run, one per fault and depth; clients send 20 requests per second."""
    defaults: dict[str, Any] = {
        "run": "depth",
        "about": "Short chains of tiers.",
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
def test_initial_tokens_limit_retries_at_failed_tier(behaviour: str) -> None:
    """If arriving requests added tokens, retries would multiply over the tiers.

    With 28 tiers, there would be 88 attempts for each admitted request, or 320 if no attempt is processed.
    """
    for row in measure_rows([{"name": "lost", "behaviour": behaviour}]):
        assert row["served"] == 0
        assert row["calls"] > 150
        attempts = row["bottom_attempts_a_call"] * row["calls"]
        initial_tokens = retry_policy.RETRY_INITIAL_TOKENS * ENDPOINTS * row["depth"]
        if behaviour != "fails":
            # Only the balancers directly before the last tier make transparent retries.
            initial_tokens += retry_policy.TRANSPARENT_RETRY_INITIAL_TOKENS * ENDPOINTS
        assert 0.5 * row["calls"] < attempts <= row["calls"] + initial_tokens


def test_sporadic_failures_behind_28_tiers_are_retried() -> None:
    fault = {"name": "a tenth", "behaviour": "fails", "part": 0.1}
    for row in measure_rows([fault], warm_s=2):
        assert row["served"] >= 0.99
        assert 1.05 < row["bottom_attempts_a_call"] < 1.25


def test_service_resumes_when_last_tier_recovers() -> None:
    faults = [{"name": b, "behaviour": b} for b in ("fails", "refuses", "turns away")]
    for row in measure_rows(faults, warm_s=2, trouble_s=5, after_s=6, sizes=[28]):
        assert row["served_before"] == 1
        assert row["back_after_s"] <= 5
        assert row["served_after"] >= 0.95
