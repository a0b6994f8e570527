"""The rows of the run on list sizes, and how their costs grow from one length of the list to the next."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from typing import Any, Literal

from testbed.results import OMITTED_IF_NONE, Row
from testbed.runs.list_size.plan import Keeps
from testbed.runs.list_size.rounds import RoundColumns


@dataclass(frozen=True, slots=True, kw_only=True)
class CellName(Row):
    """What tells a cell from the others."""

    measured: Literal["decision", "list"]
    entries: int
    """The length of the list."""
    keeps: Keeps
    tier: int
    """The tier sent to."""


@dataclass(frozen=True, slots=True, kw_only=True)
class DecisionRow(Row):
    """Decisions on requests; times in microseconds.

    `arrival` is a request's arrival, `end` the end of an attempt that succeeded. Columns on growth hold the
    power of the length with which the cost grew since the size before.
    """

    cell: CellName
    arrival_us_median: float
    arrival_us_mean: float
    arrival_us_99: float
    end_us_median: float
    end_us_mean: float
    end_us_99: float
    calls: int
    shed: int
    """Calls for which no attempt was made."""
    servers_called: int
    """Endpoints that calls were sent to, those of the warm-up among them."""
    rounds: RoundColumns
    arrival_us_mean_growth: float | None = field(default=None, metadata=OMITTED_IF_NONE)
    arrival_us_99_growth: float | None = field(default=None, metadata=OMITTED_IF_NONE)
    end_us_mean_growth: float | None = field(default=None, metadata=OMITTED_IF_NONE)


@dataclass(frozen=True, slots=True, kw_only=True)
class ListRow(Row):
    """The take-up of whole lists (medians in milliseconds) and of changes of one entry (in microseconds).

    `parse` is the JSON, `read` its check and conversion, `pools` the connection pools' part, `module` the
    policy's, `whole` all of them. Columns on growth hold the power of the length with which the cost grew
    since the size before.
    """

    cell: CellName
    list_bytes: int
    """The length of the body of a whole list."""
    delta_bytes: int
    """The length of the body of the last change."""
    list_parse_ms: float
    delta_parse_us: float
    list_read_ms: float
    delta_read_us: float
    list_pools_ms: float
    delta_pools_us: float
    list_module_ms: float
    delta_module_us: float
    list_whole_ms: float
    delta_whole_us: float
    delta_whole_us_99: float
    memory_kib: float
    """Memory that a balancer holds once its list is in force."""
    rounds: RoundColumns
    delta_module_us_growth: float | None = field(default=None, metadata=OMITTED_IF_NONE)
    list_module_ms_growth: float | None = field(default=None, metadata=OMITTED_IF_NONE)


ListSizeRow = DecisionRow | ListRow

_DECISION_COSTS = ("arrival_us_mean", "arrival_us_99", "end_us_mean")
_LIST_COSTS = ("delta_module_us", "list_module_ms")


def with_growth(rows: Sequence[ListSizeRow]) -> list[ListSizeRow]:
    """Add to each row the power of the length with which its costs grew since the size before.

    Args:
        rows: Rows of all sizes, ascending.

    Returns:
        The rows in the same order; a power is 0 where a cost is flat and 1 where it grows as the length does.
        The rows of the first size stay as they are.
    """
    last_rows: dict[tuple[str, str, int], ListSizeRow] = {}
    grown: list[ListSizeRow] = []
    for row in rows:
        key = (row.cell.measured, row.cell.keeps, row.cell.tier)
        last = last_rows.get(key)
        grown.append(row if last is None else _with_growth_since(last, row))
        last_rows[key] = row
    return grown


def _with_growth_since(last: ListSizeRow, row: ListSizeRow) -> ListSizeRow:
    longer = math.log(row.cell.entries / last.cell.entries)
    costs = _DECISION_COSTS if isinstance(row, DecisionRow) else _LIST_COSTS
    growth: dict[str, Any] = {}
    for cost in costs:
        ratio = getattr(row, cost) / getattr(last, cost)
        growth[f"{cost}_growth"] = math.log(ratio) / longer
    return replace(row, **growth)
