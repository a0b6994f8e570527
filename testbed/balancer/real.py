"""Runs real balancers as child processes."""

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
from testbed.errors import TestbedError

REPOSITORY_ROOT = Path(__file__).parents[2]
SOURCE_TREE_COMMAND = f"exec {sys.executable} -m loadbalancer"
"""The command that runs the balancer from this source tree with the current Python interpreter."""

MAX_RUNNING_BALANCERS = 150
"""The maximum number of balancers that run at the same time: each uses about 40 MiB of memory."""

_HEALTH_CHECK_INTERVAL_S = 0.02
_HEALTH_CHECK_TIMEOUT_S = 5.0
_KILL_AFTER_S = 10.0
_LOG_TAIL_CHARACTERS = 500
"""The maximum number of characters that an error quotes from the end of a log."""

_running_pids: set[int] = set()


class BalancerProcessError(TestbedError, RuntimeError):
    """Base class of the errors of balancer processes."""


class TooManyBalancersError(BalancerProcessError):
    """`MAX_RUNNING_BALANCERS` balancers are running already."""

    def __init__(self) -> None:
        super().__init__(f"{MAX_RUNNING_BALANCERS} balancers are already running")


class BalancerExitedError(BalancerProcessError):
    """A balancer exited before it was ready; the message quotes the end of its log."""

    def __init__(self, status: int, log: str) -> None:
        super().__init__(
            f"balancer exited with status {status} before it was ready: {log[-_LOG_TAIL_CHARACTERS:]}"
        )


class BalancerNotReadyError(BalancerProcessError):
    """A balancer was not ready in time; the message quotes the end of its log."""

    def __init__(self, timeout_s: float, log: str) -> None:
        super().__init__(f"balancer not ready after {timeout_s} s: {log[-_LOG_TAIL_CHARACTERS:]}")


def read_deploy_command() -> str:
    """Return the `run` command of the deploy file; it works only after the file's `build` command has run."""
    deploy = tomllib.loads((REPOSITORY_ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
    return str(deploy["run"])


def find_free_address(host: str) -> str:
    """Return `host:port` with a port that is currently free."""
    with socket.socket() as listener:
        listener.bind((host, 0))
        return f"{host}:{listener.getsockname()[1]}"


def _write_configuration(
    folder: Path, configuration: dict[str, Any], configuration_text: str
) -> dict[str, str]:
    """Write a balancer's configuration file, and return the balancer's environment variables."""
    configuration_path, temporary_folder = folder / "config.json", folder / "tmp"
    configuration_path.write_text(configuration_text, encoding="utf-8")
    temporary_folder.mkdir()
    return {
        "LB_NAME": str(configuration["name"]),
        "LB_LISTEN": str(configuration["listen"]),
        "LB_DISCOVERY": str(configuration["discovery"]),
        "LB_CONFIG": str(configuration_path),
        "TMPDIR": str(temporary_folder),
    }


class RealBalancer:
    """One balancer process; `start` starts it, `stop` terminates it and removes its temporary files.

    Attributes:
        pid: The process id.
        address: Where the balancer listens.
    """

    def __init__(self, process: asyncio.subprocess.Process, folder: Path, address: Address) -> None:
        self._process = process
        self._folder = folder
        self.pid = process.pid
        self.address = address

    @classmethod
    async def start(cls, configuration_text: str, command: str | None = None) -> RealBalancer:
        """Start a balancer.

        Args:
            configuration_text: The text of its configuration (DEPLOY page, `LB_CONFIG`).
            command: A command for `/bin/sh -c` in the repository's root, by default the deploy file's `run`
                command. It has to `exec` the program, so that the process id is that of the program and
                signals reach the program.

        Raises:
            TooManyBalancersError: `MAX_RUNNING_BALANCERS` balancers are running already.
        """
        if len(_running_pids) >= MAX_RUNNING_BALANCERS:
            raise TooManyBalancersError
        configuration = json.loads(configuration_text)
        folder = Path(tempfile.mkdtemp(prefix="balancer-"))
        environment = _write_configuration(folder, configuration, configuration_text)
        with (folder / "log").open("wb") as log:
            process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                command or read_deploy_command(),
                cwd=REPOSITORY_ROOT,
                env=os.environ | environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        _running_pids.add(process.pid)
        return cls(process, folder, read_address(environment["LB_LISTEN"]))

    async def wait_until_ready(self, timeout_s: float = 30.0) -> None:
        """Wait until the response to `GET /healthz` is 200.

        Raises:
            BalancerExitedError: The process exited first.
            BalancerNotReadyError: The timeout expired first.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while await self._check_health() != 200:
            if self._process.returncode is not None:
                raise BalancerExitedError(self._process.returncode, self.log())
            if loop.time() > deadline:
                raise BalancerNotReadyError(timeout_s, self.log())
            await asyncio.sleep(_HEALTH_CHECK_INTERVAL_S)

    async def _check_health(self) -> int:
        """Send one health check and return the response status, or 0 if there is no response."""
        try:
            reader, writer = await asyncio.open_connection(*self.address)
        except OSError:
            return 0
        try:
            writer.write(b"GET /healthz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
            status_line = await asyncio.wait_for(reader.readuntil(b"\r\n"), _HEALTH_CHECK_TIMEOUT_S)
            return int(status_line.split(b" ")[1])
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
            return 0
        finally:
            writer.close()

    def log(self) -> str:
        """Return the output of the process so far, standard output and error."""
        return (self._folder / "log").read_text(encoding="utf-8", errors="replace")

    async def stop(self, kill_after_s: float = _KILL_AFTER_S) -> int:
        """Stop the process, remove its files and return its exit status.

        The process receives SIGTERM, and SIGKILL if it still runs after `kill_after_s`.
        """
        with suppress(ProcessLookupError):
            self._process.terminate()
        try:
            status = await asyncio.wait_for(self._process.wait(), kill_after_s)
        except TimeoutError:
            with suppress(ProcessLookupError):
                self._process.kill()
            status = await self._process.wait()
        _running_pids.discard(self.pid)
        shutil.rmtree(self._folder, ignore_errors=True)
        return status
