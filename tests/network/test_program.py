"""The program as a process: configuration errors, signals, null settings and the clock."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import time
from typing import TYPE_CHECKING

from loadbalancer.__main__ import EXIT_INVALID_CONFIGURATION, EXIT_OK
from loadbalancer.configuration import read_configuration
from loadbalancer.network.clock import Clock
from tests.support.configurations import config_text

if TYPE_CHECKING:
    from pathlib import Path

    import pytest


def test_configuration_error_prints_one_line_and_fails(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    environment = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
    for text in (None, "", "{}", "[]", "[" * 100_000, config_text("nowhere", [])):
        if text is not None:
            path.write_text(text)
            environment["LB_CONFIG"] = str(path)
        completed = subprocess.run(
            [sys.executable, "-m", "loadbalancer"],
            env=environment,
            capture_output=True,
            text=True,
            check=False,
        )
        assert completed.returncode != 0
        assert len(completed.stderr.splitlines()) == 1, completed.stderr


def test_signals_after_event_loop_has_closed_are_ignored(tmp_path: Path) -> None:
    """Closing the event loop must not restore the default signal actions, which would end the process."""
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
    completed = subprocess.run(
        [sys.executable, "-c", program],
        env=os.environ | {"LB_CONFIG": str(path)},
        capture_output=True,
        text=True,
        check=False,
    )
    assert (completed.returncode, completed.stdout) == (0, "alive\n"), completed.stderr


def test_configuration_error_with_closed_stderr(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text("{}")
    completed = subprocess.run(
        ["sh", "-c", 'exec "$0" -m loadbalancer 2>&-', sys.executable],
        env=os.environ | {"LB_CONFIG": str(path)},
        capture_output=True,
        text=True,
        check=False,
    )
    assert completed.returncode == EXIT_INVALID_CONFIGURATION
    assert completed.stdout == "loadbalancer: configuration: 'settings' is missing\n"


def test_configuration_warning_without_stderr(tmp_path: Path) -> None:
    """The test sets `sys.stderr` to None, as Python does if descriptor 2 is closed at startup."""
    program = """if True:
        import asyncio, os, signal, sys
        from loadbalancer import __main__ as program
        serve = program.serve
        async def serve_briefly(*args):
            asyncio.get_running_loop().call_soon(os.kill, os.getpid(), signal.SIGTERM)
            await serve(*args)
        program.serve = serve_briefly
        sys.stderr = None
        sys.exit(program.main())
    """
    path = tmp_path / "config.json"
    path.write_text(config_text("127.0.0.1:9", [], unknownSetting=1))
    completed = subprocess.run(
        [sys.executable, "-c", program],
        env=os.environ | {"LB_CONFIG": str(path)},
        capture_output=True,
        text=True,
        check=False,
    )
    assert completed.returncode == EXIT_OK
    assert "unknownSetting" in completed.stdout


def test_null_in_configuration_means_absent() -> None:
    raw = json.loads(config_text("127.0.0.1:9", []))
    for limits in (None, {"cores": None, "memory_mb": None, "sockets": None}):
        text = json.dumps(raw | {"limits": limits, "name": None, "seed": None, "known": None})
        config = read_configuration(text, lambda warning: None)
        assert config.descriptor_limit == 1024
        assert config.memory_limit_mb == 192
        assert config.name == ""
        assert config.seed == 0


def test_clock_starts_at_unix_time_and_is_monotonic(monkeypatch: pytest.MonkeyPatch) -> None:
    clock = Clock()
    first = clock.now()
    assert abs(first - time.time() * 1000) < 1000
    monkeypatch.setattr(time, "time", lambda: 0.0)  # sets the wall clock back
    assert clock.now() >= first
