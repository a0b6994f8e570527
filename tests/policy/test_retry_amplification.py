"""Further attempts over a path of tiers, each server with a balancer of its own: they add up."""

from __future__ import annotations

from typing import Any

import pytest
import structlog
from structlog.testing import capture_logs

from loadbalancer.policy import balancer as policy
from testbed.runs import depth

SERVERS = 6  # a tier; as many fronts, too


def rows(troubles: list[dict[str, Any]], **changes: Any) -> list[dict[str, Any]]:
    """The rows of a depth run: one a trouble and depth, with 20 calls a second from outside."""
    base: dict[str, Any] = {
        "run": "depth",
        "about": "Small ones.",
        "seed": 1,
        "sizes": [16, 28],
        "calls_per_s": 20,
        "warm_s": 0,
        "trouble_s": 10,
        "troubles": troubles,
    }
    with capture_logs():
        result = depth.play(depth.Plan.model_validate(base | changes), structlog.get_logger())
    return [row.columns() for row in result.rows]


@pytest.mark.parametrize("behaviour", ["fails", "refuses", "turns away"])
def test_a_lost_last_tier_is_called_once_a_call_and_by_what_the_buckets_hold(behaviour: str) -> None:
    """Earned by arrivals, 28 tiers made 88 attempts of each call let in; of what never ran, 320."""
    for row in rows([{"name": "lost", "behaviour": behaviour}]):
        assert row["served"] == 0
        assert row["calls"] > 150
        made = row["bottom_attempts_a_call"] * row["calls"]
        saved_up = policy.RETRY_FIRST * SERVERS * row["depth"]
        if behaviour != "fails":
            saved_up += policy.RESEND_FIRST * SERVERS  # only the callers of those that are gone
        assert 0.5 * row["calls"] < made <= row["calls"] + saved_up


def test_one_call_in_ten_that_fails_at_the_end_of_28_tiers_is_made_good() -> None:
    trouble = {"name": "a tenth", "behaviour": "fails", "part": 0.1}
    for row in rows([trouble], warm_s=2):
        assert row["served"] >= 0.99
        assert 1.05 < row["bottom_attempts_a_call"] < 1.25


def test_calls_are_served_again_as_soon_as_the_last_tier_is_back() -> None:
    troubles = [{"name": b, "behaviour": b} for b in ("fails", "refuses", "turns away")]
    for row in rows(troubles, warm_s=2, trouble_s=5, after_s=6, sizes=[28]):
        assert row["served_before"] == 1
        assert row["back_after_s"] <= 5
        assert row["served_after"] >= 0.95
