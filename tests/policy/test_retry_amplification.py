"""Retries over a path of tiers, each endpoint with a balancer of its own: they add up, not multiply."""

from __future__ import annotations

from typing import Any

import pytest
import structlog
from structlog.testing import capture_logs

from loadbalancer.policy import retry as policy
from testbed.runs.depth import run as depth

ENDPOINTS = 6  # a tier; as many balancers before the first one, too


def rows(faults: list[dict[str, Any]], **changes: Any) -> list[dict[str, Any]]:
    """The rows of a depth run: one for each fault and depth, with 20 calls a second from outside."""
    base: dict[str, Any] = {
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
        result = depth.measure(depth.Plan.model_validate(base | changes), structlog.get_logger())
    return [row.columns() for row in result.rows]


@pytest.mark.parametrize("behaviour", ["fails", "refuses", "turns away"])
def test_a_failed_last_tier_gets_one_attempt_a_request_and_what_the_buckets_hold(behaviour: str) -> None:
    """Earned by arrivals, 28 tiers made 88 attempts for each admitted request, and 320 unprocessed ones."""
    for row in rows([{"name": "lost", "behaviour": behaviour}]):
        assert row["served"] == 0
        assert row["calls"] > 150
        attempts = row["bottom_attempts_a_call"] * row["calls"]
        saved_tokens = policy.RETRY_INITIAL_TOKENS * ENDPOINTS * row["depth"]
        if behaviour != "fails":
            # Only the balancers right before the last tier make transparent retries.
            saved_tokens += policy.TRANSPARENT_RETRY_INITIAL_TOKENS * ENDPOINTS
        assert 0.5 * row["calls"] < attempts <= row["calls"] + saved_tokens


def test_one_failure_in_ten_at_the_end_of_28_tiers_is_always_retried() -> None:
    fault = {"name": "a tenth", "behaviour": "fails", "part": 0.1}
    for row in rows([fault], warm_s=2):
        assert row["served"] >= 0.99
        assert 1.05 < row["bottom_attempts_a_call"] < 1.25


def test_requests_are_served_again_as_soon_as_the_last_tier_is_back() -> None:
    faults = [{"name": b, "behaviour": b} for b in ("fails", "refuses", "turns away")]
    for row in rows(faults, warm_s=2, trouble_s=5, after_s=6, sizes=[28]):
        assert row["served_before"] == 1
        assert row["back_after_s"] <= 5
        assert row["served_after"] >= 0.95
