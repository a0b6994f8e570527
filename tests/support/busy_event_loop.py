"""Blocks the event loop as a busy process does."""

from __future__ import annotations

import time


def block_event_loop(duration_s: float) -> None:
    """Block the event loop: it accepts and reads nothing meanwhile, while the kernel does."""
    time.sleep(duration_s)
