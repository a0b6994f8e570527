"""The idle time after which connections are found dead, learned from the attempts on idle connections."""

import math
from bisect import bisect_left
from collections import deque

# Number of the latest attempts on idle connections that the limit is learned from: after a change of the
# true limit, the old evidence has been replaced after 40 such attempts.
MAX_SAMPLES = 40
# Attempts without a response, at least, that show that connections are dead from an idle time on: a single
# one may be the endpoint's fault.
MIN_UNRESPONSIVE = 2.0
# Fraction of the attempts at that idle time or a longer one, at least, that got no response. It is less than
# 1 since other attempts keep some connections alive, which have then been idle for less than estimated.
MIN_UNRESPONSIVE_FRACTION = 0.6


class IdleConnectionLimit:
    """Learns the idle time from which on connections are dead.

    Guards against connections that a middlebox or the endpoint has dropped without a packet: each attempt on
    one costs its full timeout. The cost: where attempts get no response for another reason, connections that
    work are closed, and attempts pay for a new connect.
    """

    def __init__(self) -> None:
        # Idle time of an attempt's connection in milliseconds, and whether the attempt got no response.
        self._samples: deque[tuple[float, bool]] = deque(maxlen=MAX_SAMPLES)
        self.limit_ms = math.inf  # the shortest idle time at which connections are found dead

    def record(self, idle_ms: float, *, is_unresponsive: bool) -> None:
        """Count an attempt on a connection that had been idle, and learn the limit again.

        The limit is the shortest idle time t of an attempt without a response such that, of the attempts with
        an idle time of t or more, at least `MIN_UNRESPONSIVE` and `MIN_UNRESPONSIVE_FRACTION` got no
        response.

        Args:
            idle_ms: How long the connection had been idle; 0 if it was new or in use, which is no evidence.
            is_unresponsive: Whether the attempt got no response.
        """
        if not idle_ms:
            return
        self._samples.append((idle_ms, is_unresponsive))
        unresponsive = sorted([idle for idle, was_unresponsive in self._samples if was_unresponsive])
        idle_times = sorted([idle for idle, _ in self._samples]) if unresponsive else []
        self.limit_ms = math.inf
        for i, idle in enumerate(unresponsive):
            not_shorter = len(idle_times) - bisect_left(idle_times, idle)
            if len(unresponsive) - i >= max(MIN_UNRESPONSIVE, MIN_UNRESPONSIVE_FRACTION * not_shorter):
                self.limit_ms = idle
                return
