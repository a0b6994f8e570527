"""Honest clients: each sends one request after another and measures when it is answered."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from testbed.http.client import compose_request

if TYPE_CHECKING:
    from collections.abc import Iterator

    from loadbalancer.configuration import Address

RESPONSE_GRACE_S = 0.5
"""How long a client waits for the response after the deadline of its request."""

RECONNECT_DELAY_S = 0.01
TIMED_OUT = "timed out"
CLOSED = "closed without an answer"
NOT_CONNECTED = "not connected"


@dataclass(slots=True)
class HonestReport:
    """Results of the requests: the count of each result, and the latencies of the served ones in seconds.

    A result is a status code, or one of `TIMED_OUT`, `CLOSED` and `NOT_CONNECTED`.
    """

    results: Counter[str] = field(default_factory=Counter)
    latencies_s: list[float] = field(default_factory=list)

    @property
    def sent(self) -> int:
        """The number of requests."""
        return self.results.total()

    @property
    def served_fraction(self) -> float:
        """The fraction of requests with a 200 response."""
        return self.results["200"] / self.sent if self.sent else 0.0

    def latency_ms(self, quantile: float) -> float:
        """Return a quantile of the latencies of served requests in milliseconds; 0 without any."""
        ordered = sorted(self.latencies_s)
        return 1000 * ordered[int(quantile * (len(ordered) - 1))] if ordered else 0.0


@dataclass(frozen=True, slots=True)
class HonestClients:
    """The honest clients of one balancer.

    Attributes:
        address: Where the balancer listens.
        ids: The ids of their requests.
        class_name: The class of their requests, which is safe to retry.
        deadline_ms: The deadline of each request.
        interval_s: The time between a response and the client's next request.
    """

    address: Address
    ids: Iterator[str]
    class_name: str
    deadline_ms: float
    interval_s: float

    async def run(self, count: int, duration_s: float) -> HonestReport:
        """Run clients; every second one keeps its connection, the others connect for each request."""
        report = HonestReport()
        ends_at = time.perf_counter() + duration_s
        await asyncio.gather(
            *[self._run_client(report, ends_at, keeps_connection=bool(i % 2)) for i in range(count)]
        )
        return report

    async def _run_client(self, report: HonestReport, ends_at: float, *, keeps_connection: bool) -> None:
        streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        while time.perf_counter() < ends_at:
            started_at = time.perf_counter()
            result = NOT_CONNECTED
            try:
                async with asyncio.timeout(self.deadline_ms / 1000 + RESPONSE_GRACE_S):
                    streams = streams or await asyncio.open_connection(*self.address)
                    result = CLOSED
                    result = await self._send(*streams)
            except TimeoutError:
                result = TIMED_OUT
            except (OSError, asyncio.IncompleteReadError):
                pass
            report.results[result] += 1
            if result == "200":
                report.latencies_s.append(time.perf_counter() - started_at)
            if streams is not None and (not keeps_connection or result != "200"):
                streams[1].transport.abort()
                streams = None
            await asyncio.sleep(self.interval_s)
        if streams is not None:
            streams[1].transport.abort()

    async def _send(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> str:
        """Send one request and return the status of its response."""
        writer.write(compose_request(self.class_name, next(self.ids), self.deadline_ms))
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().partition(b"content-length:")[2].split(b"\r\n")[0])
        await reader.readexactly(length)
        return head.split(b" ")[1].decode()
