"""What a list's length costs a balancer: decisions, changes, whole lists, memory and bytes.

In-process, with the real module and the real pools' books on a virtual clock. Each size is played with as
many balancers as servers (each then keeps to a part of them) and as the only balancer (it keeps to all).
"""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from structlog.typing import FilteringBoundLogger

from testbed.meter import CoresWatch
from testbed.results import Findings, fit_line
from testbed.runs.list_size_decisions import DecisionCell
from testbed.runs.list_size_growth import add_growth
from testbed.runs.list_size_lists import ListCell
from testbed.runs.list_size_plan import Plan
from testbed.runs.list_size_rounds import Rounds, reference_us

__all__ = ["KEEPS", "Plan", "play"]

KEEPS = {"part": "as many balancers as servers", "all": "one balancer"}


def play(plan: Plan, log: FilteringBoundLogger) -> Findings:
    """Measure every size, kept in part and in all, at every tier."""
    findings, watch = Findings(), CoresWatch()
    rounds = Rounds(plan.rounds, plan.rounds_most, reference_us)
    for entries in plan.sizes:
        for keep in KEEPS:
            for tier in plan.tiers:
                rounds.play(DecisionCell(plan, entries, keep, tier))
            rounds.play(ListCell(plan, entries, keep))
            log.info("measured", entries=entries, keeps=keep)
    findings.rows, uneven = rounds.rows()
    findings.doubts += watch.doubts("whole run") + uneven
    if uneven:
        return findings
    add_growth(findings.rows)
    for keep in KEEPS:
        for tier in plan.tiers:
            cell = _cell(findings, measured="decision", keeps=keep, tier=tier)
            for y in ("arrival_us_median", "arrival_us_mean", "arrival_us_99", "end_us_mean"):
                findings.fits.append(replace(fit_line(cell, y, "entries"), y=f"{y} ({keep}, tier {tier})"))
        cell = _cell(findings, measured="list", keeps=keep)
        for y in cell[0]:
            if y.startswith(("delta_", "list_", "memory_")) and not y.endswith("_growth"):
                findings.fits.append(replace(fit_line(cell, y, "entries"), y=f"{y} ({keep})"))
    return findings


def _cell(findings: Findings, **where: Any) -> list[dict[str, Any]]:
    """The rows that agree in these columns."""
    return [row for row in findings.rows if where.items() <= row.items()]
