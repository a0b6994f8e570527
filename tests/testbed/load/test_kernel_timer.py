"""The precise timer of the load."""

import time

from testbed.load.kernel_timer import KernelTimer


async def test_a_timer_fires_no_sooner_than_set_and_again_each_time() -> None:
    timer = KernelTimer()
    for seconds in (0.003, 0.0, 0.002, -1.0):
        began_s = time.perf_counter()
        await timer.sleep(seconds)
        assert time.perf_counter() - began_s >= seconds
    timer.close()
