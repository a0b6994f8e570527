"""Measures the costs of a balancer for each length of its list: decisions, updates, memory and bytes.

The run uses the real policy and the real connection pools in one process, on a virtual clock. It measures
each length twice: with as many balancers as endpoints, where the measured balancer uses a subset of the
endpoints, and with a single balancer, which uses all endpoints.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from testbed.measurement.resource_usage import CoreMonitor
from testbed.results import Fit, RunResult, fit_columns
from testbed.runs.list_size.decisions import DecisionBenchmark
from testbed.runs.list_size.lists import ListBenchmark
from testbed.runs.list_size.plan import EndpointUse, Plan
from testbed.runs.list_size.rounds import BenchmarkRunner, measure_calibration_us
from testbed.runs.list_size.rows import DecisionRow, ListRow, ListSizeRow, with_growth

if TYPE_CHECKING:
    from structlog.typing import FilteringBoundLogger

__all__ = ["Plan", "measure"]

_ENDPOINT_USES: tuple[EndpointUse, ...] = ("part", "all")
_FITTED_DECISION_COLUMNS = ("arrival_us_median", "arrival_us_mean", "arrival_us_99", "end_us_mean")
_FITTED_LIST_COLUMNS = (
    "list_bytes",
    "delta_bytes",
    "list_parse_ms",
    "delta_parse_us",
    "list_read_ms",
    "delta_read_us",
    "list_pools_ms",
    "delta_pools_us",
    "list_module_ms",
    "delta_module_us",
    "list_whole_ms",
    "delta_whole_us",
    "delta_whole_us_99",
    "memory_kib",
)


def measure(plan: Plan, log: FilteringBoundLogger) -> RunResult[ListSizeRow]:
    """Measure every length of the list, with a subset and with all endpoints, at every tier."""
    cores = CoreMonitor()
    runner: BenchmarkRunner[ListSizeRow] = BenchmarkRunner(
        plan.rounds, plan.rounds_max, measure_calibration_us
    )
    for entries in plan.sizes:
        for endpoint_use in _ENDPOINT_USES:
            for tier in plan.tiers:
                runner.measure(DecisionBenchmark(plan, entries, endpoint_use, tier))
            runner.measure(ListBenchmark(plan, entries, endpoint_use))
            log.info("measured", entries=entries, keeps=endpoint_use)
    result = runner.result()
    has_missing_rows = bool(result.invalidity_reasons)
    result.invalidity_reasons = cores.invalidity_reasons("the run") + result.invalidity_reasons
    if has_missing_rows:
        return result
    result.rows = with_growth(result.rows)
    for endpoint_use in _ENDPOINT_USES:
        result.fits += _fits(plan, result.rows, endpoint_use)
    return result


def _fits(plan: Plan, rows: list[ListSizeRow], endpoint_use: EndpointUse) -> list[Fit]:
    """Fit costs against the length of the list, for one choice of the endpoints that are used."""
    fits = []
    matching_rows = [row for row in rows if row.identity.keeps == endpoint_use]
    for tier in plan.tiers:
        decisions = [
            row for row in matching_rows if isinstance(row, DecisionRow) and row.identity.tier == tier
        ]
        fits += [
            fit_columns(decisions, y, "entries", label=f"{y} ({endpoint_use}, tier {tier})")
            for y in _FITTED_DECISION_COLUMNS
        ]
    lists = [row for row in matching_rows if isinstance(row, ListRow)]
    fits += [fit_columns(lists, y, "entries", label=f"{y} ({endpoint_use})") for y in _FITTED_LIST_COLUMNS]
    return fits
