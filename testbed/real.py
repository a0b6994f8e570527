"""Real balancers as processes: started as the deploy file says, reached, and stopped by id."""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import socket
import sys
import tempfile
import tomllib
from contextlib import suppress
from pathlib import Path

from loadbalancer.configuration import Address, read_address

ROOT = Path(__file__).parent.parent
SAME_PYTHON = f"exec {sys.executable} -m loadbalancer"
"""A command that runs the balancer of this tree on the Python that plays, without the deploy file's build."""
MOST = 150
"""No more of them run at a time: each takes some 40 MiB."""
_ASK_AGAIN_S = 0.02
_KILL_AFTER_S = 10.0

_running: set[int] = set()


class RealError(RuntimeError):
    """A balancer could not be started or ended early; the text holds the end of its log."""


def deploy_command() -> str:
    """What the deploy file names as `run`; it wants the file's `build` to have been done."""
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
    return str(deploy["run"])


def free_address(host: str) -> str:
    """`host:port` on a loopback address of its own, with a port that nobody has just now."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return f"{host}:{probe.getsockname()[1]}"


class RealBalancer:
    """One balancer process; `start` makes it, `stop` ends it and removes its temporary files."""

    def __init__(self, process: asyncio.subprocess.Process, folder: Path, address: Address) -> None:
        self._process = process
        self._folder = folder
        self.pid = process.pid
        self.address = address

    @classmethod
    async def start(cls, config_text: str, command: str | None = None) -> RealBalancer:
        """Start a balancer with the text of its configuration (deployment page, `LB_CONFIG`).

        `command` is given to `/bin/sh -c` in the repository's root and has to `exec` the program; the default
        is the deploy file's `run`. RealError where 150 run already.
        """
        if len(_running) >= MOST:
            raise RealError(f"{MOST} balancers run already")
        config = json.loads(config_text)
        folder = Path(tempfile.mkdtemp(prefix="balancer-"))
        path, private = folder / "config.json", folder / "tmp"
        path.write_text(config_text, encoding="utf-8")
        private.mkdir()
        told = {
            "LB_NAME": str(config["name"]),
            "LB_LISTEN": str(config["listen"]),
            "LB_DISCOVERY": str(config["discovery"]),
            "LB_CONFIG": str(path),
            "TMPDIR": str(private),
        }
        with (folder / "log").open("wb") as log:
            process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                command or deploy_command(),
                cwd=ROOT,
                env=os.environ | told,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        _running.add(process.pid)
        return cls(process, folder, read_address(told["LB_LISTEN"]))

    async def ready(self, timeout_s: float = 30.0) -> None:
        """Return once `GET /healthz` answers 200; RealError if the process ends or the time passes before."""
        until = asyncio.get_running_loop().time() + timeout_s
        while await self._health() != 200:
            if self._process.returncode is not None:
                raise RealError(f"ended with {self._process.returncode}: {self.log()[-500:]}")
            if asyncio.get_running_loop().time() > until:
                raise RealError(f"not ready after {timeout_s} s: {self.log()[-500:]}")
            await asyncio.sleep(_ASK_AGAIN_S)

    async def _health(self) -> int:
        """The status of one health check; 0 where none came."""
        try:
            reader, writer = await asyncio.open_connection(*self.address)
        except OSError:
            return 0
        try:
            writer.write(b"GET /healthz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readuntil(b"\r\n"), 5.0)
            return int(line.split(b" ")[1])
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
            return 0
        finally:
            writer.close()

    def log(self) -> str:
        """What it wrote on standard output and error so far."""
        return (self._folder / "log").read_text(encoding="utf-8", errors="replace")

    async def stop(self, kill_after_s: float = _KILL_AFTER_S) -> int:
        """SIGTERM, SIGKILL if it is still there after `kill_after_s`; its exit status. Its files are gone."""
        with suppress(ProcessLookupError):
            self._process.terminate()
        try:
            status = await asyncio.wait_for(self._process.wait(), kill_after_s)
        except TimeoutError:
            with suppress(ProcessLookupError):
                self._process.kill()
            status = await self._process.wait()
        _running.discard(self.pid)
        shutil.rmtree(self._folder, ignore_errors=True)
        return status
