"""A virtual clock with an event queue, for discrete-event simulations.

It drives the simulations of the testbed and of the policy's tests. All times are milliseconds.
"""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable


class VirtualClock:
    """Simulated time, and the callbacks that are scheduled on it.

    Callbacks run in the order of their times; those with the same time run in the order of scheduling.

    Attributes:
        now: The current time, in milliseconds from the start of the simulation.
        events_run: The number of callbacks that have run so far.
    """

    def __init__(self, now: float = 0.0) -> None:
        self.now = now
        self.events_run = 0
        self._queue: list[tuple[float, int, Callable[[Any], None], Any]] = []
        self._last_sequence_number = 0

    def schedule(self, time_ms: float, callback: Callable[[Any], None], argument: Any) -> None:
        """Schedule `callback(argument)` for a time, or for the current time if the given one has passed."""
        self._last_sequence_number += 1
        heapq.heappush(self._queue, (max(time_ms, self.now), self._last_sequence_number, callback, argument))

    def run(self, max_events: int) -> bool:
        """Run callbacks until the queue is empty or the limit is reached.

        Args:
            max_events: The limit on `events_run`, which includes the callbacks of earlier calls.

        Returns:
            True if the queue is empty, False if the limit was reached first.
        """
        queue, pop = self._queue, heapq.heappop  # local variables are faster in this hot loop
        while queue:
            if self.events_run >= max_events:
                return False
            self.events_run += 1
            self.now, _, callback, argument = pop(queue)
            callback(argument)
        return True

    def run_until(self, time_ms: float) -> None:
        """Run the callbacks scheduled up to and including a time, then set the clock to that time."""
        queue = self._queue
        while queue and queue[0][0] <= time_ms:
            self.events_run += 1
            self.now, _, callback, argument = heapq.heappop(queue)
            callback(argument)
        self.now = max(self.now, time_ms)
