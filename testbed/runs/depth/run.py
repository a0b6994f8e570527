"""What a failing server or tier costs in chains of different depths: policies alone, on a virtual clock.

Sizes are depths in tiers. Calls come from outside at random moments, whatever becomes of them, and nobody
outside tries again. Each row is one depth under one fault; its attempts are those of the calls that came
while the fault lasted. A run that needs more than `events_max` events is cut short: its row says so, its
attempts are then lower bounds, and no fit uses it.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from structlog.typing import FilteringBoundLogger

from testbed.results import Fit, RunResult, fit_line
from testbed.runs.depth.plan import Fault, Plan
from testbed.runs.depth.simulation import DepthRow, Simulation

__all__ = ["Fault", "Plan", "play"]

_FITTED = ("bottom_attempts_a_call", "bottom_attempts_an_admitted")


def play(plan: Plan, log: FilteringBoundLogger) -> RunResult[DepthRow]:
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
                bottom_attempts_a_call=row.attempts.bottom_attempts_a_call,
                events=row.work.events,
                cut_short=row.cut_short,
                machine_s=round(row.work.machine_s, 2),
            )
        for column in _FITTED:
            result.fits += _fits(result.rows, fault.name, column)
    return result


def _fits(rows: Sequence[DepthRow], fault: str, column: str) -> list[Fit]:
    """Fit growth over depth: as a line, an exponential (ln n over depth) and a power (ln n over ln depth)."""
    fitted = [row for row in rows if row.trouble == fault and not row.cut_short and row.columns()[column]]
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
