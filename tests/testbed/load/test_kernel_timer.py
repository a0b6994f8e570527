"""The kernel timer that the load uses to sleep until the next request."""

import time

from testbed.load.kernel_timer import KernelTimer


async def test_timer_never_fires_early() -> None:
    timer = KernelTimer()
    for seconds in (0.003, 0.0, 0.002, -1.0):
        start_s = time.perf_counter()
        await timer.sleep(seconds)
        assert time.perf_counter() - start_s >= seconds
    timer.close()
