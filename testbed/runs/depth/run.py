"""Simulates faulty servers and tiers in chains of different depths, on a virtual clock.

Client requests arrive as a Poisson process, independent of the responses, and clients do not retry. Each row
is for one depth and one fault, and counts the attempts for the requests that arrived during the fault. A
simulation that needs more than `events_max` events is cut short: `cut_short` is set in its row, its attempts
are lower bounds, and it is excluded from the fits.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from testbed.results import Fit, RunResult, fit_line
from testbed.runs.depth.plan import Fault, Plan
from testbed.runs.depth.simulation import DepthRow, Simulation

if TYPE_CHECKING:
    from collections.abc import Sequence

    from structlog.typing import FilteringBoundLogger

__all__ = ["Fault", "Plan", "measure"]

_FITTED_COLUMNS = ("bottom_attempts_a_call", "bottom_attempts_an_admitted")
"""The stored columns for which lines are fitted against the depth."""


def measure(plan: Plan, log: FilteringBoundLogger) -> RunResult[DepthRow]:
    """Simulate each fault at each depth."""
    result: RunResult[DepthRow] = RunResult()
    for fault in plan.faults:
        for depth in plan.sizes:
            row = Simulation(plan, depth, fault).run()
            result.rows.append(row)
            log.info(
                "played",
                depth=depth,
                trouble=fault.name,
                served=row.served.served,
                bottom_attempts_a_call=row.attempts.last_tier_attempts_per_request,
                events=row.work.events,
                cut_short=row.cut_short,
                machine_s=round(row.work.elapsed_s, 2),
            )
        for column in _FITTED_COLUMNS:
            result.fits += _fits(result.rows, fault.name, column)
    return result


def _fits(rows: Sequence[DepthRow], fault: str, column: str) -> list[Fit]:
    """Fit linear, exponential (ln y against depth) and power-law (ln y against ln depth) growth."""
    fitted = [row for row in rows if row.fault == fault and not row.cut_short and row.columns()[column]]
    depths = [row.depth for row in fitted]
    if len(set(depths)) < 2:
        return []
    values = [row.columns()[column] for row in fitted]
    ln_depths, ln_values = [math.log(depth) for depth in depths], [math.log(value) for value in values]
    name = f"{fault}: {column}"
    return [
        fit_line(depths, values, x="depth", y=name),
        fit_line(depths, ln_values, x="depth", y=f"ln {name}"),
        fit_line(ln_depths, ln_values, x="ln depth", y=f"ln {name}"),
    ]
