"""Changes of an endpoint list: single ones without end, rolling restarts, and how they are played."""

from __future__ import annotations

import asyncio
import enum
import random
from collections.abc import Callable, Iterable, Iterator

from testbed.discovery.endpoint_history import REMOVED
from testbed.discovery.service import Discovery
from testbed.settings import EndpointEntry

IN_SERVICE = "in_service"
DRAINING = "terminating"
SHORTEST_FRACTION = 20
"""Churn leaves at most one in so many entries out of the list."""

Change = tuple[EndpointEntry, ...]
"""Entries that change at the same moment."""


class _Move(enum.Enum):
    """A change of one entry."""

    RESTART = enum.auto()
    """It drains, and is to return."""
    DRAIN = enum.auto()
    """It drains, and is to be removed."""
    RETURN = enum.auto()
    """A restarted one is back in service."""
    REMOVE = enum.auto()
    """A draining one is removed."""
    REPLACE = enum.auto()
    """A new one comes into service for one that was removed."""


class _Churn:
    """The state of `single_changes`: which entries are in service, restarting, draining or removed."""

    def __init__(
        self, entries: Iterable[EndpointEntry], source: random.Random, now_ms: Callable[[], float]
    ) -> None:
        self._source = source
        self._now_ms = now_ms
        self._in_service = {entry["name"]: entry for entry in entries}
        self._used_names = set(self._in_service)
        length = len(self._in_service)
        self._shortest_length = length - max(length // SHORTEST_FRACTION, 1)
        self._restarting: list[EndpointEntry] = []
        self._draining: list[EndpointEntry] = []
        self._removed: list[EndpointEntry] = []

    def next_change(self) -> EndpointEntry:
        """Draw the next change and return the changed entry."""
        move = self._source.choice(self._possible_moves())
        match move:
            case _Move.RESTART:
                return self._drain(self._restarting)
            case _Move.DRAIN:
                return self._drain(self._draining)
            case _Move.REMOVE:
                return self._remove()
            case _Move.RETURN:
                return self._return()
            case _Move.REPLACE:
                return self._replace()

    def _possible_moves(self) -> list[_Move]:
        """Return the moves that the list allows; their order is part of what a seed gives."""
        moves = []
        if len(self._in_service) > self._shortest_length:
            moves += [_Move.RESTART, _Move.DRAIN]
        if self._restarting:
            moves.append(_Move.RETURN)
        if self._draining:
            moves.append(_Move.REMOVE)
        if self._removed:
            moves.append(_Move.REPLACE)
        return moves

    def _drain(self, destination: list[EndpointEntry]) -> EndpointEntry:
        entry = self._in_service.pop(self._source.choice(list(self._in_service)))
        entry = entry | {"status": DRAINING}
        destination.append(entry)
        return entry

    def _remove(self) -> EndpointEntry:
        entry = self._draining.pop(self._source.randrange(len(self._draining)))
        entry = entry | {"status": REMOVED}
        self._removed.append(entry)
        return entry

    def _return(self) -> EndpointEntry:
        return self._put_in_service(self._restarting.pop(0))

    def _replace(self) -> EndpointEntry:
        entry = self._removed.pop(0)
        return self._put_in_service(entry | {"name": self._new_name()})

    def _put_in_service(self, entry: EndpointEntry) -> EndpointEntry:
        entry = entry | {"status": IN_SERVICE, "since_ms": int(self._now_ms())}
        self._in_service[entry["name"]] = entry
        return entry

    def _new_name(self) -> str:
        """Draw a name that no entry has had."""
        while (name := f"s-{self._source.getrandbits(32):08x}") in self._used_names:
            pass
        self._used_names.add(name)
        return name


def single_changes(
    entries: Iterable[EndpointEntry], seed: int, now_ms: Callable[[], float]
) -> Iterator[Change]:
    """Yield changes of one entry each, without end.

    Servers restart, or drain and are removed, and new ones come in place of these. The list keeps its length
    within one in `SHORTEST_FRACTION`.

    Args:
        entries: The list at the start.
        seed: All changes are drawn from it.
        now_ms: Returns Unix time in milliseconds, for `since_ms`.
    """
    churn = _Churn(entries, random.Random(seed), now_ms)
    while True:
        yield (churn.next_change(),)


def restarts(
    entries: Iterable[EndpointEntry], step: int, seed: int, now_ms: Callable[[], float]
) -> Iterator[Change]:
    """Yield a rolling restart of all entries, `step` at a time: each step drains, then returns.

    Args:
        entries: The list at the start.
        step: How many entries restart at the same time.
        seed: The order is drawn from it.
        now_ms: Returns Unix time in milliseconds, for `since_ms`.
    """
    order = list(entries)
    random.Random(seed).shuffle(order)
    for i in range(0, len(order), step):
        batch = order[i : i + step]
        yield tuple([entry | {"status": DRAINING} for entry in batch])
        since_ms = int(now_ms())
        yield tuple([entry | {"status": IN_SERVICE, "since_ms": since_ms} for entry in batch])


async def play_changes(discovery: Discovery, changes: Iterator[Change], moments: Iterable[float]) -> float:
    """Apply a change at each moment, whatever the balancers do.

    Args:
        discovery: The list that changes.
        changes: The changes; where they end, the play ends.
        moments: Seconds from now, ascending.

    Returns:
        The longest lateness of a change in seconds.
    """
    loop = asyncio.get_running_loop()
    start_s, longest_lateness_s = loop.time(), 0.0
    for moment in moments:
        change = next(changes, None)
        if change is None:
            break
        if (pause_s := start_s + moment - loop.time()) > 0:
            await asyncio.sleep(pause_s)
        longest_lateness_s = max(longest_lateness_s, loop.time() - start_s - moment)
        discovery.apply_changes(change)
    return longest_lateness_s
