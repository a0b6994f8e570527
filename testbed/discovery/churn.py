"""Generates changes of an endpoint list (single changes and rolling restarts), and applies them over time."""

from __future__ import annotations

import asyncio
import enum
import random
from typing import TYPE_CHECKING

from testbed.discovery.endpoint_history import REMOVED
from testbed.settings import EndpointEntry

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from testbed.discovery.service import Discovery

IN_SERVICE = "in_service"
DRAINING = "terminating"
MAX_UNAVAILABLE_DIVISOR = 20
"""The maximum number of entries out of service is the list length divided by this, but at least 1."""

Change = tuple[EndpointEntry, ...]
"""Entries that change at the same time."""


class _ChangeKind(enum.Enum):
    """The kind of a change of one entry."""

    RESTART = enum.auto()
    """The entry drains and will return."""
    DRAIN = enum.auto()
    """The entry drains and will be removed."""
    RETURN = enum.auto()
    """A restarted entry is in service again."""
    REMOVE = enum.auto()
    """A draining entry is removed."""
    REPLACE = enum.auto()
    """A new entry comes into service in place of a removed one."""


class _Churn:
    """The state of `single_changes`: which entries are in service, restarting, draining or removed."""

    def __init__(
        self, entries: Iterable[EndpointEntry], rng: random.Random, now_ms: Callable[[], float]
    ) -> None:
        self._rng = rng
        self._now_ms = now_ms
        self._in_service = {entry["name"]: entry for entry in entries}
        self._used_names = set(self._in_service)
        entry_count = len(self._in_service)
        self._min_in_service = entry_count - max(entry_count // MAX_UNAVAILABLE_DIVISOR, 1)
        self._restarting: list[EndpointEntry] = []
        self._draining: list[EndpointEntry] = []
        self._removed: list[EndpointEntry] = []

    def next_change(self) -> EndpointEntry:
        """Draw the next change and return the changed entry."""
        kind = self._rng.choice(self._possible_kinds())
        match kind:
            case _ChangeKind.RESTART:
                return self._drain(self._restarting)
            case _ChangeKind.DRAIN:
                return self._drain(self._draining)
            case _ChangeKind.REMOVE:
                return self._remove()
            case _ChangeKind.RETURN:
                return self._return_to_service()
            case _ChangeKind.REPLACE:
                return self._replace()

    def _possible_kinds(self) -> list[_ChangeKind]:
        """Return the possible kinds of change, in a fixed order that the random choice depends on."""
        kinds = []
        if len(self._in_service) > self._min_in_service:
            kinds += [_ChangeKind.RESTART, _ChangeKind.DRAIN]
        if self._restarting:
            kinds.append(_ChangeKind.RETURN)
        if self._draining:
            kinds.append(_ChangeKind.REMOVE)
        if self._removed:
            kinds.append(_ChangeKind.REPLACE)
        return kinds

    def _drain(self, destination: list[EndpointEntry]) -> EndpointEntry:
        entry = self._in_service.pop(self._rng.choice(list(self._in_service)))
        entry = entry | {"status": DRAINING}
        destination.append(entry)
        return entry

    def _remove(self) -> EndpointEntry:
        entry = self._draining.pop(self._rng.randrange(len(self._draining)))
        entry = entry | {"status": REMOVED}
        self._removed.append(entry)
        return entry

    def _return_to_service(self) -> EndpointEntry:
        return self._put_in_service(self._restarting.pop(0))

    def _replace(self) -> EndpointEntry:
        entry = self._removed.pop(0)
        return self._put_in_service(entry | {"name": self._new_name()})

    def _put_in_service(self, entry: EndpointEntry) -> EndpointEntry:
        entry = entry | {"status": IN_SERVICE, "since_ms": int(self._now_ms())}
        self._in_service[entry["name"]] = entry
        return entry

    def _new_name(self) -> str:
        """Draw a name that no entry has had before."""
        while (name := f"s-{self._rng.getrandbits(32):08x}") in self._used_names:
            pass
        self._used_names.add(name)
        return name


def single_changes(
    entries: Iterable[EndpointEntry], seed: int, now_ms: Callable[[], float]
) -> Iterator[Change]:
    """Yield an endless sequence of changes of one entry each.

    Entries restart, or drain and are removed and replaced by new ones. `MAX_UNAVAILABLE_DIVISOR` limits how
    many are restarting, draining or removed at the same time.

    Args:
        entries: The list at the start.
        seed: The seed of all random choices.
        now_ms: Returns Unix time in milliseconds, for `since_ms`.
    """
    churn = _Churn(entries, random.Random(seed), now_ms)
    while True:
        yield (churn.next_change(),)


def rolling_restart(
    entries: Iterable[EndpointEntry], batch_size: int, seed: int, now_ms: Callable[[], float]
) -> Iterator[Change]:
    """Yield the changes of a rolling restart of all entries, in batches of `batch_size`.

    Each batch drains, then returns to service.

    Args:
        entries: The list at the start.
        batch_size: The number of entries that restart together.
        seed: The seed of the random order.
        now_ms: Returns Unix time in milliseconds, for `since_ms`.
    """
    order = list(entries)
    random.Random(seed).shuffle(order)
    for i in range(0, len(order), batch_size):
        batch = order[i : i + batch_size]
        yield tuple([entry | {"status": DRAINING} for entry in batch])
        since_ms = int(now_ms())
        yield tuple([entry | {"status": IN_SERVICE, "since_ms": since_ms} for entry in batch])


async def apply_changes_over_time(
    discovery: Discovery, changes: Iterator[Change], times_s: Iterable[float]
) -> float:
    """Apply a change at each of the given times, without waiting for the balancers.

    Args:
        discovery: The discovery service whose list changes.
        changes: The changes; the function returns early if there are fewer changes than times.
        times_s: Seconds from now, ascending.

    Returns:
        The maximum lateness of a change in seconds.
    """
    loop = asyncio.get_running_loop()
    start_s, max_lateness_s = loop.time(), 0.0
    for time_s in times_s:
        change = next(changes, None)
        if change is None:
            break
        if (delay_s := start_s + time_s - loop.time()) > 0:
            await asyncio.sleep(delay_s)
        max_lateness_s = max(max_lateness_s, loop.time() - start_s - time_s)
        discovery.apply_changes(change)
    return max_lateness_s
