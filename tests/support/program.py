"""Runs the program in a separate process."""

from __future__ import annotations

import asyncio
import os
import sys
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from tests.support.http_messages import response

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

    from tests.support.http_client import Client
    from tests.support.scripted_upstream import Upstream


@asynccontextmanager
async def running_program(
    path: Path, descriptor_limit: int | None = None
) -> AsyncIterator[asyncio.subprocess.Process]:
    """Run the program with a configuration file; kill it on exit if it still runs.

    Args:
        path: The configuration file.
        descriptor_limit: The limit on open file descriptors of the process; None for the default limit.
    """
    ulimit_command = "" if descriptor_limit is None else f"ulimit -n {descriptor_limit} && "
    process = await asyncio.create_subprocess_exec(
        "sh",
        "-c",
        f'{ulimit_command}exec "$0" -m loadbalancer',
        sys.executable,
        env=os.environ | {"LB_CONFIG": str(path)},
        stderr=asyncio.subprocess.PIPE,
    )
    try:
        yield process
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


async def read_log_line(process: asyncio.subprocess.Process) -> bytes:
    """Return the next line that the program writes to standard error."""
    assert process.stderr is not None
    return await process.stderr.readline()


@dataclass(frozen=True)
class ProgramWithOpenRequest:
    """A running program with a request that the upstream has received and not yet responded to.

    Attributes:
        process: The process of the program.
        path: The configuration file.
        port: The port that the program listens on.
        entries: The endpoint list that the program started with, whose only entry is the upstream.
        upstream: The upstream, which responds only in `respond_and_check`.
        client: The client that waits for the response.
    """

    process: asyncio.subprocess.Process
    path: Path
    port: int
    entries: list[dict[str, Any]]
    upstream: Upstream
    client: Client

    async def respond_and_check(self) -> None:
        """Let the upstream respond, and check that the client receives the response."""
        self.upstream.writers[0].write(response(200, b"unharmed"))
        assert (await self.client.read_response()).body == b"unharmed"
