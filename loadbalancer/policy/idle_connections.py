"""The idle time after which connections are dead, learned from attempts on idle connections."""

import math
from bisect import bisect_left
from collections import deque

MAX_SAMPLES = 40
"""Number of the most recent attempts on idle connections, from which the limit is learned.

After a change of the true limit, 40 such attempts replace the old evidence.
"""
MIN_UNRESPONSIVE = 2.0
"""Minimum number of attempts without a response that is needed to infer a limit.

A single one may be due to the endpoint.
"""
MIN_UNRESPONSIVE_FRACTION = 0.6
"""Minimum fraction of attempts without a response among those on connections idle for the limit or longer.

It is less than 1 because other attempts may have used a connection in the meantime, which has then been idle
for less time than estimated.
"""


class IdleConnectionLimit:
    """Learns the idle time after which connections are dead.

    A middlebox or the endpoint may drop an idle connection without sending a packet, and each attempt on such
    a connection takes its full timeout. The drawback is that, where attempts get no response for another
    reason, working connections are closed and attempts have to open new ones.
    """

    def __init__(self) -> None:
        # For each attempt: the idle time of its connection in milliseconds, and whether it got no response.
        self._samples: deque[tuple[float, bool]] = deque(maxlen=MAX_SAMPLES)
        self.limit_ms = math.inf  # the shortest idle time at which connections are found dead

    def record(self, idle_ms: float, *, is_unresponsive: bool) -> None:
        """Record an attempt on a connection that had been idle, and update the limit.

        The limit is the shortest idle time t of an attempt without a response such that the attempts with an
        idle time of t or longer satisfy both `MIN_UNRESPONSIVE` and `MIN_UNRESPONSIVE_FRACTION`.

        Args:
            idle_ms: How long the connection had been idle; 0 if it was new or in use; such attempts are
                ignored.
            is_unresponsive: Whether the attempt got no response.
        """
        if not idle_ms:
            return
        self._samples.append((idle_ms, is_unresponsive))
        unresponsive = sorted([idle for idle, was_unresponsive in self._samples if was_unresponsive])
        idle_times = sorted([idle for idle, _ in self._samples]) if unresponsive else []
        self.limit_ms = math.inf
        for i, idle in enumerate(unresponsive):
            attempts_idle_as_long = len(idle_times) - bisect_left(idle_times, idle)
            if len(unresponsive) - i >= max(
                MIN_UNRESPONSIVE, MIN_UNRESPONSIVE_FRACTION * attempts_idle_as_long
            ):
                self.limit_ms = idle
                return
