"""Attempts and pools on loopback sockets: the outcome of each way in which an attempt can finish."""

from __future__ import annotations

import asyncio
import errno
from typing import TYPE_CHECKING, Any

import pytest

from loadbalancer.actions import Action, RejectRequest, StartAttempt
from loadbalancer.events import AttemptFinished, Event, Outcome, RequestReceived
from loadbalancer.network.sockets import peek
from loadbalancer.network.upstream.attempt_starter import AttemptStarter
from loadbalancer.network.upstream.pool import REUSE_DELAY_S, UpstreamPool
from tests.support.configurations import entry
from tests.support.http_messages import ReceivedMessage, response, status
from tests.support.policy_hooks import before_event, replace_policy
from tests.support.scripted_upstream import Script, Upstream, never_respond
from tests.support.upstream_attempts import REQUEST, ObservedAttempt, endpoint_list, full_backlog, make_pools

if TYPE_CHECKING:
    from tests.support.fixture_types import StartProxy, StartServer


async def test_connection_that_is_never_established_is_a_failed_connect() -> None:
    async with full_backlog() as address:
        upstreams = make_pools(address)
        assert await ObservedAttempt(upstreams).outcome() is Outcome.CONNECT_FAILED
        assert upstreams.open_connections == 0


async def test_timeout_before_anything_was_written_is_a_failed_connect() -> None:
    async with full_backlog() as address:
        upstreams = make_pools(address, connectTimeout=60_000.0)
        assert await ObservedAttempt(upstreams, timeout_s=0.05).outcome() is Outcome.CONNECT_FAILED


async def test_reset_before_the_last_byte_was_written_is_a_failed_connect() -> None:
    """The upstream reads the headers and resets while the rest is still in the balancer's buffer."""
    accepted = asyncio.Event()

    async def take(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readexactly(10)
        accepted.set()
        writer.transport.abort()

    server = await asyncio.start_server(take, "127.0.0.1", 0, limit=1024)
    port = server.sockets[0].getsockname()[1]
    attempt = ObservedAttempt(make_pools(f"127.0.0.1:{port}"), REQUEST + b"x" * 50_000_000)
    await accepted.wait()
    assert await attempt.outcome() is Outcome.CONNECT_FAILED


async def test_attempt_ends_once_when_it_is_cancelled_as_its_response_arrives(
    start_server: StartServer,
) -> None:
    upstream = Upstream(never_respond)
    upstreams = make_pools(await start_server(upstream))
    attempt = ObservedAttempt(upstreams)
    await upstream.request_received.wait()
    upstream.writers[0].write(response())  # received by the kernel, and not yet read
    attempt.attempt.cancel()
    attempt.attempt.cancel()
    await upstream.connection_closed.wait()
    assert attempt.outcomes == [Outcome.CANCELLED]
    assert upstreams.open_connections == 0


async def test_request_is_not_sent_on_a_connection_that_opens_after_the_drain_grace(
    start_server: StartServer,
) -> None:
    upstream = Upstream()
    address = await start_server(upstream)
    upstreams = make_pools(address)
    attempt = ObservedAttempt(upstreams)  # begins to connect
    pool = upstreams.pool("s0")
    upstreams.update_endpoints(endpoint_list(entry("s0", address, status="terminating")))
    assert pool.draining_since is not None
    pool.draining_since -= 0.5  # the grace period has passed during the connect
    assert await attempt.outcome() is Outcome.CONNECT_FAILED
    assert not upstream.received


async def test_idle_connections_close_on_request_by_age_and_when_the_endpoint_moves_or_is_removed(
    start_server: StartServer,
) -> None:
    upstream, moved = Upstream(), Upstream()
    address = await start_server(upstream)
    upstreams = make_pools(address)

    async def serve() -> None:
        assert await ObservedAttempt(upstreams).outcome() is Outcome.SUCCEEDED
        assert upstreams.open_connections == 1

    await serve()
    upstreams.close_idle_connections("s0")
    assert upstreams.open_connections == 0
    await serve()
    upstreams.pool("s0").idle_connections[0].idle_since -= 0.9 * 60  # not yet the upstream's limit
    await serve()
    assert upstream.connections == 3
    upstreams.pool("s0").idle_connections[0].idle_since -= 0.9 * 60
    upstreams.close_expired()
    assert upstreams.open_connections == 0
    await serve()
    upstreams.update_endpoints(endpoint_list(entry("s0", await start_server(moved))))
    assert upstreams.open_connections == 0
    await serve()
    assert len(moved.received) == 1
    upstreams.update_endpoints(endpoint_list(is_complete=True))
    assert upstreams.open_connections == 0
    starter = AttemptStarter(asyncio.get_running_loop(), upstreams)
    assert starter.start("s0", 1.0, lambda: REQUEST, lambda outcome, reply: None) is None


async def test_at_the_limit_an_idle_connection_is_closed_and_without_one_no_connection_is_opened(
    start_server: StartServer,
) -> None:
    upstream, other = Upstream(response(), never_respond), Upstream(never_respond)
    upstreams = make_pools(await start_server(upstream))
    upstreams.update_endpoints(endpoint_list(entry("s1", await start_server(other))))
    upstreams.connection_limit.max_connections = 1
    assert await ObservedAttempt(upstreams).outcome() is Outcome.SUCCEEDED
    starter = AttemptStarter(asyncio.get_running_loop(), upstreams)
    attempt = starter.start("s1", 5.0, lambda: REQUEST, lambda outcome, reply: None)
    assert attempt is not None
    await other.request_received.wait()
    assert upstreams.open_connections == 1
    # The balancer lacks a descriptor, which must not count as a failure of the upstream.
    assert await ObservedAttempt(upstreams).outcome() is Outcome.NOT_SENT
    attempt.cancel()


async def test_attempt_of_a_request_that_has_its_response_is_not_sent(start_proxy: StartProxy) -> None:
    upstream = Upstream()
    harness = await start_proxy(upstream)
    proxy, events = harness.proxy, list[Event]()

    def respond_then_send(event: Event, now: float) -> list[Action]:
        events.append(event)
        if isinstance(event, RequestReceived):
            return [
                RejectRequest(event.request_id, 250.0),
                StartAttempt(event.request_id, "s0", 100.0),
            ]
        return []

    replace_policy(harness, respond_then_send)
    reply = await harness.send_request()
    assert (status(reply), reply.headers["retry-after"]) == (503, "0.250")
    assert events[1:] == [AttemptFinished(1, 0, "s0", Outcome.NOT_SENT, is_request_complete=True)]
    assert not upstream.received
    assert not proxy.open_requests


async def test_cached_endpoint_list_is_applied_before_discovery_is_called(start_proxy: StartProxy) -> None:
    harness = await start_proxy(Upstream())
    assert harness.proxy.balancer.ready_endpoints  # before the first iteration of the event loop
    assert harness.discovery.calls.empty()


@pytest.mark.parametrize(
    "behind",
    [
        response(200, b"a second copy"),
        response(500, b"another"),
        b"\x00noise\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Le",
    ],
)
async def test_bytes_behind_a_response_neither_invalidate_nor_replace_it(
    start_proxy: StartProxy, behind: bytes
) -> None:
    """Guards against extra bytes that replace the response, make it a reset or answer the next request."""
    upstream = Upstream(response(200, b"the answer") + behind, response(200, b"the next"))
    harness = await start_proxy(upstream)
    assert (await harness.send_request()).body == b"the answer"
    assert (await harness.send_request()).body == b"the next"
    assert upstream.connections == 2  # the first connection is not reused


async def test_connection_rests_between_requests_so_that_stray_bytes_show(start_server: StartServer) -> None:
    upstream = Upstream()
    upstreams = make_pools(await start_server(upstream))
    assert await ObservedAttempt(upstreams).outcome() is Outcome.SUCCEEDED
    assert upstreams.pool("s0").take_idle_connection() is None  # not immediately
    upstreams.pool("s0").idle_connections[0].idle_since -= 0.01  # nor some milliseconds later
    assert upstreams.pool("s0").take_idle_connection() is None
    upstreams.pool("s0").idle_connections[0].idle_since -= REUSE_DELAY_S
    assert await ObservedAttempt(upstreams).outcome() is Outcome.SUCCEEDED
    assert upstream.connections == 1


async def test_upstream_sees_the_end_of_an_abandoned_attempt_before_the_next_begins(
    start_proxy: StartProxy,
) -> None:
    """Guards against two attempts in progress until the event loop closes the first connection."""
    upstreams = Upstream(never_respond), Upstream(never_respond)
    harness = await start_proxy(*upstreams)
    saw_disconnect = list[bool]()

    def look_at_the_upstream(event: AttemptFinished) -> None:
        seen = peek(next(u for u in upstreams if u.received).writers[0].transport)
        saw_disconnect.append(seen == b"")

    before_event(harness, AttemptFinished, look_at_the_upstream)
    assert status(await harness.send_request("/pay/x", b"debit", deadline="200m")) == 502
    assert saw_disconnect == [True]


async def test_interim_responses_are_ignored(start_proxy: StartProxy) -> None:
    upstream = Upstream(b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\n" * 3 + response(200, b"final"))
    harness = await start_proxy(upstream)
    assert (await harness.send_request()).body == b"final"


async def test_bytes_before_the_request_was_written_are_no_response() -> None:
    async def respond_early(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readexactly(10)
        writer.write(response(200, b"to what?"))

    server = await asyncio.start_server(respond_early, "127.0.0.1", 0, limit=1024)
    port = server.sockets[0].getsockname()[1]
    attempt = ObservedAttempt(make_pools(f"127.0.0.1:{port}"), REQUEST + b"x" * 50_000_000)
    assert await attempt.outcome() is Outcome.CONNECT_FAILED


async def test_lack_of_local_descriptors_is_not_the_upstreams_fault(
    start_server: StartServer, monkeypatch: pytest.MonkeyPatch
) -> None:
    upstream = Upstream()
    upstreams = make_pools(await start_server(upstream))

    async def fail_to_connect(*args: Any) -> None:
        raise OSError(errno.EMFILE, "Too many open files")

    monkeypatch.setattr(UpstreamPool, "connect", fail_to_connect)
    assert await ObservedAttempt(upstreams).outcome() is Outcome.NOT_SENT


CLASSES_WITH_SHORT_OBJECTIVE = [
    {"name": "read", "target": 100.0, "deadline": 5000.0, "effect": "retryable", "worth": 2.0},
    {"name": "pay", "target": 2000.0, "deadline": 5000.0, "effect": "fragile", "worth": 1.0},
]


async def work(received: ReceivedMessage, writer: asyncio.StreamWriter) -> None:
    """Respond after 20 ms, so that the ratio of lost requests to good responses is as in production."""
    await asyncio.sleep(0.02)
    writer.write(response())


async def reject(received: ReceivedMessage, writer: asyncio.StreamWriter) -> None:
    writer.write(response(503, b"", "X-Not-Run: 1"))


@pytest.mark.parametrize("loss", [never_respond, reject])
async def test_upstream_that_fails_one_class_is_ejected_for_it_and_keeps_the_others(
    start_proxy: StartProxy, loss: Script
) -> None:
    """Guards against good responses to one class that hide the failures of another."""

    async def by_class(received: ReceivedMessage, writer: asyncio.StreamWriter) -> None:
        await (loss if received.headers["x-class"] == "read" else work)(received, writer)

    failing = Upstream(by_class)

    def received(cls: str) -> int:
        return sum(one.headers["x-class"] == cls for one in failing.received)

    harness = await start_proxy(failing, Upstream(work), Upstream(work), classes=CLASSES_WITH_SHORT_OBJECTIVE)

    async def rounds(count: int) -> None:
        for _ in range(count):
            pays = [harness.send_request("/pay/x", body=b"1") for _ in range(4)]
            await asyncio.gather(harness.send_request("/read/x"), *pays)

    await rounds(20)
    lost, paid = received("read"), received("pay")
    await rounds(50)
    assert received("read") - lost <= 4, "occasional requests show whether it has recovered"
    assert received("pay") - paid >= 20, "the class that it serves well still goes there"
