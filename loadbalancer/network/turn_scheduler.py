"""Shares each turn of the event loop between the connections that have work to do.

A turn is one iteration of the event loop: it begins where the loop runs the callbacks of `call_soon`. A
connection whose peer sends much at once would otherwise delay all others until its input has been worked off.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    import asyncio

SHARES_PER_TURN = 8
"""Number of shares in one turn, over all connections."""

MIN_BACKLOG_SHARES = 2
"""Number of shares in one turn that connections with a backlog get, however many others wait."""


class Worker(Protocol):
    """A connection with work to do."""

    def run_share(self) -> bool:
        """Do a share of the work, whose size is limited; return whether there is more to do now."""


class TurnScheduler:
    """Runs workers, at most `SHARES_PER_TURN` shares in each turn.

    A worker that asks for a share gets it at once, unless the turn is used up or others wait. A worker that
    still has work after its share has a backlog; it waits for the next turn, behind the workers without one.

    Args:
        loop: The event loop.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._waiting: deque[Worker] = deque()
        self._backlogged: deque[Worker] = deque()
        self._queued: set[Worker] = set()
        self._remaining_shares = SHARES_PER_TURN
        self._is_turn_scheduled = False
        self._running: Worker | None = None

    def request_share(self, worker: Worker) -> None:
        """Run a share of the worker now, or in one of the next turns.

        No effect while the worker is queued or running; it then continues as far as its share reaches.
        """
        if worker is self._running or worker in self._queued:
            return
        if self._running is None and self._remaining_shares > 0 and not self._waiting:
            self._run(worker)
        else:
            self._enqueue(self._waiting, worker)

    def _run(self, worker: Worker) -> None:
        self._remaining_shares -= 1
        if self._remaining_shares <= 0:
            self._schedule_turn()
        self._running = worker
        try:
            has_more = worker.run_share()
        finally:
            self._running = None
        if has_more and worker not in self._queued:
            self._enqueue(self._backlogged, worker)

    def _enqueue(self, queue: deque[Worker], worker: Worker) -> None:
        self._queued.add(worker)
        queue.append(worker)
        self._schedule_turn()

    def _run_turn(self) -> None:
        """Begin a turn: the loop runs this at most once in each of its iterations."""
        self._is_turn_scheduled = False
        self._remaining_shares = SHARES_PER_TURN
        # The lengths are taken now, so that a worker gets at most one share in a turn.
        waiting_count = min(len(self._waiting), SHARES_PER_TURN)
        backlog_count = min(len(self._backlogged), max(SHARES_PER_TURN - waiting_count, MIN_BACKLOG_SHARES))
        try:
            self._run_first(self._waiting, waiting_count)
            self._run_first(self._backlogged, backlog_count)
        finally:
            if self._waiting or self._backlogged:
                self._schedule_turn()

    def _run_first(self, queue: deque[Worker], count: int) -> None:
        for _ in range(count):
            worker = queue.popleft()
            self._queued.discard(worker)
            self._run(worker)

    def _schedule_turn(self) -> None:
        if not self._is_turn_scheduled:
            self._is_turn_scheduled = True
            self._loop.call_soon(self._run_turn)
