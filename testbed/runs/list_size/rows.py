"""The rows of a list-size run, and the growth of their costs from one length to the next."""

import math
from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from typing import Any, Literal

from testbed.results import OMITTED_IF_NONE, Row, stored_as
from testbed.runs.list_size.plan import EndpointUse
from testbed.runs.list_size.rounds import RoundColumns


@dataclass(frozen=True, slots=True, kw_only=True)
class BenchmarkIdentity(Row):
    """The columns that identify a benchmark."""

    measured: Literal["decision", "list"]
    entries: int
    """The length of the list."""
    keeps: EndpointUse
    """The endpoints that the balancer uses."""
    tier: int
    """The tier of the balancer."""


@dataclass(frozen=True, slots=True, kw_only=True)
class DecisionRow(Row):
    """Processing times of the policy in microseconds.

    `arrival` is for the arrival of a request, `end` for the end of a successful attempt. `with_growth`
    describes the growth columns.
    """

    identity: BenchmarkIdentity
    arrival_us_median: float
    arrival_us_mean: float
    p99_arrival_us: float = stored_as("arrival_us_99")
    end_us_median: float
    end_us_mean: float
    p99_end_us: float = stored_as("end_us_99")
    requests: int = stored_as("calls")
    shed: int
    """Requests for which no attempt was made."""
    endpoints_called: int = stored_as("servers_called")
    """The number of endpoints that received an attempt, in the warm-up or later."""
    rounds: RoundColumns
    arrival_us_mean_growth: float | None = field(default=None, metadata=OMITTED_IF_NONE)
    arrival_us_99_growth: float | None = field(default=None, metadata=OMITTED_IF_NONE)
    end_us_mean_growth: float | None = field(default=None, metadata=OMITTED_IF_NONE)


@dataclass(frozen=True, slots=True, kw_only=True)
class ListRow(Row):
    """Median processing times of snapshots (in milliseconds) and of deltas with one entry (in microseconds).

    `parse` is the parsing of JSON, `read` the validation and conversion, `pools` the update of connection
    pools, `module` the update of the policy, `total` the sum. `with_growth` describes the growth columns.
    """

    identity: BenchmarkIdentity
    list_bytes: int
    """The length of the body of a snapshot."""
    delta_bytes: int
    """The length of the body of the last delta."""
    list_parse_ms: float
    delta_parse_us: float
    list_read_ms: float
    delta_read_us: float
    list_pools_ms: float
    delta_pools_us: float
    list_module_ms: float
    delta_module_us: float
    list_total_ms: float = stored_as("list_whole_ms")
    delta_total_us: float = stored_as("delta_whole_us")
    delta_total_us_p99: float = stored_as("delta_whole_us_99")
    memory_kib: float
    """Memory of a balancer that has applied its list."""
    rounds: RoundColumns
    delta_module_us_growth: float | None = field(default=None, metadata=OMITTED_IF_NONE)
    list_module_ms_growth: float | None = field(default=None, metadata=OMITTED_IF_NONE)


ListSizeRow = DecisionRow | ListRow

_DECISION_GROWTH_COLUMNS = ("arrival_us_mean", "arrival_us_99", "end_us_mean")
_LIST_GROWTH_COLUMNS = ("delta_module_us", "list_module_ms")


def with_growth(rows: Sequence[ListSizeRow]) -> list[ListSizeRow]:
    """Add growth columns to each row: how its costs grew from the previous length of the list.

    The growth is the exponent ln(cost ratio) / ln(length ratio): 0 if the cost is constant, 1 if it is
    proportional to the length.

    Args:
        rows: Rows of all lengths, ascending.

    Returns:
        The rows in the same order; rows of the first length are unchanged.
    """
    previous_rows: dict[tuple[str, str, int], ListSizeRow] = {}
    rows_with_growth: list[ListSizeRow] = []
    for row in rows:
        key = (row.identity.measured, row.identity.keeps, row.identity.tier)
        previous = previous_rows.get(key)
        rows_with_growth.append(row if previous is None else _with_growth_since(previous, row))
        previous_rows[key] = row
    return rows_with_growth


def _with_growth_since(previous: ListSizeRow, row: ListSizeRow) -> ListSizeRow:
    log_length_ratio = math.log(row.identity.entries / previous.identity.entries)
    cost_columns = _DECISION_GROWTH_COLUMNS if isinstance(row, DecisionRow) else _LIST_GROWTH_COLUMNS
    growth: dict[str, Any] = {}
    columns, previous_columns = row.columns(), previous.columns()
    for column in cost_columns:
        ratio = columns[column] / previous_columns[column]
        growth[f"{column}_growth"] = math.log(ratio) / log_length_ratio
    return replace(row, **growth)
