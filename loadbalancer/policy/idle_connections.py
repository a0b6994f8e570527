"""How long idle connections live, learned from the attempts made on them."""

import math
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
        dead = sorted(idle for idle, was_silent in self._samples if was_silent)
        as_long = {idle: sum(other >= idle for other, _ in self._samples) for idle in dead}
        known = (
            idle
            for i, idle in enumerate(dead)
            if len(dead) - i >= max(MIN_SILENT, MIN_SILENT_FRACTION * as_long[idle])
        )
        self.limit_ms = next(known, math.inf)
