"""How the costs of a list grow from one length to the next."""

from __future__ import annotations

import math
from typing import Any

_CURVED = ("arrival_us_mean", "arrival_us_99", "end_us_mean", "delta_module_us", "list_module_ms")


def add_growth(rows: list[dict[str, Any]]) -> None:
    """Beside a cost, the power of the length with which it grew since the size before: 0 flat, 1 straight."""
    before: dict[tuple[Any, ...], dict[str, Any]] = {}
    for row in rows:
        cell = row["measured"], row["keeps"], row["tier"]
        if (last := before.get(cell)) is not None:
            longer = math.log(row["entries"] / last["entries"])
            for name in _CURVED:
                if name in row:
                    row[f"{name}_growth"] = math.log(row[name] / last[name]) / longer
        before[cell] = row
