"""Simulates a busy event loop."""

from __future__ import annotations

import time


def block_event_loop(duration_s: float) -> None:
    """Block the event loop; the kernel still establishes connections and receives data meanwhile."""
    time.sleep(duration_s)
