"""How long idle connections live, learned from the attempts made on them."""

import math
from collections import deque
from dataclasses import dataclass

IDLE_SAMPLES = 40  # so many last attempts on idle connections tell how long these live
# A connection counts as dead after an idle time from which on so many attempts, and this part, were silent.
MIN_SILENT = 2.0
MIN_SILENT_FRACTION = 0.6


@dataclass(slots=True, eq=False, repr=False)
class IdleSample:
    """An attempt on a connection that had been idle, and whether nothing came back."""

    idle_ms: float
    is_silent: bool


class IdleConnectionLimit:
    """Learns from which idle time on connections are dead.

    Guards against connections dropped unseen, by anyone; harms by handshakes if the silence is another.
    """

    def __init__(self) -> None:
        self._samples: deque[IdleSample] = deque(maxlen=IDLE_SAMPLES)
        self.limit_ms = math.inf  # the least idle time at which connections were dead

    def record(self, idle_ms: float, is_silent: bool) -> None:
        """Count an attempt on a connection that was idle for so long; 0 tells nothing."""
        if not idle_ms:
            return
        self._samples.append(IdleSample(idle_ms, is_silent))
        dead = sorted(s.idle_ms for s in self._samples if s.is_silent)
        as_long = {idle: sum(s.idle_ms >= idle for s in self._samples) for idle in dead}
        known = (
            idle
            for i, idle in enumerate(dead)
            if len(dead) - i >= max(MIN_SILENT, MIN_SILENT_FRACTION * as_long[idle])
        )
        self.limit_ms = next(known, math.inf)
