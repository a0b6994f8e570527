"""The clock that the policy sees: Unix milliseconds that never go backwards."""

from __future__ import annotations

import time


class Clock:
    """Unix milliseconds at the start, plus what the monotonic clock has advanced since.

    It never goes backwards, and its times compare with the start times of endpoints (`since_ms`).
    """

    def __init__(self) -> None:
        self._offset_ms = time.time() * 1000 - time.monotonic() * 1000

    def now(self) -> float:
        """The current time in milliseconds."""
        return self._offset_ms + time.monotonic() * 1000
