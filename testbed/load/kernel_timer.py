"""A timer with a higher resolution than the timers of an event loop."""

from __future__ import annotations

import asyncio
import ctypes
import os
import struct
import time

_LIBC = ctypes.CDLL(None, use_errno=True)
_TIMER_FLAGS = os.O_NONBLOCK | os.O_CLOEXEC
_EXPIRATION_COUNT_BYTES = 8
_NS_PER_S = 1_000_000_000

MAX_WAKE_UP_S = 0.0002
"""The maximum time that a sleeping core needs to wake up, in seconds.

The timer fires this long before the end of a sleep; after that, the event loop polls the clock.
"""


class KernelTimer:
    """Sleeps on a kernel timer, since the timers of an event loop have a resolution of a millisecond.

    Polling the clock for the complete sleep would take a core away from the measured processes.
    """

    def __init__(self) -> None:
        self._descriptor = _LIBC.timerfd_create(time.CLOCK_MONOTONIC, _TIMER_FLAGS)
        if self._descriptor < 0:
            raise OSError(ctypes.get_errno(), "timerfd_create")
        self._fired = asyncio.Event()
        asyncio.get_running_loop().add_reader(self._descriptor, self._on_fired)

    def _on_fired(self) -> None:
        os.read(self._descriptor, _EXPIRATION_COUNT_BYTES)
        self._fired.set()

    async def sleep(self, seconds: float) -> None:
        """Sleep for a time, or for one iteration of the event loop if the time is 0 or less."""
        until_s = time.perf_counter() + seconds
        delay_ns = max(round((seconds - MAX_WAKE_UP_S) * _NS_PER_S), 0)
        if delay_ns:  # setting a timer to 0 disarms it
            self._fired.clear()
            self._arm(delay_ns)
            await self._fired.wait()
        while True:
            await asyncio.sleep(0)
            if time.perf_counter() >= until_s:
                return

    def _arm(self, delay_ns: int) -> None:
        """Arm the timer to fire once after `delay_ns` nanoseconds."""
        interval_s, interval_ns = 0, 0
        timer_spec = struct.pack("qqqq", interval_s, interval_ns, *divmod(delay_ns, _NS_PER_S))
        if _LIBC.timerfd_settime(self._descriptor, 0, timer_spec, None) < 0:
            raise OSError(ctypes.get_errno(), "timerfd_settime")

    def close(self) -> None:
        """Close the timer's descriptor."""
        asyncio.get_running_loop().remove_reader(self._descriptor)
        os.close(self._descriptor)
