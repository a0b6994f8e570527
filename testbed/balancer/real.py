"""Real balancers as child processes: started as the deploy file says, polled until ready, and stopped."""

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
from typing import Any

from loadbalancer.configuration import Address, read_address

ROOT = Path(__file__).parents[2]
SAME_PYTHON = f"exec {sys.executable} -m loadbalancer"
"""A command that runs the balancer of this tree on the running Python, without the deploy file's build."""

MAX_RUNNING = 150
"""The limit on balancers that run at the same time: each takes some 40 MiB."""

_HEALTH_POLL_S = 0.02
_HEALTH_TIMEOUT_S = 5.0
_KILL_AFTER_S = 10.0
_LOG_TAIL = 500
"""Characters of a log that an error quotes."""

_running: set[int] = set()


class RealError(RuntimeError):
    """A balancer could not be started, or ended early; the text holds the end of its log."""


def deploy_command() -> str:
    """Return the deploy file's `run` command; its `build` has to have been done."""
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
    return str(deploy["run"])


def free_address(host: str) -> str:
    """Return `host:port` on a loopback host, with a port that is free now."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return f"{host}:{probe.getsockname()[1]}"


def _write_files(folder: Path, config: dict[str, Any], config_text: str) -> dict[str, str]:
    """Write a balancer's configuration into a folder, and return the environment variables that name it."""
    config_path, private_folder = folder / "config.json", folder / "tmp"
    config_path.write_text(config_text, encoding="utf-8")
    private_folder.mkdir()
    return {
        "LB_NAME": str(config["name"]),
        "LB_LISTEN": str(config["listen"]),
        "LB_DISCOVERY": str(config["discovery"]),
        "LB_CONFIG": str(config_path),
        "TMPDIR": str(private_folder),
    }


class RealBalancer:
    """One balancer process; `start` starts it, `stop` ends it and removes its temporary files.

    Attributes:
        pid: Its process id.
        address: Where it listens.
    """

    def __init__(self, process: asyncio.subprocess.Process, folder: Path, address: Address) -> None:
        self._process = process
        self._folder = folder
        self.pid = process.pid
        self.address = address

    @classmethod
    async def start(cls, config_text: str, command: str | None = None) -> RealBalancer:
        """Start a balancer.

        Args:
            config_text: The text of its configuration (DEPLOY page, `LB_CONFIG`).
            command: Is given to `/bin/sh -c` in the repository's root and has to `exec` the program; the
                deploy file's `run` if not given.

        Raises:
            RealError: `MAX_RUNNING` balancers run already.
        """
        if len(_running) >= MAX_RUNNING:
            raise RealError(f"{MAX_RUNNING} balancers run already")
        config = json.loads(config_text)
        folder = Path(tempfile.mkdtemp(prefix="balancer-"))
        environment = _write_files(folder, config, config_text)
        with (folder / "log").open("wb") as log:
            process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                command or deploy_command(),
                cwd=ROOT,
                env=os.environ | environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        _running.add(process.pid)
        return cls(process, folder, read_address(environment["LB_LISTEN"]))

    async def ready(self, timeout_s: float = 30.0) -> None:
        """Return once the response to `GET /healthz` is 200.

        Raises:
            RealError: The process ends or the time passes before.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while await self._health_status() != 200:
            if self._process.returncode is not None:
                raise RealError(f"ended with {self._process.returncode}: {self.log()[-_LOG_TAIL:]}")
            if loop.time() > deadline:
                raise RealError(f"not ready after {timeout_s} s: {self.log()[-_LOG_TAIL:]}")
            await asyncio.sleep(_HEALTH_POLL_S)

    async def _health_status(self) -> int:
        """Return the status of one health check, 0 without a response."""
        try:
            reader, writer = await asyncio.open_connection(*self.address)
        except OSError:
            return 0
        try:
            writer.write(b"GET /healthz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readuntil(b"\r\n"), _HEALTH_TIMEOUT_S)
            return int(line.split(b" ")[1])
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
            return 0
        finally:
            writer.close()

    def log(self) -> str:
        """Return what it wrote on standard output and error so far."""
        return (self._folder / "log").read_text(encoding="utf-8", errors="replace")

    async def stop(self, kill_after_s: float = _KILL_AFTER_S) -> int:
        """End it by SIGTERM, or by SIGKILL after `kill_after_s`, and remove its files; return its status."""
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
