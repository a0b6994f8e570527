"""Stand-ins of the cases 6 to 10: discovery, upstreams and clients, and the balancer as a separate process.

Only the standard library is used. All addresses are loopback addresses with ports that the system chooses.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
RULE_KEPT, RULE_BROKEN, COULD_NOT_RUN = 0, 1, 2
READY_TIMEOUT_S = 30.0
WITH_TROUBLE = os.environ.get("TROUBLE", "1") != "0"

Settings = dict[str, Any]
Entry = dict[str, Any]


class CannotRunError(Exception):
    """The case could not run: a stand-in or the balancer did not get ready."""


class Record:
    """What was sent, answered and run, with the time in seconds since the start of the case."""

    def __init__(self, folder: Path) -> None:
        self._started_at = time.monotonic()
        self._file = (folder / "record.txt").open("w", encoding="utf-8", buffering=1)

    def now(self) -> float:
        """Return the time since the start of the case in seconds."""
        return time.monotonic() - self._started_at

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now():8.3f} {text}\n")


@dataclass
class Message:
    """One HTTP message: its first line, its headers with names in lower case, and its body."""

    start_line: str
    headers: dict[str, str]
    body: bytes = b""
    began_at: float = 0.0


async def read_message(reader: asyncio.StreamReader, record: Record) -> Message:
    """Read a message whose body has a length, or none."""
    first = await reader.readexactly(1)
    began_at = record.now()
    head = (first + await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start_line, *lines = head.split("\r\n")
    headers = {
        name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines if line)
    }
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(start_line, headers, body, began_at)


def response(status: int, body: bytes = b"", *headers: str) -> bytes:
    """Return a response with a length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


# ---- upstreams ----------------------------------------------------------------------------------------

Answer = Callable[["Upstream", Message, asyncio.StreamWriter], Awaitable[None]]


async def answer_at_once(upstream: Upstream, message: Message, writer: asyncio.StreamWriter) -> None:
    """Answer 200 with a body that names the upstream and the request."""
    writer.write(response(200, f"{upstream.name} {message.headers.get('x-request-id')}".encode()))


@dataclass
class Upstream:
    """An HTTP server; it writes each request that arrives to the record.

    Attributes:
        name: Its name in the endpoint list.
        record: The record of the case.
        answer: Answers a request.
        requests: The requests that arrived.
        address: Where it listens.
        port: The port to listen on; 0 for a free one.
    """

    name: str
    record: Record
    answer: Answer = answer_at_once
    requests: list[Message] = field(default_factory=list)
    address: str = ""
    port: int = 0
    writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        self.address = f"{HOST}:{self.port}"

    def crash(self) -> None:
        """End like a process that dies: connections are reset, new ones refused."""
        self._server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader, self.record)
                self.requests.append(message)
                self.record.write(
                    f"{self.name} gets {message.start_line} {message.headers.get('x-request-id')}"
                )
                await self.answer(self, message, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def entry(self, status: str = "in_service", since_ms: int = 0) -> Entry:
        """Return the entry of the endpoint list."""
        return {
            "name": self.name,
            "address": self.address,
            "zone": "gent",
            "type": "front-std",
            "group": 1,
            "status": status,
            "weight": 1.0,
            "since_ms": since_ms,
        }


# ---- discovery ----------------------------------------------------------------------------------------

WriteResponse = Callable[[asyncio.StreamWriter, bytes], Awaitable[None]]


async def write_with_length(writer: asyncio.StreamWriter, body: bytes) -> None:
    """Write a response in one piece, with a length; the connection stays open."""
    writer.write(response(200, body, "Content-Type: application/json"))
    await writer.drain()


class Agent:
    """Discovery's agent of one balancer (PROTOCOL, "Discovery").

    Attributes:
        write_response: Writes the response to a call.
        version: The version of the list.
        written_version: The last version that was written to the balancer as a whole response.
        wait_ends_at: When the wait of the last watch ends or ended.
        address: Where it listens.
    """

    def __init__(self, record: Record, entries: list[Entry], version: int = 41) -> None:
        self.write_response: WriteResponse = write_with_length
        self.version = version
        self.written_version = version
        self.wait_ends_at = 0.0
        self.address = ""
        self._record = record
        self._entries = {entry["name"]: (version, entry) for entry in entries}
        self._changed = asyncio.Event()

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    def publish(self, *entries: Entry) -> None:
        """Change entries; open watches learn of it."""
        self.version += 1
        for entry in entries:
            self._entries[entry["name"]] = (self.version, entry)
            self._record.write(f"discovery has version {self.version}: {entry['name']} {entry['status']}")
        self._changed.set()
        self._changed = asyncio.Event()

    def document(self, after: int | None = None) -> Entry:
        """Return the whole list, or the entries that changed after a version."""
        entries = [
            entry
            for version, entry in self._entries.values()
            if (after is None and entry["status"] != "terminated") or (after is not None and version > after)
        ]
        return {"index": self.version, "snapshot": after is None, "endpoints": entries}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                message = await read_message(reader, self._record)
                target = message.start_line.split(" ")[1]
                query = parse_qs(urlsplit(target).query)
                after = int(query["after"][0]) if "after" in query else None
                self._record.write(f"discovery gets {message.start_line}")
                if after is not None and self.version <= after:
                    wait_s = min(int(query.get("wait_ms", ["0"])[0]), 60_000) / 1000
                    self.wait_ends_at = self._record.now() + wait_s
                    await self._wait_for_change(wait_s)
                version = self.version
                await self.write_response(writer, json.dumps(self.document(after)).encode())
                self.written_version = max(self.written_version, version)
                self._record.write(f"discovery has answered with version {version}")
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            self._record.write(f"discovery: the balancer's connection ended ({type(error).__name__})")
        finally:
            writer.close()

    async def _wait_for_change(self, wait_s: float) -> None:
        try:
            await asyncio.wait_for(self._changed.wait(), wait_s)
        except TimeoutError:
            return


# ---- clients ------------------------------------------------------------------------------------------


@dataclass
class RequestClass:
    """A request class as a client sees it; `effect` is a word of the WIRE page."""

    name: str
    target_ms: float
    deadline_ms: float
    effect: str = "retryable"
    window_ms: float = 3000.0

    def settings(self) -> Settings:
        """Return the class as the settings name it."""
        return {
            "name": self.name,
            "target": self.target_ms,
            "deadline": self.deadline_ms,
            "effect": self.effect,
            "keyScope": "all",
            "lateShare": 0.0,
            "repeatWindow": self.window_ms,
            "stream": False,
            "worth": 1.0,
        }


TILES = RequestClass("map-tiles", 1500.0, 4000.0)
PARCEL = RequestClass("parcel-get", 600.0, 1500.0)
EDIT = RequestClass("boundary-edit", 750.0, 2000.0, "dedup")


def compose_request(request_class: RequestClass, request_id: str, path: str = "x") -> bytes:
    """Return the bytes of a request (PROTOCOL, "Callers to balancers")."""
    method = "GET" if request_class.effect == "retryable" else "POST"
    lines = [
        f"{method} /{request_class.name}/{path} HTTP/1.1",
        "Host: api.internal",
        f"X-Request-Id: {request_id}",
        f"X-Class: {request_class.name}",
        f"X-Deadline: {request_class.deadline_ms:.0f}m",
    ]
    body = b""
    if method == "POST":
        body = b"edit"
        lines.append(f"Content-Length: {len(body)}")
    if request_class.effect == "dedup":
        lines.append(f"Idempotency-Key: key-{request_id}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def send_request(
    address: str, request_class: RequestClass, request_id: str, record: Record, patience_s: float
) -> tuple[int, bytes]:
    """Send a request on a new connection; return the status and the body.

    The status is 0 if there was no answer within `patience_s` seconds, and -1 if no connection came up or it
    ended without an answer.
    """
    host, port = address.rsplit(":", 1)
    status, body = 0, b""
    try:
        async with asyncio.timeout(patience_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(compose_request(request_class, request_id))
                record.write(f"client sends {request_id}")
                answer = await read_message(reader, record)
                status, body = int(answer.start_line.split(" ")[1]), answer.body
            finally:
                writer.close()
    except TimeoutError:
        status = 0
    except (OSError, asyncio.IncompleteReadError):
        status = -1
    record.write(f"client has {status} {body[:40]!r} for {request_id}")
    return status, body


# ---- the balancer -------------------------------------------------------------------------------------


def site_settings(*classes: RequestClass, **changes: Settings | str | float) -> Settings:
    """Return settings like those of the deployment perceel-main; `changes` replaces whole objects."""
    settings: Settings = {
        "azs": ["gent"],
        "balancers": 2,
        "classes": [request_class.settings() for request_class in classes],
        "contract": {
            "askWithin": 10000.0,
            "cold": 8900.0,
            "coldFrom": 0.31,
            "drainGrace": 750.0,
            "graceToAnswer": 20.0,
            "overloadFactor": 4.0,
            "tipAfter": 1000.0,
        },
        "discovery": "push",
        "family": "chain",
        "limits": {
            "attemptsCap": 6,
            "connIdle": 30000.0,
            "connectTimeout": 150.0,
            "maxRetryAfter": 2000.0,
            "mayCancel": True,
            "mayDuplicate": False,
            "openCap": 20000,
            "peers": False,
            "probes": True,
            "retryAfter": True,
            "streamsPerConn": 1,
        },
        "myNumber": 0,
        "overShareWorth": 0.05,
        "telemetry": {"fields": ["mean_ms", "load_share"], "how": "probe"},
        "tick": 5.0,
        "tier": 0,
        "stages": ["front", "parcel"],
        "weights": "none",
        "worthBy": "request",
        "zone": "gent",
    }
    return settings | changes


class Balancer:
    """One balancer, started with the `run` command of the deploy file."""

    def __init__(self, folder: Path, record: Record, name: str = "n1") -> None:
        self.name = name
        self.address = ""
        self._folder = folder
        self._record = record
        self._process: asyncio.subprocess.Process | None = None

    async def start(
        self, discovery: str, known: Entry, settings: Settings, limits: Settings | None = None
    ) -> None:
        """Start the process, and wait until `/healthz` answers 200."""
        self.address = self.address or f"{HOST}:{_free_port()}"
        path = self.write_configuration(discovery, known, settings, limits)
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
        environment = {
            "LB_NAME": self.name,
            "LB_LISTEN": self.address,
            "LB_DISCOVERY": discovery,
            "LB_CONFIG": str(path),
            "TMPDIR": str(self._folder),
        }
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", deploy["run"], cwd=ROOT, env=os.environ | environment, stdout=log, stderr=log
            )
        await self._wait_until_ready()

    def write_configuration(
        self, discovery: str, known: Entry, settings: Settings, limits: Settings | None = None
    ) -> Path:
        """Write the configuration file, and return its path."""
        configuration = {
            "name": self.name,
            "listen": self.address,
            "discovery": discovery,
            "seed": "8c1f30d27a5be964",
            "limits": limits or {"cores": 1.0, "memory_mb": 128, "sockets": 512},
            "known": known,
            "settings": settings,
        }
        path = self._folder / f"{self.name}.json"
        path.write_text(json.dumps(configuration), encoding="utf-8")
        return path

    async def _wait_until_ready(self) -> None:
        host, port = self.address.rsplit(":", 1)
        ends_at = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < ends_at and self.is_running():
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /healthz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
                answer = await asyncio.wait_for(read_message(reader, self._record), 1.0)
                writer.close()
                if " 200 " in answer.start_line:
                    self._record.write(f"balancer {self.name} is ready")
                    return
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRunError("the balancer did not get ready: " + self.log()[-500:])

    @property
    def pid(self) -> int:
        """The id of the process."""
        if self._process is None:
            message = "the balancer was not started"
            raise CannotRunError(message)
        return self._process.pid

    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self._process is not None and self._process.returncode is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self._record.write(f"{number.name} to balancer {self.name}")
        if self._process is not None:
            self._process.send_signal(number)

    async def wait_for_end(self, timeout_s: float) -> bool:
        """Wait until the process has ended; return false if it has not within a time."""
        if self._process is None:
            return True
        try:
            await asyncio.wait_for(self._process.wait(), timeout_s)
        except TimeoutError:
            return False
        return True

    def log(self) -> str:
        """Return what the process has logged."""
        return (self._folder / f"{self.name}.log").read_text(encoding="utf-8", errors="replace")

    async def stop(self) -> None:
        """End the process."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()


def _free_port() -> int:
    import socket

    with socket.socket() as listener:
        listener.bind((HOST, 0))
        return int(listener.getsockname()[1])


# ---- the run ------------------------------------------------------------------------------------------


def run_case(case: Callable[[Path, Record], Awaitable[bool]], folder: Path, timeout_s: float) -> None:
    """Run a case, which returns whether the rule was kept, and end this process with its exit status."""

    async def limited() -> bool:
        # A script that is ended by SIGTERM ends the balancer too.
        task, loop = asyncio.current_task(), asyncio.get_running_loop()
        if task is not None:
            loop.add_signal_handler(signal.SIGTERM, task.cancel)
        loop.set_exception_handler(lambda _, context: record.write(f"event loop: {context.get('message')}"))
        with tempfile.TemporaryDirectory(prefix="review-") as temporary:
            async with asyncio.timeout(timeout_s):
                return await case(Path(temporary), record)

    record = Record(folder)
    record.write(f"disruption: {'on' if WITH_TROUBLE else 'off'}")
    try:
        status = RULE_KEPT if asyncio.run(limited()) else RULE_BROKEN
    except (CannotRunError, OSError, TimeoutError, asyncio.CancelledError) as error:
        record.write(f"could not run: {error!r}")
        status = COULD_NOT_RUN
    record.write(f"exit status {status}")
    sys.exit(status)
