"""The remaining work at the end of a share is seen again, and each state of a connection has an end."""

from __future__ import annotations

import asyncio
import itertools
import socket
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

import pytest

from loadbalancer.network.client import timeouts
from loadbalancer.network.client.pipeline import STEPS_PER_SHARE
from loadbalancer.network.client.requests.request_reader import HEAD_SLICE_BYTES, RequestReader
from tests.support.disconnecting_clients import request_bytes, wait_until_disconnected
from tests.support.http_messages import read_message, response, status
from tests.support.scripted_upstream import Upstream
from tests.support.waiting import wait_until

if TYPE_CHECKING:
    from collections import Counter

    from tests.support.fixture_types import StartProxy
    from tests.support.proxy_harness import ProxyHarness

LARGE_RESPONSE = response(200, b"x" * 60_000)
STEPS_BYTES = STEPS_PER_SHARE * HEAD_SLICE_BYTES
# More requests than the kernel's buffers can hold responses for.
MAX_REQUESTS = 1_000
REQUEST_IDS = itertools.count(10_000)


def improper_request(size_bytes: int) -> bytes:
    """Return a request for a path that names no class, with a head of this size."""
    start, end = b"GET /favicon.ico HTTP/1.1\r\nCookie: ", b"\r\n\r\n"
    return start + b"c" * (size_bytes - len(start) - len(end)) + end


def long_request(number: int, field_bytes: int) -> bytes:
    """Return a proper request whose head has a field of this size."""
    return request_bytes("/read", number).replace(b"X-Class", b"X-Long: %b\r\nX-Class" % (b"y" * field_bytes))


def has_count(responses: Counter[int], count: int) -> bool:
    """Return whether this number of requests has been answered 200."""
    return responses[200] == count


def count_unread_responses(harness: ProxyHarness) -> int:
    """Return on how many connections a response is in the write buffer."""
    transports = [connection.transport for connection in harness.proxy.listener.connections]
    return sum(transport is not None and transport.get_write_buffer_size() > 0 for transport in transports)


def use_up_budget_on_receipt(harness: ProxyHarness, monkeypatch: pytest.MonkeyPatch, min_bytes: int) -> None:
    """Let other peers use up the memory budget when `min_bytes` of a client have been read at once."""
    receive = RequestReader.receive

    def receive_and_use_up(reader: RequestReader, data: bytes | memoryview, unread_bytes: int | None) -> None:
        receive(reader, data, unread_bytes)
        if len(data) >= min_bytes:
            harness.proxy.budget.limit_bytes = harness.proxy.budget.used_bytes

    monkeypatch.setattr(RequestReader, "receive", receive_and_use_up)


class UnreadClient:
    """A client that leaves its responses unread until `read_responses` is called."""

    def __init__(self, harness: ProxyHarness) -> None:
        self._harness = harness
        self.socket = harness.connect_socket()
        self.socket.setblocking(False)  # noqa: FBT003  the only parameter of the method
        self.request_count = 0

    async def send(self, data: bytes) -> None:
        await asyncio.get_running_loop().sock_sendall(self.socket, data)

    async def leave_response_unread(self) -> None:
        """Send one request after the other, until a response stays in the proxy's write buffer."""
        proxy = self._harness.proxy
        responses = proxy.listener.context.counters.responses
        response_count, unread_count = responses[200], count_unread_responses(self._harness)
        for number in range(MAX_REQUESTS):
            await self.send(request_bytes("/read", next(REQUEST_IDS)))
            self.request_count += 1
            await wait_until(
                partial(has_count, responses, response_count + number + 1), "a response is written"
            )
            if count_unread_responses(self._harness) > unread_count:
                return
        pytest.fail("no response stays in the write buffer")

    async def read_responses(self, count: int) -> list[int]:
        """Read responses, and return their statuses."""
        reader, writer = await asyncio.open_connection(sock=self.socket)
        try:
            return [status(await read_message(reader)) for _ in range(count)]
        finally:
            writer.transport.abort()


async def test_rejection_is_written_whatever_the_size_of_the_head(start_proxy: StartProxy) -> None:
    """Guards against a rejection that is left at the end of a share: it was never written (review case 7)."""
    harness = await start_proxy(Upstream())
    sizes = {*range(400, 2 * STEPS_BYTES + 200, 150)}
    for slice_number in range(1, 2 * STEPS_PER_SHARE + 1):
        boundary = slice_number * HEAD_SLICE_BYTES
        sizes |= {boundary - 1, boundary, boundary + 1}
    for size_bytes in sorted(sizes):
        client = await harness.connect_client()
        client.writer.write(improper_request(size_bytes))
        assert status(await client.read_response()) == 404, size_bytes
        assert await client.reader.read() == b""
        client.writer.close()


@pytest.mark.parametrize("request_count", range(10))
async def test_rejection_is_written_behind_responses(start_proxy: StartProxy, request_count: int) -> None:
    """Spoilt bytes behind requests that are answered at once, a number that ends a share among them."""
    harness = await start_proxy(Upstream())
    client = await harness.connect_client()
    client.writer.write(b"GET /healthz HTTP/1.1\r\n\r\n" * request_count + b"spoilt\r\n\r\n")
    statuses = [status(await client.read_response()) for _ in range(request_count + 1)]
    assert statuses == [200] * request_count + [400]
    assert await client.reader.read() == b""


async def test_incomplete_head_given_up_during_its_steps_is_rejected(
    start_proxy: StartProxy, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a rejection that the share of the same connection decides at its end."""
    harness = await start_proxy(Upstream())
    client = await harness.connect_client()
    use_up_budget_on_receipt(harness, monkeypatch, min_bytes=HEAD_SLICE_BYTES)
    client.writer.write(improper_request(5 * HEAD_SLICE_BYTES)[: 3 * HEAD_SLICE_BYTES])
    assert status(await client.read_response()) == 503
    assert await client.reader.read() == b""


@dataclass(frozen=True)
class State:
    """A state in which a client leaves its connection.

    Attributes:
        name: The name of the test case.
        sent: What the client sends last.
        half_closes: Whether it closes its sending side after that.
        is_memory_short: Whether requests are refused for memory.
    """

    name: str
    sent: bytes
    half_closes: bool = False
    is_memory_short: bool = False


PARTIAL_BODY = request_bytes("/pay", 9_000, b"debit" * 300)[:-1]
STATES = [
    State("idle", b""),
    State("empty line", b"\r\n"),
    State("partial head", b"GET /read HT"),
    State("partial head of several slices", improper_request(2 * STEPS_BYTES)[:-1]),
    State("partial body", PARTIAL_BODY),
    State("discarded body", PARTIAL_BODY, is_memory_short=True),
    State("improper request", improper_request(STEPS_BYTES)),
    State("improper request and more", improper_request(STEPS_BYTES) + b"x" * 10_000),
    State("spoilt bytes", b"spoilt\r\n\r\n"),
    State("whole request", request_bytes("/read", 9_001)),
    State("whole request, then a partial one", request_bytes("/read", 9_002) + b"GET /read HT"),
    State("long request", long_request(9_003, 2 * STEPS_BYTES)),
    State("last request", request_bytes("/read", 9_004).replace(b"X-Class", b"Connection: close\r\nX-Class")),
    State("half closed", b"", half_closes=True),
    State("half closed within a request", b"GET /read HT", half_closes=True),
]


@pytest.mark.parametrize("leaves_response_unread", [False, True])
@pytest.mark.parametrize("state", STATES, ids=lambda state: state.name)
async def test_each_state_has_an_end(
    start_proxy: StartProxy, monkeypatch: pytest.MonkeyPatch, state: State, *, leaves_response_unread: bool
) -> None:
    """Guards against connections that keep their places for good: nothing else is accepted in the end."""
    harness = await start_proxy(Upstream(LARGE_RESPONSE if leaves_response_unread else response()))
    client = UnreadClient(harness)
    if leaves_response_unread:
        await client.leave_response_unread()
    else:
        await client.send(request_bytes("/read", 0))
    if state.is_memory_short:
        harness.proxy.budget.limit_bytes = harness.proxy.budget.used_bytes
    await client.send(state.sent)
    if state.half_closes:
        client.socket.shutdown(socket.SHUT_WR)
    monkeypatch.setattr(timeouts, "REQUEST_TIMEOUT_S", 0.2)
    monkeypatch.setattr(timeouts, "KEEP_ALIVE_TIMEOUT_S", 0.2)
    monkeypatch.setattr(timeouts, "UNREAD_REJECTION_TIMEOUT_S", 0.2)
    monkeypatch.setattr(timeouts, "WRITE_STALL_TIMEOUT_S", 0.4)
    await wait_until_disconnected(harness)


async def test_request_is_parsed_once_responses_before_it_are_read(
    start_proxy: StartProxy, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against input that nothing wakes: reading was paused at the memory limit, and none is left."""
    harness = await start_proxy(Upstream(LARGE_RESPONSE))
    budget, limit_bytes = harness.proxy.budget, harness.proxy.budget.limit_bytes
    client = UnreadClient(harness)
    await client.leave_response_unread()
    use_up_budget_on_receipt(harness, monkeypatch, min_bytes=STEPS_BYTES)
    await client.send(long_request(9_000, 2 * STEPS_BYTES))
    await wait_until(lambda: budget.limit_bytes < limit_bytes, "the request is read")
    budget.limit_bytes = limit_bytes
    assert await client.read_responses(client.request_count + 1) == [200] * (client.request_count + 1)


@pytest.mark.parametrize("half_closes", [False, True])
async def test_clients_that_read_nothing_are_evicted_first(
    start_proxy: StartProxy, *, half_closes: bool
) -> None:
    """Guards against places that such clients keep for as long as responses may stay unread."""
    harness = await start_proxy(Upstream(LARGE_RESPONSE))
    stalled_clients = [UnreadClient(harness) for _ in range(2)]
    for client in stalled_clients:
        await client.leave_response_unread()
        await client.send(b"".join(request_bytes("/read", next(REQUEST_IDS)) for _ in range(3)))
        if half_closes:
            client.socket.shutdown(socket.SHUT_WR)
    harness.proxy.listener.connection_limit = len(harness.proxy.listener.connections)
    assert status(await harness.send_request()) == 200
