"""Open-loop load: requests are sent at times drawn beforehand from the seed, whatever the responses do.

A request's latency runs from the time at which it was due, so that a server which stalls is charged with
every request that waited for it (no coordinated omission). A load that was late itself says so.
"""

from __future__ import annotations

import asyncio
import heapq
import random
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator, Sequence
from contextlib import closing
from dataclasses import dataclass, field
from typing import NamedTuple

from testbed.http.client import Client, Clock, compose_request, request_ids
from testbed.load.arrivals import arrival_times
from testbed.load.kernel_timer import KernelTimer
from testbed.measurement.latency import Latencies

Sleep = Callable[[float], Awaitable[None]]
"""Waits for some seconds of the load's clock."""


@dataclass(slots=True)
class Stream:
    """Requests of one class.

    Attributes:
        name: The stream's name; its random numbers come from the seed and the name.
        clients: Each request goes to one of them, drawn from the seed.
        rate_per_s: The mean rate of requests.
        class_name: The request class.
        deadline_ms: The deadline of each request, after which the client gives up.
    """

    name: str
    clients: Sequence[Client]
    rate_per_s: float
    class_name: str
    deadline_ms: float

    @property
    def opened_connections(self) -> int:
        """The connections that its clients have opened so far."""
        return sum(client.opened_connections for client in self.clients)


@dataclass(slots=True)
class StreamReport:
    """What became of a stream's requests.

    Attributes:
        sends: Requests that were sent.
        opened: Connections that were opened for them.
        statuses: Responses by status; `NO_RESPONSE` where none came.
        unserved: When the requests were due that did not get a 200, in seconds from the start, in the order
            in which they ended.
        served: From due to the last byte of the response, of requests that got a 200.
        lateness: From due to sent.
    """

    sends: int = 0
    opened: int = 0
    statuses: Counter[int] = field(default_factory=Counter)
    unserved: list[float] = field(default_factory=list)
    served: Latencies = field(default_factory=Latencies)
    lateness: Latencies = field(default_factory=Latencies)

    def doubts(self, name: str, late_ms: float) -> list[str]:
        """Return why the stream's figures can't be used: 1 send in 100 was late by more than `late_ms`."""
        lateness_ms = self.lateness.quantile_ms(0.99) if self.sends else 0.0
        if lateness_ms <= late_ms:
            return []
        return [f"{name}: 1 send in 100 was {lateness_ms:.3f} ms late or more"]


class _PlannedRequest(NamedTuple):
    """A request of a schedule, ordered by its time; that is in seconds from the start."""

    time_s: float
    stream_index: int
    client_index: int


def _plan(stream: Stream, stream_index: int, seconds: float, seed: int) -> list[_PlannedRequest]:
    """Draw a stream's requests: first all times, then the client of each."""
    source = random.Random(f"{seed}/{stream.name}")
    times = list(arrival_times(stream.rate_per_s, seconds, source))
    return [_PlannedRequest(at, stream_index, source.randrange(len(stream.clients))) for at in times]


class _LoadRun:
    """One play of some streams: their reports and the requests that are open."""

    def __init__(self, streams: Sequence[Stream], clock: Clock, seed: int) -> None:
        self._streams = streams
        self._clock = clock
        self._request_ids = request_ids(seed)
        self._open: set[asyncio.Task[None]] = set()
        self._start = 0.0
        self.reports = {stream.name: StreamReport(opened=-stream.opened_connections) for stream in streams}

    async def play(self, schedule: Iterator[_PlannedRequest], start: float, sleep: Sleep) -> None:
        """Send each request when it is due, from a start on the clock, and leave the responses open."""
        self._start = start
        for planned in schedule:
            due = start + planned.time_s
            while (remaining_s := due - self._clock()) > 0:
                await sleep(remaining_s)
            stream = self._streams[planned.stream_index]
            client = stream.clients[planned.client_index]
            task = asyncio.ensure_future(self._send(stream, client, due))
            self._open.add(task)
            task.add_done_callback(self._open.discard)

    async def _send(self, stream: Stream, client: Client, due: float) -> None:
        report = self.reports[stream.name]
        report.lateness.record(self._clock() - due)
        report.sends += 1
        request = compose_request(stream.class_name, next(self._request_ids), stream.deadline_ms)
        response = await client.send(request, stream.deadline_ms / 1000)
        report.statuses[response.status] += 1
        if response.status == 200:
            report.served.record(response.received_at - due)
        else:
            report.unserved.append(due - self._start)

    async def finish(self) -> None:
        """Wait for the last responses and complete the reports."""
        if self._open:
            await asyncio.wait(self._open)
        for stream in self._streams:
            self.reports[stream.name].opened += stream.opened_connections


async def play_streams(
    streams: Sequence[Stream],
    seconds: float,
    seed: int,
    clock: Clock = time.perf_counter,
    sleep: Sleep | None = None,
) -> dict[str, StreamReport]:
    """Play streams side by side and wait for the last responses.

    Args:
        streams: The streams, each with a name of its own.
        seconds: How long requests are sent.
        seed: All random numbers are drawn from it.
        clock: Has to be the clock of the streams' clients.
        sleep: Waits on that clock; a `KernelTimer` if not given.

    Returns:
        A report for each stream, by name.
    """
    run = _LoadRun(streams, clock, seed)
    plans = [_plan(stream, index, seconds, seed) for index, stream in enumerate(streams)]
    start = clock()
    with closing(KernelTimer()) as timer:
        await run.play(heapq.merge(*plans), start, sleep or timer.sleep)
    await run.finish()
    return run.reports
