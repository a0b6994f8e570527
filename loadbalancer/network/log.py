"""Log lines on standard error, rate limited."""

from __future__ import annotations

import contextlib
import sys
import time
import traceback

MAX_LINES = 50  # in each interval: what is written has to stay bounded, whatever goes wrong how often
INTERVAL_S = 10.0


class RateLimitedLog:
    """Writes up to `MAX_LINES` lines to standard error in each interval, and drops the rest."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._interval = 0  # its number, counted on the monotonic clock
        self._lines = 0

    def write(self, text: str) -> None:
        """Write a line, unless the interval has had all its lines."""
        interval = int(time.monotonic() / INTERVAL_S)
        if interval != self._interval:
            self._interval = interval
            self._lines = 0
        self._lines += 1
        if self._lines <= MAX_LINES:
            # Guards against a standard error that is closed: it must not end the balancer.
            with contextlib.suppress(OSError):
                print(f"{self._name}: {text}", file=sys.stderr, flush=True)

    def exception(self, text: str) -> None:
        """Write a line and the traceback of the exception that is being handled."""
        self.write(f"{text}\n{traceback.format_exc()}")
