"""Sleeps that are more precise than those of an event loop."""

from __future__ import annotations

import asyncio
import ctypes
import os
import struct
import time

_LIBC = ctypes.CDLL(None, use_errno=True)
_TIMER_FLAGS = os.O_NONBLOCK | os.O_CLOEXEC
_EXPIRATION_BYTES = 8
_NANOSECONDS = 1_000_000_000

WAKE_UP_S = 0.0002
"""A core that slept takes up to that long to wake up: the timer fires earlier by it, and the rest of the time
passes in turns of the loop."""


class KernelTimer:
    """Sleeps on a timer of the kernel: an event loop's own timers are right to a millisecond only.

    Watching the clock for longer would keep a core busy, for which the processes that a request wakes up
    would then have to wait.
    """

    def __init__(self) -> None:
        self._descriptor = _LIBC.timerfd_create(time.CLOCK_MONOTONIC, _TIMER_FLAGS)
        if self._descriptor < 0:
            raise OSError(ctypes.get_errno(), "timerfd_create")
        self._fired = asyncio.Event()
        asyncio.get_running_loop().add_reader(self._descriptor, self._on_fired)

    def _on_fired(self) -> None:
        os.read(self._descriptor, _EXPIRATION_BYTES)
        self._fired.set()

    async def sleep(self, seconds: float) -> None:
        """Return after so long, or after one turn of the loop if that is 0 or less."""
        until = time.perf_counter() + seconds
        delay_ns = max(round((seconds - WAKE_UP_S) * _NANOSECONDS), 0)
        if delay_ns:  # a timer that is set to 0 never fires
            self._fired.clear()
            self._set(delay_ns)
            await self._fired.wait()
        await asyncio.sleep(0)
        while time.perf_counter() < until:
            await asyncio.sleep(0)

    def _set(self, delay_ns: int) -> None:
        """Let the timer fire once, after so many nanoseconds."""
        repeat_s, repeat_ns = 0, 0
        setting = struct.pack("qqqq", repeat_s, repeat_ns, *divmod(delay_ns, _NANOSECONDS))
        if _LIBC.timerfd_settime(self._descriptor, 0, setting, None) < 0:
            raise OSError(ctypes.get_errno(), "timerfd_settime")

    def close(self) -> None:
        """Give the timer back."""
        asyncio.get_running_loop().remove_reader(self._descriptor)
        os.close(self._descriptor)
