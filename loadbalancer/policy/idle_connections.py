"""How long idle connections live, learned from the attempts made on them."""

import math
from bisect import bisect_left
from collections import deque

IDLE_SAMPLES = 40  # so many last attempts on idle connections tell how long these live
# A connection counts as dead after an idle time from which on so many attempts, and this part, were silent.
MIN_SILENT = 2.0
MIN_SILENT_FRACTION = 0.6


class IdleConnectionLimit:
    """Learns from which idle time on connections are dead.

    Guards against connections dropped unseen, by anyone; harms by handshakes if the silence is another.
    """

    def __init__(self) -> None:
        # Idle time of an attempt's connection, and whether nothing came back.
        self._samples: deque[tuple[float, bool]] = deque(maxlen=IDLE_SAMPLES)
        self.limit_ms = math.inf  # the least idle time at which connections were dead

    def record(self, idle_ms: float, is_silent: bool) -> None:
        """Count an attempt on a connection that was idle for so long; 0 tells nothing."""
        if not idle_ms:
            return
        self._samples.append((idle_ms, is_silent))
        silent = sorted([idle for idle, was_silent in self._samples if was_silent])
        idle_times = sorted([idle for idle, _ in self._samples]) if silent else []
        self.limit_ms = math.inf
        for i, idle in enumerate(silent):
            at_least_as_long = len(idle_times) - bisect_left(idle_times, idle)
            if len(silent) - i >= max(MIN_SILENT, MIN_SILENT_FRACTION * at_least_as_long):
                self.limit_ms = idle
                return
