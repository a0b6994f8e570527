"""Rate-limited log lines on standard error."""

from __future__ import annotations

import contextlib
import sys
import time
import traceback

INTERVAL_S = 10.0
"""Length of the interval to which `MAX_LINES` applies."""

MAX_LINES = 50
"""Maximum number of lines in an interval; it limits the output of a recurring error."""


class RateLimitedLog:
    """Writes up to `MAX_LINES` lines to standard error in each interval, and drops further ones.

    Args:
        name: The prefix of each line.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._interval = 0  # number of the interval on the monotonic clock
        self._lines = 0

    def write(self, text: str) -> None:
        """Write a line, unless the interval has reached its limit."""
        interval = int(time.monotonic() / INTERVAL_S)
        if interval != self._interval:
            self._interval = interval
            self._lines = 0
        self._lines += 1
        if self._lines <= MAX_LINES:
            # A closed standard error must not end the process.
            with contextlib.suppress(OSError):
                print(f"{self._name}: {text}", file=sys.stderr, flush=True)  # noqa: T201  this is the log

    def exception(self, text: str) -> None:
        """Write a line and the traceback of the exception that is being handled."""
        self.write(f"{text}\n{traceback.format_exc()}")
