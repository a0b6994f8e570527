"""The program as a process: its configuration errors and its signals."""

from __future__ import annotations

import time
from typing import Any

import pytest

from tests.network.loopback import (
    config_text,
)


def test_config_errors_are_one_line_and_an_exit_code(tmp_path: Any) -> None:
    import os
    import subprocess
    import sys

    path = tmp_path / "config.json"
    environment = {n: v for n, v in os.environ.items() if not n.startswith("LB_")}
    for text in (None, "", "{}", "[]", config_text("nowhere", [])):
        if text is not None:
            path.write_text(text)
            environment["LB_CONFIG"] = str(path)
        done = subprocess.run(
            [sys.executable, "-m", "loadbalancer"], env=environment, capture_output=True, text=True
        )
        assert done.returncode != 0
        assert len(done.stderr.splitlines()) == 1, done.stderr


def test_signals_that_come_while_the_program_goes_down_change_nothing(tmp_path: Any) -> None:
    """The event loop leaves them harmless as it closes; nothing of ours may make them deadly again."""
    import os
    import subprocess
    import sys

    program = """if True:
        import asyncio, os, signal
        from loadbalancer import __main__ as program
        serve = program.serve
        async def serve_briefly(*args):
            asyncio.get_running_loop().call_soon(os.kill, os.getpid(), signal.SIGTERM)
            await serve(*args)
        program.serve = serve_briefly
        assert program.main() == 0
        for number in (signal.SIGHUP, signal.SIGTERM):
            os.kill(os.getpid(), number)
        print("alive")
    """
    path = tmp_path / "config.json"
    path.write_text(config_text("127.0.0.1:9", []))
    done = subprocess.run(
        [sys.executable, "-c", program],
        env=os.environ | {"LB_CONFIG": str(path)},
        capture_output=True,
        text=True,
    )
    assert (done.returncode, done.stdout) == (0, "alive\n"), done.stderr


def test_what_is_null_counts_as_absent() -> None:
    import json

    from loadbalancer.configuration import read_configuration

    raw = json.loads(config_text("127.0.0.1:9", []))
    for limits in (None, {"cores": None, "memory_mb": None, "sockets": None}):
        text = json.dumps(raw | {"limits": limits, "name": None, "seed": None, "known": None})
        config = read_configuration(text, lambda note: None)
        assert (config.descriptor_limit, config.memory_limit_mb, config.name, config.seed) == (
            1024,
            192,
            "",
            0,
        )


def test_the_clock_compares_with_unix_time_and_never_goes_back(monkeypatch: pytest.MonkeyPatch) -> None:

    from loadbalancer.network.clock import Clock

    clock = Clock()
    first = clock.now()
    assert abs(first - time.time() * 1000) < 1000
    monkeypatch.setattr(time, "time", lambda: 0.0)  # the wall clock is set back
    assert clock.now() >= first
