"""Attempts and connection pools on loopback sockets: each way in which an attempt can end."""

from __future__ import annotations

import asyncio
import errno
from typing import TYPE_CHECKING, Any

import pytest

from loadbalancer.actions import Action, RejectRequest, StartAttempt
from loadbalancer.events import AttemptFinished, Event, Outcome, RequestReceived
from loadbalancer.network.sockets import peek
from loadbalancer.network.upstream.attempt_factory import UpstreamAttemptFactory
from loadbalancer.network.upstream.pool import REUSE_DELAY_S, UpstreamPool
from tests.support.configurations import entry
from tests.support.http_messages import ReceivedMessage, response, status
from tests.support.policy_hooks import before_event, replace_policy
from tests.support.scripted_upstream import Script, Upstream, never_respond
from tests.support.upstream_attempts import REQUEST, ObservedAttempt, endpoint_list, full_backlog, make_pools

if TYPE_CHECKING:
    from tests.support.fixture_types import StartProxy, StartServer


async def test_connect_timeout_is_connect_failure() -> None:
    async with full_backlog() as address:
        pools = make_pools(address)
        assert await ObservedAttempt(pools).wait_for_outcome() is Outcome.CONNECT_FAILED
        assert pools.open_connections == 0


async def test_attempt_timeout_while_connecting_is_connect_failure() -> None:
    async with full_backlog() as address:
        pools = make_pools(address, connectTimeout=60_000.0)
        assert await ObservedAttempt(pools, timeout_s=0.05).wait_for_outcome() is Outcome.CONNECT_FAILED


async def test_reset_during_write_is_connect_failure() -> None:
    """The upstream resets the connection while a part of the request is still in the write buffer."""
    accepted = asyncio.Event()

    async def read_ten_bytes_and_reset(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readexactly(10)
        accepted.set()
        writer.transport.abort()

    server = await asyncio.start_server(read_ten_bytes_and_reset, "127.0.0.1", 0, limit=1024)
    port = server.sockets[0].getsockname()[1]
    attempt = ObservedAttempt(make_pools(f"127.0.0.1:{port}"), REQUEST + b"x" * 50_000_000)
    await accepted.wait()
    assert await attempt.wait_for_outcome() is Outcome.CONNECT_FAILED


async def test_cancel_and_response_end_attempt_once(start_server: StartServer) -> None:
    upstream = Upstream(never_respond)
    pools = make_pools(await start_server(upstream))
    attempt = ObservedAttempt(pools)
    await upstream.request_received.wait()
    upstream.writers[0].write(response())  # received by the kernel, but not read yet
    attempt.attempt.cancel()
    attempt.attempt.cancel()
    await upstream.connection_closed.wait()
    assert attempt.outcomes == [Outcome.CANCELLED]
    assert pools.open_connections == 0


async def test_connection_opened_after_drain_grace_is_not_used(start_server: StartServer) -> None:
    upstream = Upstream()
    address = await start_server(upstream)
    pools = make_pools(address)
    attempt = ObservedAttempt(pools)  # starts to connect
    pool = pools.pool("s0")
    pools.update_endpoints(endpoint_list(entry("s0", address, status="terminating")))
    assert pool.draining_since is not None
    pool.draining_since -= 0.5  # the grace period ends while the connection is being opened
    assert await attempt.wait_for_outcome() is Outcome.CONNECT_FAILED
    assert not upstream.received


async def test_idle_connections_are_closed(start_server: StartServer) -> None:
    upstream, new_upstream = Upstream(), Upstream()
    address = await start_server(upstream)
    pools = make_pools(address)

    async def send_request() -> None:
        assert await ObservedAttempt(pools).wait_for_outcome() is Outcome.SUCCEEDED
        assert pools.open_connections == 1

    await send_request()
    pools.close_idle_connections("s0")
    assert pools.open_connections == 0
    await send_request()
    pools.pool("s0").idle_connections[0].idle_since -= 0.9 * 60  # the idle time limit is 0.8 of 60 s
    await send_request()
    assert upstream.connection_count == 3
    pools.pool("s0").idle_connections[0].idle_since -= 0.9 * 60
    pools.close_expired()
    assert pools.open_connections == 0
    await send_request()
    pools.update_endpoints(endpoint_list(entry("s0", await start_server(new_upstream))))
    assert pools.open_connections == 0
    await send_request()
    assert len(new_upstream.received) == 1
    pools.update_endpoints(endpoint_list(is_complete=True))
    assert pools.open_connections == 0
    attempt_factory = UpstreamAttemptFactory(asyncio.get_running_loop(), pools)
    assert attempt_factory.start_attempt("s0", 1.0, lambda: REQUEST, lambda outcome, reply: None) is None


async def test_connection_limit(start_server: StartServer) -> None:
    upstream, other_upstream = Upstream(response(), never_respond), Upstream(never_respond)
    pools = make_pools(await start_server(upstream))
    pools.update_endpoints(endpoint_list(entry("s1", await start_server(other_upstream))))
    pools.connection_limit.max_connections = 1
    assert await ObservedAttempt(pools).wait_for_outcome() is Outcome.SUCCEEDED
    attempt_factory = UpstreamAttemptFactory(asyncio.get_running_loop(), pools)
    attempt = attempt_factory.start_attempt("s1", 5.0, lambda: REQUEST, lambda outcome, reply: None)
    assert attempt is not None
    await other_upstream.request_received.wait()
    assert pools.open_connections == 1
    # The balancer may not open a further connection; this must not count as a failure of the upstream.
    assert await ObservedAttempt(pools).wait_for_outcome() is Outcome.NOT_SENT
    attempt.cancel()


async def test_attempt_after_response_is_not_sent(start_proxy: StartProxy) -> None:
    upstream = Upstream()
    harness = await start_proxy(upstream)
    proxy, events = harness.proxy, list[Event]()

    def respond_then_start_attempt(event: Event, now: float) -> list[Action]:
        events.append(event)
        if isinstance(event, RequestReceived):
            return [
                RejectRequest(event.request_id, 250.0),
                StartAttempt(event.request_id, "s0", 100.0),
            ]
        return []

    replace_policy(harness, respond_then_start_attempt)
    reply = await harness.send_request()
    assert (status(reply), reply.headers["retry-after"]) == (503, "0.250")
    assert events[1:] == [AttemptFinished(1, 0, "s0", Outcome.NOT_SENT, is_request_complete=True)]
    assert not upstream.received
    assert not proxy.open_requests


async def test_cached_endpoint_list_is_applied_first(start_proxy: StartProxy) -> None:
    harness = await start_proxy(Upstream())
    assert harness.proxy.balancer.ready_endpoints  # even before the first iteration of the event loop
    assert harness.discovery.requests.empty()


@pytest.mark.parametrize(
    "extra_bytes",
    [
        response(200, b"a second copy"),
        response(500, b"another"),
        b"\x00noise\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Le",
    ],
)
async def test_extra_bytes_after_response_are_ignored(start_proxy: StartProxy, extra_bytes: bytes) -> None:
    """The bytes must not replace the response, turn it into a reset, or be parsed as the next response."""
    upstream = Upstream(response(200, b"the answer") + extra_bytes, response(200, b"the next"))
    harness = await start_proxy(upstream)
    assert (await harness.send_request()).body == b"the answer"
    assert (await harness.send_request()).body == b"the next"
    assert upstream.connection_count == 2  # the first connection is not reused


async def test_reuse_delay_between_requests(start_server: StartServer) -> None:
    upstream = Upstream()
    pools = make_pools(await start_server(upstream))
    assert await ObservedAttempt(pools).wait_for_outcome() is Outcome.SUCCEEDED
    assert pools.pool("s0").take_idle_connection() is None  # not immediately after the response
    pools.pool("s0").idle_connections[0].idle_since -= 0.01  # nor 10 ms later
    assert pools.pool("s0").take_idle_connection() is None
    pools.pool("s0").idle_connections[0].idle_since -= REUSE_DELAY_S
    assert await ObservedAttempt(pools).wait_for_outcome() is Outcome.SUCCEEDED
    assert upstream.connection_count == 1


async def test_timed_out_attempt_is_closed_before_policy_event(start_proxy: StartProxy) -> None:
    """If a retry started before the connection is closed, upstreams could process both attempts at once."""
    upstreams = Upstream(never_respond), Upstream(never_respond)
    harness = await start_proxy(*upstreams)
    disconnect_results = list[bool]()

    def record_disconnect(event: AttemptFinished) -> None:
        next_byte = peek(next(u for u in upstreams if u.received).writers[0].transport)
        disconnect_results.append(next_byte == b"")

    before_event(harness, AttemptFinished, record_disconnect)
    assert status(await harness.send_request("/pay/x", b"debit", deadline="200m")) == 502
    assert disconnect_results == [True]


async def test_interim_responses_are_ignored(start_proxy: StartProxy) -> None:
    upstream = Upstream(b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\n" * 3 + response(200, b"final"))
    harness = await start_proxy(upstream)
    assert (await harness.send_request()).body == b"final"


async def test_response_to_incomplete_request_is_rejected() -> None:
    async def respond_early(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readexactly(10)
        writer.write(response(200, b"too early"))

    server = await asyncio.start_server(respond_early, "127.0.0.1", 0, limit=1024)
    port = server.sockets[0].getsockname()[1]
    attempt = ObservedAttempt(make_pools(f"127.0.0.1:{port}"), REQUEST + b"x" * 50_000_000)
    assert await attempt.wait_for_outcome() is Outcome.CONNECT_FAILED


async def test_descriptor_shortage_is_not_an_upstream_failure(
    start_server: StartServer, monkeypatch: pytest.MonkeyPatch
) -> None:
    upstream = Upstream()
    pools = make_pools(await start_server(upstream))

    async def fail_to_connect(*args: Any) -> None:
        raise OSError(errno.EMFILE, "Too many open files")

    monkeypatch.setattr(UpstreamPool, "connect", fail_to_connect)
    assert await ObservedAttempt(pools).wait_for_outcome() is Outcome.NOT_SENT


CLASSES_WITH_SHORT_OBJECTIVE = [
    {"name": "read", "target": 100.0, "deadline": 5000.0, "effect": "retryable", "worth": 2.0},
    {"name": "pay", "target": 2000.0, "deadline": 5000.0, "effect": "fragile", "worth": 1.0},
]


async def respond_after_20_ms(received: ReceivedMessage, writer: asyncio.StreamWriter) -> None:
    """Respond after 20 ms, so that the ratio of failed to successful requests is realistic."""
    await asyncio.sleep(0.02)
    writer.write(response())


async def reject(received: ReceivedMessage, writer: asyncio.StreamWriter) -> None:
    writer.write(response(503, b"", "X-Not-Run: 1"))


@pytest.mark.parametrize("failure", [never_respond, reject])
async def test_ejection_is_per_request_class(start_proxy: StartProxy, failure: Script) -> None:
    """Successful requests of one class must not hide the failures of another."""

    async def respond_by_class(received: ReceivedMessage, writer: asyncio.StreamWriter) -> None:
        await (failure if received.headers["x-class"] == "read" else respond_after_20_ms)(received, writer)

    failing_upstream = Upstream(respond_by_class)

    def count_received(class_name: str) -> int:
        return sum(request.headers["x-class"] == class_name for request in failing_upstream.received)

    harness = await start_proxy(
        failing_upstream,
        Upstream(respond_after_20_ms),
        Upstream(respond_after_20_ms),
        classes=CLASSES_WITH_SHORT_OBJECTIVE,
    )

    async def send_rounds(count: int) -> None:
        for _ in range(count):
            pay_requests = [harness.send_request("/pay/x", body=b"1") for _ in range(4)]
            await asyncio.gather(harness.send_request("/read/x"), *pay_requests)

    await send_rounds(20)
    reads_before, pays_before = count_received("read"), count_received("pay")
    await send_rounds(50)
    assert count_received("read") - reads_before <= 4, (
        "only occasional requests test whether the upstream has recovered"
    )
    assert count_received("pay") - pays_before >= 20, (
        "requests of the other class must still be sent to the failing upstream"
    )
