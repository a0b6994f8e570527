"""The program in a process of its own."""

from __future__ import annotations

import asyncio
import os
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from tests.support.configurations import LISTEN_ANYWHERE, config_text
from tests.support.loopback import (
    Client,
    DiscoveryServer,
    Upstream,
    entry,
    free_port,
    never_respond,
    response,
)


@asynccontextmanager
async def running_program(
    path: Path, descriptor_limit: int | None = None
) -> AsyncIterator[asyncio.subprocess.Process]:
    """The program, started with the configuration in a file, and killed in the end if it still runs.

    Args:
        path: The file.
        descriptor_limit: How many file descriptors the process may have open; None for the usual number.
    """
    limit = "" if descriptor_limit is None else f"ulimit -n {descriptor_limit} && "
    process = await asyncio.create_subprocess_exec(
        "sh",
        "-c",
        f'{limit}exec "$0" -m loadbalancer',
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
    """The next line that a program writes to standard error."""
    assert process.stderr is not None
    return await process.stderr.readline()


@dataclass(frozen=True)
class ProgramWithOpenRequest:
    """The program with a request that its upstream has received and not responded to.

    Attributes:
        process: The program.
        path: The file that `LB_CONFIG` names.
        port: Where it listens.
        entries: The endpoints that it knew at its start: the upstream alone.
        upstream: The upstream, which never responds by itself.
        client: The client that waits for the response.
    """

    process: asyncio.subprocess.Process
    path: Path
    port: int
    entries: list[dict[str, Any]]
    upstream: Upstream
    client: Client

    async def respond_and_check(self) -> None:
        """Have the upstream respond now, and check that the client gets the response."""
        self.upstream.writers[0].write(response(200, b"unharmed"))
        assert (await self.client.read_response()).body == b"unharmed"


@asynccontextmanager
async def program_with_open_request(path: Path) -> AsyncIterator[ProgramWithOpenRequest]:
    """Start the program with a configuration that is written to a file, and send it a request."""
    upstream, discovery = Upstream(never_respond), DiscoveryServer()
    entries = [entry("s0", await upstream.start())]
    port = free_port()
    text = config_text(await discovery.start(), entries)
    path.write_text(text.replace(LISTEN_ANYWHERE, f"127.0.0.1:{port}"))
    async with running_program(path) as process:
        client = await Client.of_program(port)
        client.send("/pay/x", b"debit")
        await upstream.seen.wait()
        yield ProgramWithOpenRequest(process, path, port, entries, upstream, client)
