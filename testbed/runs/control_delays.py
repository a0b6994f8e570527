"""How long after a change of the list each balancer had it."""

from __future__ import annotations

import numpy as np
from numpy.typing import NDArray

Table = NDArray[np.float64]


def delays_ms(notes: list[tuple[int, int, float]], balancers: range, first: int, changed_at: Table) -> Table:
    """Milliseconds from each change (columns, from version `first` on) until a balancer (rows) had it.

    A balancer has a change with the first version noted that is as new; infinite where it noted none.
    """
    wanted = np.arange(first, first + len(changed_at))
    delays = np.full((len(balancers), len(changed_at)), np.inf)
    by_balancer: dict[int, list[tuple[int, float]]] = {number: [] for number in balancers}
    for number, index, at in notes:
        if number in by_balancer:
            by_balancer[int(number)].append((int(index), at))
    for row, number in enumerate(balancers):
        indexes = np.array([index for index, _ in by_balancer[number]])
        moments = np.array([*(at for _, at in by_balancer[number]), np.inf])
        delays[row] = (moments[np.searchsorted(indexes, wanted)] - changed_at) * 1000
    return delays


def spread(name: str, delays: Table) -> dict[str, float | None]:
    """The median, the 99th part in a hundred and the longest; None where nothing changed."""
    if not delays.size:
        return {f"{name}_{part}": None for part in ("median", "99", "longest")}
    return {
        f"{name}_median": float(np.median(delays)),
        f"{name}_99": float(np.percentile(delays, 99)),
        f"{name}_longest": float(delays.max()),
    }
