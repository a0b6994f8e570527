"""Stand-ins for clients, upstreams, discovery and the platform, and the frame of a case.

They use the standard library alone and listen on loopback addresses only.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    Case = Callable[["Record", "Balancer"], Awaitable[list[str]]]

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
RULE_HELD = 0
RULE_BROKEN = 1
COULD_NOT_RUN = 2
TIME_LIMIT_S = 110.0
READY_TIMEOUT_S = 30.0
MAX_LAG_S = 0.1
"""The case does not count if the event loop of the stand-ins was late by more than this."""

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRunError(Exception):
    """The case could not run, so that it shows nothing."""


class Record:
    """Writes `record.txt`: what was sent, answered and run, with the time in seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._started_at = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def now(self) -> float:
        """Return the time in seconds since the start."""
        return time.monotonic() - self._started_at

    def write(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


@dataclass
class Message:
    """An HTTP message; the names of headers are in lower case."""

    start_line: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """The status code of a response."""
        return int(self.start_line.split(" ")[1])

    @property
    def target(self) -> str:
        """The target of a request."""
        return self.start_line.split(" ")[1]


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message whose body, if it has one, has a Content-Length."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start_line, *lines = head.removesuffix("\r\n\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(start_line, headers, body)


def response(status: int, body: bytes = b"", *headers: bytes) -> bytes:
    """Return a response with a Content-Length."""
    lines = [b"HTTP/1.1 %d X" % status, b"Content-Length: %d" % len(body), *headers]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def client_request(class_name: str, request_id: str, deadline_ms: int, body: bytes = b"") -> bytes:
    """Return a request as the protocol page describes it; classes other than `read` and `tiles` are POST."""
    is_get = class_name in ("read", "tiles")
    lines = [
        f"{'GET' if is_get else 'POST'} /{class_name}/item?v=1 HTTP/1.1",
        "Host: api.internal",
        f"X-Request-Id: {request_id}",
        f"X-Class: {class_name}",
        "X-Tenant: acme",
        f"X-Deadline: {deadline_ms}m",
    ]
    if class_name == "edit":
        lines.append(f"Idempotency-Key: key-{request_id}")
    if not is_get:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Upstream:
    """An upstream that handles one request at a time on each connection.

    Attributes:
        name: Its name on the endpoint list.
        address: Where it listens.
    """

    def __init__(
        self, name: str, handle: Callable[[Upstream, Message, asyncio.StreamWriter], Awaitable[bool]]
    ) -> None:
        """Prepare an upstream; `handle` returns whether the connection stays open."""
        self.name = name
        self.address = ""
        self._handle = handle
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    def end(self) -> None:
        """End as a process does that dies: refuse new connections and reset the open ones."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if "x-request-id" not in request.headers:
                    writer.write(response(404))
                elif not await self._handle(self, request, writer):
                    return
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


@dataclass
class Discovery:
    """Discovery: the whole list, and watches.

    Attributes:
        record: The record of the case.
        answer_delay_s: The additional time that each answer takes.
        address: Where it listens.
        written_versions: When each version was written whole to the balancer, in seconds of the record.
    """

    record: Record
    answer_delay_s: float = 0.0
    address: str = ""
    written_versions: dict[int, float] = field(default_factory=dict)
    _version: int = 40
    _entries: dict[str, dict[str, Any]] = field(default_factory=dict)
    _versions: dict[str, int] = field(default_factory=dict)
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{server.sockets[0].getsockname()[1]}"

    def set_entry(self, upstream: Upstream, status: str = "in_service") -> int:
        """Add or change the entry of an upstream, and return the new version of the list."""
        self._version += 1
        self._entries[upstream.name] = {
            "name": upstream.name,
            "address": upstream.address,
            "zone": "a",
            "type": "m1",
            "group": 0,
            "status": status,
            "weight": 1.0,
            "since_ms": 0,
        }
        self._versions[upstream.name] = self._version
        self._changed.set()
        self._changed = asyncio.Event()
        return self._version

    def whole_list(self) -> dict[str, Any]:
        """Return the whole list in the form of the protocol page."""
        return {"index": self._version, "snapshot": True, "endpoints": list(self._entries.values())}

    async def _answer(self, target: str) -> dict[str, Any]:
        if "?" not in target:
            return self.whole_list()
        query = dict(part.split("=") for part in target.partition("?")[2].split("&"))
        known = int(query["after"])
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query.get("wait_ms", "0")) / 1000):
                while self._version <= known:
                    await self._changed.wait()
        names = [name for name, version in self._versions.items() if version > known]
        endpoints = [self._entries[name] for name in names]
        return {"index": self._version, "snapshot": False, "endpoints": endpoints}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                request = await read_message(reader)
                self.record.write(f"discovery: the balancer calls GET {request.target}")
                if not await self._write_answer(request, reader, writer):
                    self.record.write("discovery: the balancer has given the call up")
                    return
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _write_answer(
        self, request: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer a call; return false if the balancer closed the connection before the answer."""
        document = await self._answer(request.target)
        await asyncio.sleep(self.answer_delay_s)
        if reader.at_eof() or writer.is_closing():
            return False
        writer.write(response(200, json.dumps(document).encode()))
        await writer.drain()
        self.written_versions.setdefault(document["index"], self.record.now())
        entries = [f"{entry['name']} {entry['status']}" for entry in document["endpoints"]]
        self.record.write(f"discovery: answers version {document['index']}: {entries}")
        return True


def settings(classes: list[dict[str, Any]], discovery: str) -> dict[str, Any]:
    """Return the settings of a small deployment."""
    return {
        "classes": classes,
        "balancers": 1,
        "discovery": discovery,
        "zone": "a",
        "azs": ["a"],
        "tick": 5.0,
        "tier": 0,
        "limits": {
            "attemptsCap": 3,
            "connIdle": 30000.0,
            "connectTimeout": 250.0,
            "mayCancel": True,
            "mayDuplicate": False,
            "probes": False,
            "retryAfter": True,
            "maxRetryAfter": 2000.0,
        },
        "contract": {"drainGrace": 750.0, "askWithin": 10000.0, "graceToAnswer": 20.0},
    }


def request_class(name: str, effect: str, target_ms: float, deadline_ms: float) -> dict[str, Any]:
    """Return one class of the settings."""
    return {
        "name": name,
        "effect": effect,
        "target": target_ms,
        "deadline": deadline_ms,
        "worth": 1.0,
        "lateShare": 0.5,
        "repeatWindow": 5000.0,
        "keyScope": "all",
        "stream": False,
    }


class Balancer:
    """The real balancer as a process of its own, started by the command `run` of the deploy file."""

    def __init__(self, record: Record, folder: Path) -> None:
        self.port = _free_port()
        self._record = record
        self._folder = folder
        self._process: asyncio.subprocess.Process | None = None

    async def start(
        self, discovery: Discovery, balancer_settings: dict[str, Any], memory_mb: int = 192
    ) -> None:
        """Start the balancer with the present list, and wait until it is ready."""
        path = self._folder / "config.json"
        configuration = {
            "name": "n1",
            "listen": f"{HOST}:{self.port}",
            "discovery": discovery.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": 1024},
            "known": discovery.whole_list(),
            "settings": balancer_settings,
        }
        path.write_text(json.dumps(configuration))
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        variables = {
            "LB_NAME": "n1",
            "LB_LISTEN": configuration["listen"],
            "LB_DISCOVERY": discovery.address,
            "LB_CONFIG": str(path),
            "TMPDIR": str(self._folder),
        }
        with (self._folder / "log").open("wb") as log:
            self._process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=os.environ | variables, stdout=log, stderr=log
            )
        await self._wait_until_ready()

    async def _wait_until_ready(self) -> None:
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                    reader, writer = await asyncio.open_connection(HOST, self.port)
                    writer.write(b"GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
                    answer = await read_message(reader)
                    writer.close()
                    if answer.status == 200:
                        self._record.write("platform: the balancer is ready")
                        return
                await asyncio.sleep(0.05)

    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self._process is not None and self._process.returncode is None

    async def stop(self) -> None:
        """Kill the process, and copy its log to the record."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()
        if (self._folder / "log").exists():
            for line in (self._folder / "log").read_text(errors="replace").splitlines()[:20]:
                self._record.write(f"log of the balancer: {line}")


class LagMonitor:
    """Measures how late the event loop of the stand-ins is."""

    def __init__(self) -> None:
        self.max_lag_s = 0.0

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            due_at = time.monotonic() + 0.02
            await asyncio.sleep(0.02)
            self.max_lag_s = max(self.max_lag_s, time.monotonic() - due_at)


async def _play(case: Case, record: Record, folder: Path) -> int:
    balancer = Balancer(record, folder)
    monitor = LagMonitor()
    monitor_task = asyncio.create_task(monitor.run())
    try:
        async with asyncio.timeout(TIME_LIMIT_S):
            violations = await case(record, balancer)
        if not balancer.is_running():
            violations.append("the balancer has ended")
    except (CannotRunError, TimeoutError, OSError) as error:
        record.write(f"could not run: {error!r}")
        return COULD_NOT_RUN
    finally:
        monitor_task.cancel()
        await balancer.stop()
    if monitor.max_lag_s > MAX_LAG_S:
        record.write(f"could not run: the stand-ins were late by {monitor.max_lag_s:.3f} s")
        return COULD_NOT_RUN
    for violation in violations:
        record.write(f"BROKEN: {violation}")
    record.write("result: the rule was broken" if violations else "result: the rule held")
    return RULE_BROKEN if violations else RULE_HELD


def run_case(case: Case, file: str) -> None:
    """Run a case, write `record.txt` beside `file`, and exit with the status that the result has.

    Args:
        case: Plays the case; returns what broke the rule, or an empty list if the rule held.
        file: The path of the case's module.
    """
    record = Record(Path(file).resolve().parent / "record.txt")
    record.write(f"trouble: {'yes' if HAS_TROUBLE else 'no'}")
    folder = Path(tempfile.mkdtemp(prefix="review-"))
    # If the script itself is ended, it still ends the balancer.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    try:
        status = asyncio.run(_play(case, record, folder))
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    sys.exit(status)


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])
