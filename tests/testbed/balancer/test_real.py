"""Real balancers as child processes of the testbed."""

from __future__ import annotations

import os
import sys
from typing import TYPE_CHECKING

import psutil
import pytest

from testbed.balancer import real
from testbed.balancer.real import BalancerExitedError, RealBalancer
from tests.support.configurations import config_text
from tests.support.waiting import wait_until

if TYPE_CHECKING:
    from pathlib import Path


def configuration_listening_on(host: str, **settings: object) -> str:
    text = config_text("127.0.0.1:1", [], **settings)
    return text.replace('"listen": "127.0.0.1:0"', f'"listen": "{real.find_free_address(host)}"')


def file_names(folder: Path) -> list[str]:
    return [path.name for path in folder.iterdir()]


async def test_balancer_starts_and_stops(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("tempfile.tempdir", str(tmp_path))

    balancer = await RealBalancer.start(configuration_listening_on("127.81.0.1"), real.SOURCE_TREE_COMMAND)
    try:
        await balancer.wait_until_ready(10.0)
        assert psutil.Process(balancer.pid).cmdline()[-2:] == ["-m", "loadbalancer"]
        assert psutil.Process(balancer.pid).ppid() == os.getpid()
        assert balancer.address[0] == "127.81.0.1"
        assert file_names(tmp_path)
    finally:
        status = await balancer.stop()
    assert status == 0
    assert not psutil.pid_exists(balancer.pid)
    assert file_names(tmp_path) == []


async def test_early_exit_error_quotes_log(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("tempfile.tempdir", str(tmp_path))

    balancer = await RealBalancer.start(
        configuration_listening_on("127.81.0.2"), "echo no licence >&2; exit 7"
    )
    with pytest.raises(
        BalancerExitedError, match="balancer exited with status 7 before it was ready: no licence"
    ):
        await balancer.wait_until_ready(10.0)
    assert await balancer.stop() == 7
    assert file_names(tmp_path) == []


async def test_balancer_that_ignores_sigterm_is_killed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("tempfile.tempdir", str(tmp_path))

    command = f"trap '' TERM; echo up; exec {sys.executable} -c 'import time; time.sleep(60)'"
    balancer = await RealBalancer.start(configuration_listening_on("127.81.0.3"), command)
    await wait_until(lambda: "up" in balancer.log(), "the process ignores SIGTERM")
    assert await balancer.stop(kill_after_s=0.0) == -9
