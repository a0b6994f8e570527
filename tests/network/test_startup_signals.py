"""Signals that arrive at a given step of the program's startup."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import pytest

from tests.support.configurations import config_text, entry
from tests.support.scripted_discovery import DiscoveryServer
from tests.support.waiting import TEST_TIMEOUT_S

if TYPE_CHECKING:
    from tests.support.fixture_types import StartServer

ROOT = Path(__file__).parents[2]

# Runs the program as `python -m` does. At one audit event, the configuration file is replaced and a signal is
# sent. Arguments: the name of the event, the first argument of the event (or ""), the number of the signal.
SIGNALLED_PROGRAM = """if True:
    import asyncio, os, runpy, sys
    enter_runner = asyncio.Runner.__enter__
    def audited_enter(runner):
        sys.audit("runs")
        return enter_runner(runner)
    asyncio.Runner.__enter__ = audited_enter
    event, first_argument, signal_number = sys.argv[1:]
    def send_signal(name, args, seen=[]):
        if not seen and name == event and (not first_argument or args[0] == first_argument):
            seen.append(name)
            os.replace(os.environ["LB_CONFIG"] + ".new", os.environ["LB_CONFIG"])
            os.kill(os.getpid(), int(signal_number))
    sys.addaudithook(send_signal)
    runpy.run_module("loadbalancer", run_name="__main__")
"""

# Runs the program; when it begins to listen, a SIGTERM and the request of a client arrive.
PROGRAM_WITH_EARLY_CLIENT = """if True:
    import os, signal, socket
    from loadbalancer import __main__ as program
    from loadbalancer.network.client.listener import Listener
    start, clients = Listener.start, []
    def start_with_client(listener):
        os.kill(os.getpid(), signal.SIGTERM)
        start(listener)
        clients.append(socket.create_connection(listener.address))
        clients[0].sendall(b"GET /read HTTP/1.1\\r\\nX-Class: read\\r\\nX-Request-Id: 1\\r\\n"
            b"X-Deadline: 900m\\r\\n\\r\\n")
    Listener.start = start_with_client
    assert program.main() == 0
    clients[0].settimeout(5)
    print(clients[0].makefile("rb").read().partition(b"\\r\\n")[0].decode())
"""

# For each step of the startup, the name and first argument of the audit event at which the signal is sent.
STARTUP_STEPS = {
    "imports the event loop": ("import", "uvloop"),
    "opens its configuration": ("open", "config.json"),
    "has read its configuration": ("runs", ""),
    "binds": ("socket.bind", ""),
}
at_each_startup_step = pytest.mark.parametrize("step", STARTUP_STEPS)


def signalled_program_command(step: str, path: Path, number: signal.Signals) -> list[str]:
    """Return a command that runs the program and sends it a signal at a step of its startup."""
    event, first_argument = STARTUP_STEPS[step]
    if event == "open":
        first_argument = str(path)
    return [sys.executable, "-c", SIGNALLED_PROGRAM, event, first_argument, str(int(number))]


def run_program(command: list[str], path: Path) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        command,
        cwd=ROOT,
        env=os.environ | {"LB_CONFIG": str(path)},
        capture_output=True,
        text=True,
        timeout=TEST_TIMEOUT_S,
        check=False,
    )


@at_each_startup_step
async def test_sighup_during_startup_reloads_configuration(
    start_server: StartServer, step: str, tmp_path: Path
) -> None:
    """The signal must neither end the program nor be lost."""
    new_discovery = DiscoveryServer()
    path = tmp_path / "config.json"
    path.write_text(config_text("127.0.0.1:9", []))
    path.with_suffix(".json.new").write_text(config_text(await start_server(new_discovery), []))
    process = await asyncio.create_subprocess_exec(
        *signalled_program_command(step, path, signal.SIGHUP),
        cwd=ROOT,
        env=os.environ | {"LB_CONFIG": str(path)},
    )
    try:
        request_line = asyncio.ensure_future(new_discovery.requests.get())
        exit_code = asyncio.ensure_future(process.wait())
        await asyncio.wait((request_line, exit_code), return_when=asyncio.FIRST_COMPLETED)
        assert not exit_code.done(), f"the program ended with exit code {process.returncode}"
        assert request_line.result() == "GET /v1/servers HTTP/1.1"
        process.terminate()
        assert await exit_code == 0
    finally:
        if process.returncode is None:
            process.kill()


@at_each_startup_step
def test_sigterm_during_startup_ends_program_silently(step: str, tmp_path: Path) -> None:
    """Before the event loop runs, the signal itself ends the program; later, a graceful shutdown does."""
    path = tmp_path / "config.json"
    path.write_text(config_text("127.0.0.1:9", []))
    path.with_suffix(".json.new").write_text(path.read_text())
    completed = run_program(signalled_program_command(step, path, signal.SIGTERM), path)
    assert completed.returncode == (0 if step == "binds" else -signal.SIGTERM)
    assert "Traceback" not in completed.stderr
    assert completed.stdout == ""


def test_request_during_early_sigterm_receives_response(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(config_text("127.0.0.1:9", [entry("s0", "127.0.0.1:9")]))
    completed = run_program([sys.executable, "-c", PROGRAM_WITH_EARLY_CLIENT], path)
    assert completed.returncode == 0, completed.stderr
    assert completed.stdout == "HTTP/1.1 503 Service Unavailable\n"  # rejected: there is no upstream
