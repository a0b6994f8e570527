"""The clock of the policy: Unix time in milliseconds that never goes backwards."""

from __future__ import annotations

import time


class Clock:
    """Returns the Unix time at its creation plus the time that has passed since on the monotonic clock.

    Later changes of the system clock have no effect. The times of this clock can be compared with the start
    times of endpoints, which are Unix times too.
    """

    def __init__(self) -> None:
        self._offset_ms = time.time() * 1000 - time.monotonic() * 1000

    def now(self) -> float:
        """Return the current time in milliseconds."""
        return self._offset_ms + time.monotonic() * 1000
