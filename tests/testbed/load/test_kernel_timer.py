"""The precise timer of the load."""

import time

from testbed.load.kernel_timer import KernelTimer
from tests.support.loopback import run


def test_a_timer_fires_no_sooner_than_set_and_again_each_time() -> None:
    async def scenario() -> None:
        timer = KernelTimer()
        for seconds in (0.003, 0.0, 0.002, -1.0):
            begun = time.perf_counter()
            await timer.sleep(seconds)
            assert time.perf_counter() - begun >= seconds
        timer.close()

    run(scenario())
