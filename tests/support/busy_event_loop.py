"""Simulates a busy event loop."""

from __future__ import annotations

import time


def block_event_loop(duration_s: float) -> None:
    """Block the event loop, which then accepts and reads nothing; the kernel still does."""
    time.sleep(duration_s)
