"""Learns from attempts on idle connections how long a connection can be idle before it is dead."""

import math
from bisect import bisect_left
from collections import deque

MAX_SAMPLES = 40
"""The limit is learned from this number of most recent attempts on idle connections.

After a change of the true limit, the old samples are replaced within 40 such attempts.
"""
MIN_UNRESPONSIVE = 2.0
"""Minimum number of attempts without a response that are needed to infer a limit.

A single missing response may be caused by the endpoint instead of the connection.
"""
MIN_UNRESPONSIVE_FRACTION = 0.6
"""Of the attempts on connections idle for the limit or longer, the minimum fraction without a response.

It is less than 1 because the idle time of a connection may be overestimated: another attempt may have used
the connection in the meantime.
"""


class IdleConnectionLimit:
    """Learns the idle time after which connections are dead.

    A middlebox or the endpoint may drop an idle connection without sending a packet, and each attempt on such
    a connection would last until its timeout. The drawback is that, if attempts get no response for another
    reason, working connections are closed and later attempts have to open new ones.
    """

    def __init__(self) -> None:
        # For each attempt: the idle time of its connection in milliseconds, and whether it got no response.
        self._samples: deque[tuple[float, bool]] = deque(maxlen=MAX_SAMPLES)
        self.limit_ms = math.inf  # shortest idle time of dead connections; infinity if none is known

    def record(self, idle_ms: float, *, is_unresponsive: bool) -> None:
        """Record an attempt, and update the limit if the connection had been idle.

        The limit is the shortest idle time t of an attempt without a response such that the attempts with an
        idle time of t or longer satisfy both `MIN_UNRESPONSIVE` and `MIN_UNRESPONSIVE_FRACTION`.

        Args:
            idle_ms: How long the connection had been idle; 0 if it was new, in use or unknown, in which case
                the attempt is ignored.
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
