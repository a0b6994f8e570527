"""Real balancers as processes of the testbed."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

import psutil
import pytest

from testbed.balancer import real
from testbed.balancer.real import BalancerExitedError, RealBalancer
from tests.support.loopback import config_text, run


def _started(host: str, **settings: object) -> str:
    text = config_text("127.0.0.1:1", [], **settings)
    return text.replace('"listen": "127.0.0.1:0"', f'"listen": "{real.free_address(host)}"')


def test_a_real_balancer_is_started_reached_and_stopped_by_id(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("tempfile.tempdir", str(tmp_path))

    async def scenario() -> None:
        balancer = await RealBalancer.start(_started("127.81.0.1"), real.SAME_PYTHON)
        try:
            await balancer.ready(10.0)
            assert psutil.Process(balancer.pid).cmdline()[-2:] == ["-m", "loadbalancer"]
            assert psutil.Process(balancer.pid).ppid() == os.getpid()
            assert balancer.address[0] == "127.81.0.1"
            assert list(tmp_path.iterdir())
        finally:
            status = await balancer.stop()
        assert status == 0
        assert not psutil.pid_exists(balancer.pid)
        assert list(tmp_path.iterdir()) == []

    run(scenario())


def test_a_balancer_that_ends_at_once_says_why(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("tempfile.tempdir", str(tmp_path))

    async def scenario() -> None:
        balancer = await RealBalancer.start(_started("127.81.0.2"), "echo no licence >&2; exit 7")
        with pytest.raises(BalancerExitedError, match="ended with 7: no licence"):
            await balancer.ready(10.0)
        assert await balancer.stop() == 7
        assert list(tmp_path.iterdir()) == []

    run(scenario())


def test_one_that_ignores_the_request_to_end_is_killed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("tempfile.tempdir", str(tmp_path))

    async def scenario() -> None:
        command = f"trap '' TERM; echo up; exec {sys.executable} -c 'import time; time.sleep(60)'"
        balancer = await RealBalancer.start(_started("127.81.0.3"), command)
        while "up" not in balancer.log():
            await asyncio.sleep(0.005)
        assert await balancer.stop(kill_after_s=0.0) == -9

    run(scenario())
