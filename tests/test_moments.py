"""Rare moments at the start, at the end and while the loop is busy, each made to happen in the bad order."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from tests.loopback import PATIENCE_S, ListServer, config_text, entry, run

ROOT = Path(__file__).parent.parent

# Runs the program as `python -m` does; at a moment of its start the file changes and a signal comes.
SIGNALLED = """if True:
    import asyncio, os, runpy, sys
    enter = asyncio.Runner.__enter__
    def entering(runner):
        sys.audit("runs")
        return enter(runner)
    asyncio.Runner.__enter__ = entering
    event, about, number = sys.argv[1:]
    def at(name, args, came=[]):
        if not came and name == event and (not about or args[0] == about):
            came.append(name)
            os.replace(os.environ["LB_CONFIG"] + ".new", os.environ["LB_CONFIG"])
            os.kill(os.getpid(), int(number))
    sys.addaudithook(at)
    runpy.run_module("basaltspindle", run_name="__main__")
"""


AS_IT = {
    "imports the event loop": ("import", "uvloop"),
    "reads its file": ("open", "config.json"),
    "has read its file": ("runs", ""),
    "binds": ("socket.bind", ""),
}
MOMENTS = pytest.mark.parametrize("moment", AS_IT)


def signalled(moment: str, path: Path, number: signal.Signals) -> list[str]:
    """The command for a program that gets a signal at a moment of its start."""
    event, about = AS_IT[moment]
    about = str(path) if event == "open" else about
    return [sys.executable, "-c", SIGNALLED, event, about, str(int(number))]


@MOMENTS
def test_a_sighup_before_it_is_ready_neither_ends_it_nor_is_lost(moment: str, tmp_path: Path) -> None:
    async def scenario() -> None:
        new, path = ListServer(), tmp_path / "config.json"
        path.write_text(config_text("127.0.0.1:9", []))
        path.with_suffix(".json.new").write_text(config_text(await new.start(), []))
        node = await asyncio.create_subprocess_exec(
            *signalled(moment, path, signal.SIGHUP), cwd=ROOT, env=os.environ | {"LB_CONFIG": str(path)}
        )
        try:
            call, end = asyncio.ensure_future(new.calls.get()), asyncio.ensure_future(node.wait())
            await asyncio.wait((call, end), return_when=asyncio.FIRST_COMPLETED)
            assert not end.done(), f"ended with {node.returncode}"
            assert call.result() == "GET /v1/servers HTTP/1.1"
            node.terminate()
            assert await end == 0
        finally:
            if node.returncode is None:
                node.kill()

    run(scenario())


@MOMENTS
def test_a_sigterm_before_it_is_ready_ends_it_without_a_word(moment: str, tmp_path: Path) -> None:
    """Nothing was taken: it ends by the signal itself, or as at any time once the loop sees to it."""
    path = tmp_path / "config.json"
    path.write_text(config_text("127.0.0.1:9", []))
    path.with_suffix(".json.new").write_text(path.read_text())
    done = subprocess.run(
        signalled(moment, path, signal.SIGTERM),
        cwd=ROOT,
        env=os.environ | {"LB_CONFIG": str(path)},
        capture_output=True,
        text=True,
        timeout=PATIENCE_S,
    )
    assert done.returncode == (0 if moment == "binds" else -signal.SIGTERM)
    assert "Traceback" not in done.stderr and done.stdout == ""


def test_what_comes_with_a_sigterm_as_it_begins_to_listen_is_answered(tmp_path: Path) -> None:
    program = """if True:
        import os, signal, socket
        from basaltspindle import __main__ as program
        from basaltspindle.net.callers import Callers
        start, clients = Callers.start, []
        def at_once(callers):
            os.kill(os.getpid(), signal.SIGTERM)
            start(callers)
            clients.append(socket.create_connection(callers.address))
            clients[0].sendall(b"GET /read HTTP/1.1\\r\\nX-Class: read\\r\\nX-Request-Id: 1\\r\\n"
                b"X-Deadline: 900m\\r\\n\\r\\n")
        Callers.start = at_once
        assert program.main() == 0
        clients[0].settimeout(5)
        print(clients[0].makefile("rb").read().partition(b"\\r\\n")[0].decode())
    """
    path = tmp_path / "config.json"
    path.write_text(config_text("127.0.0.1:9", [entry("s0", "127.0.0.1:9")]))
    done = subprocess.run(
        [sys.executable, "-c", program],
        cwd=ROOT,
        env=os.environ | {"LB_CONFIG": str(path)},
        capture_output=True,
        text=True,
        timeout=PATIENCE_S,
    )
    assert done.returncode == 0, done.stderr
    assert done.stdout == "HTTP/1.1 503 Service Unavailable\n"  # refused: no upstream is there
