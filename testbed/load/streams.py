"""Open-loop load: requests are sent at times drawn in advance from the seed, independent of the responses.

The latency of a request is measured from its scheduled time, which avoids coordinated omission: a stall of
the server counts for every request that was scheduled during the stall. The lateness with which requests are
sent is also measured.
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
"""Sleeps for a number of seconds on the load's clock."""


@dataclass(slots=True)
class Stream:
    """Requests of one class.

    Attributes:
        name: The stream's name, which is part of the seed of its random numbers.
        clients: The clients; one of them is chosen at random for each request.
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
        """The number of connections that the stream's clients have opened so far."""
        return sum(client.opened_connections for client in self.clients)


@dataclass(slots=True)
class StreamReport:
    """The results of a stream's requests.

    Attributes:
        sent: Requests that were sent.
        opened_connections: Connections that were opened for these requests.
        statuses: The number of requests by response status; `NO_RESPONSE` counts those without a response.
        unserved_at_s: The scheduled times of requests without a 200 response, in seconds from the start, in
            the order in which the requests ended.
        served_latencies: Latencies of requests with a 200 response, from the scheduled time to the last byte.
        lateness: How long after its scheduled time each request was sent.
    """

    sent: int = 0
    opened_connections: int = 0
    statuses: Counter[int] = field(default_factory=Counter)
    unserved_at_s: list[float] = field(default_factory=list)
    served_latencies: Latencies = field(default_factory=Latencies)
    lateness: Latencies = field(default_factory=Latencies)

    def invalidity_reasons(self, name: str, max_lateness_ms: float) -> list[str]:
        """Return the reasons why the results are invalid, or an empty list if they are valid.

        They are invalid if the 99th percentile of lateness exceeds `max_lateness_ms`.
        """
        p99_lateness_ms = self.lateness.quantile_ms(0.99) if self.sent else 0.0
        if p99_lateness_ms <= max_lateness_ms:
            return []
        return [f"{name}: 1% of the requests were sent at least {p99_lateness_ms:.3f} ms late"]


class _ScheduledRequest(NamedTuple):
    """A request of a schedule, ordered by its time in seconds from the start."""

    time_s: float
    stream_index: int
    client_index: int


def _draw_schedule(
    stream: Stream, stream_index: int, duration_s: float, seed: int
) -> list[_ScheduledRequest]:
    """Draw the schedule of a stream: first all times, then the client of each request."""
    rng = random.Random(f"{seed}/{stream.name}")
    times = list(arrival_times(stream.rate_per_s, duration_s, rng))
    return [_ScheduledRequest(time_s, stream_index, rng.randrange(len(stream.clients))) for time_s in times]


class _LoadRun:
    """One run of the load, with a report for each stream and the open requests."""

    def __init__(self, streams: Sequence[Stream], clock: Clock, seed: int) -> None:
        self._streams = streams
        self._clock = clock
        self._request_ids = request_ids(seed)
        self._open_requests: set[asyncio.Task[None]] = set()
        self._start_s = 0.0
        # Subtracts the connections opened before this run; `finish` adds all connections opened until then.
        self.reports = {
            stream.name: StreamReport(opened_connections=-stream.opened_connections) for stream in streams
        }

    async def send_requests(
        self, schedule: Iterator[_ScheduledRequest], start_s: float, sleep: Sleep
    ) -> None:
        """Send each request at its scheduled time after `start_s`, without waiting for responses."""
        self._start_s = start_s
        for request in schedule:
            scheduled_s = start_s + request.time_s
            while (remaining_s := scheduled_s - self._clock()) > 0:
                await sleep(remaining_s)
            stream = self._streams[request.stream_index]
            client = stream.clients[request.client_index]
            task = asyncio.ensure_future(self._send(stream, client, scheduled_s))
            self._open_requests.add(task)
            task.add_done_callback(self._open_requests.discard)

    async def _send(self, stream: Stream, client: Client, scheduled_s: float) -> None:
        report = self.reports[stream.name]
        report.lateness.record(self._clock() - scheduled_s)
        report.sent += 1
        request = compose_request(stream.class_name, next(self._request_ids), stream.deadline_ms)
        response = await client.send(request, stream.deadline_ms / 1000)
        report.statuses[response.status] += 1
        if response.status == 200:
            report.served_latencies.record(response.received_at - scheduled_s)
        else:
            report.unserved_at_s.append(scheduled_s - self._start_s)

    async def finish(self) -> None:
        """Wait for the open requests and complete the reports."""
        if self._open_requests:
            await asyncio.wait(self._open_requests)
        for stream in self._streams:
            self.reports[stream.name].opened_connections += stream.opened_connections


async def run_streams(
    streams: Sequence[Stream],
    duration_s: float,
    seed: int,
    clock: Clock = time.perf_counter,
    sleep: Sleep | None = None,
) -> dict[str, StreamReport]:
    """Run streams concurrently and wait for the last responses.

    Args:
        streams: The streams, with different names.
        duration_s: The duration of the schedule in seconds.
        seed: The seed of all random numbers.
        clock: The clock, which has to be the one that the streams' clients use.
        sleep: Sleeps on that clock; by default with a `KernelTimer`.

    Returns:
        A report for each stream, by name.
    """
    run = _LoadRun(streams, clock, seed)
    schedules = [_draw_schedule(stream, index, duration_s, seed) for index, stream in enumerate(streams)]
    start_s = clock()
    with closing(KernelTimer()) as timer:
        await run.send_requests(heapq.merge(*schedules), start_s, sleep or timer.sleep)
    await run.finish()
    return run.reports
