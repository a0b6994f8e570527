"""The proxy on loopback sockets: forwarding, and the client's response after each outcome of an attempt."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import TYPE_CHECKING, Any

import pytest

from loadbalancer.events import ClientDisconnected, Event, Outcome, RequestReceived
from tests.support.event_recorder import outcomes, record_events
from tests.support.http_messages import ReceivedMessage, response, status
from tests.support.policy_hooks import InjectedPolicyError, replace_policy
from tests.support.scripted_upstream import Upstream, never_respond, reset_connection

if TYPE_CHECKING:
    from loadbalancer.actions import Action
    from tests.support.fixture_types import StartProxy


async def test_request_and_response_are_forwarded_unchanged(start_proxy: StartProxy) -> None:
    upstream = Upstream(response(200, b"\x00tile", "Content-Type: image/x", "X-Load: inflight=7"))
    harness = await start_proxy(upstream)
    reply = await harness.send_request(
        "/put/a?b=c",
        b"debit",
        idempotency_key="5c0f",
        x_request_id="9b1f03aa",
        connection="keep-alive",
    )
    assert (status(reply), reply.body) == (200, b"\x00tile")
    assert reply.headers["content-type"] == "image/x"
    received = upstream.received[0]
    assert (received.start_line, received.body) == ("POST /put/a?b=c HTTP/1.1", b"debit")
    assert received.headers["x-request-id"] == "9b1f03aa"
    assert received.headers["idempotency-key"] == "5c0f"
    assert received.headers["x-class"] == "put"
    remaining = received.headers["x-deadline"]
    assert remaining.endswith("u")
    assert 0 < int(remaining[:-1]) <= 2_000_000


async def test_deadline_in_microseconds_is_accepted(start_proxy: StartProxy) -> None:
    upstream = Upstream()
    harness = await start_proxy(upstream)
    assert status(await harness.send_request(deadline="900000u")) == 200
    assert 0 < int(upstream.received[0].headers["x-deadline"][:-1]) <= 900_000


RESPONSE_WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\n\r\nto the end"


async def send_without_length_and_close(request: ReceivedMessage, writer: asyncio.StreamWriter) -> None:
    writer.write(RESPONSE_WITHOUT_LENGTH)
    writer.close()


async def send_without_length_and_reset(request: ReceivedMessage, writer: asyncio.StreamWriter) -> None:
    """Reset the connection once the balancer has received the body: a reset is no end."""
    writer.write(RESPONSE_WITHOUT_LENGTH)
    await asyncio.sleep(0.05)
    client_socket = writer.get_extra_info("socket")
    client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


@pytest.mark.parametrize(
    ("script", "outcome", "client_status"),
    [
        (response(503, b"", "X-Not-Run: 1"), Outcome.REJECTED, 503),
        (response(504, b"", "X-Not-Run: 1"), Outcome.REJECTED, 503),
        (response(503, b"", "X-Not-Run: 1 \t"), Outcome.REJECTED, 503),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 4 \r\n\r\ntile", Outcome.SUCCEEDED, 200),
        (response(503, b""), Outcome.ERROR, 502),
        (response(500, b""), Outcome.ERROR, 502),
        (response(200, b"x" * 65_537), Outcome.RESET, 502),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx", Outcome.RESET, 502),
        (b"HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nxxxx", Outcome.RESET, 502),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 2\r\n\r\nxxxx", Outcome.RESET, 502),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\nx", Outcome.RESET, 502),
        (send_without_length_and_close, Outcome.SUCCEEDED, 200),
        (send_without_length_and_reset, Outcome.RESET, 502),
        (b"HTTP/1.1 200 OK\r\nX-Long: " + b"x" * 70_000, Outcome.RESET, 502),
        (b"HTTP/1.1 102 Wait\r\n\r\n" * 4_000, Outcome.RESET, 502),
        (b"HTTP/1.1 101 Switch\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\nxx", Outcome.RESET, 502),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut", Outcome.RESET, 502),
        (b"nonsense\r\n\r\n", Outcome.RESET, 502),
        (reset_connection, Outcome.RESET, 502),
    ],
)
async def test_outcome_of_each_upstream_response(
    start_proxy: StartProxy, script: Any, outcome: Outcome, client_status: int
) -> None:
    async def run_script(received: ReceivedMessage, writer: asyncio.StreamWriter) -> None:
        if isinstance(script, bytes):
            writer.write(script)
            if b"cut" in script:
                writer.close()
        else:
            await script(received, writer)

    upstream = Upstream(run_script)
    harness = await start_proxy(upstream)
    events = record_events(harness)
    assert status(await harness.send_request("/pay/x", b"debit")) == client_status
    # Only a rejected attempt, which had no effect, may be retried; the other outcomes here forbid a retry.
    assert set(outcomes(events)) == {outcome}
    assert len(upstream.received) == (3 if outcome is Outcome.REJECTED else 1)


async def test_body_without_length_is_forwarded_whole(start_proxy: StartProxy) -> None:
    """Guards against served requests whose result is thrown away since it has no length."""
    harness = await start_proxy(Upstream(send_without_length_and_close))
    reply = await harness.send_request("/pay/x", b"debit")
    assert (status(reply), reply.body) == (200, b"to the end")


async def test_failed_connect_is_retried_on_another_upstream(start_proxy: StartProxy) -> None:
    stopped_upstream, upstream = Upstream(), Upstream()
    harness = await start_proxy(stopped_upstream, upstream)
    stopped_upstream.server.close()
    await stopped_upstream.server.wait_closed()
    events = record_events(harness)
    replies = [await harness.send_request("/pay/x", b"debit") for _ in range(8)]
    assert {status(reply) for reply in replies} == {200}
    assert Outcome.CONNECT_FAILED in outcomes(events)
    assert outcomes(events).count(Outcome.SUCCEEDED) == len(upstream.received) == 8


async def test_unresponsive_upstream_fails_request_by_deadline(start_proxy: StartProxy) -> None:
    upstream = Upstream(never_respond)
    harness = await start_proxy(upstream)
    events = record_events(harness)
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    assert status(await harness.send_request("/pay/x", b"debit", deadline="300m")) == 502
    assert loop.time() - started_at < 0.3 + 0.05
    assert outcomes(events) == [Outcome.TIMED_OUT]
    await upstream.connection_closed.wait()  # the timeout closes the connection


async def test_response_cancels_other_hedged_attempt(start_proxy: StartProxy) -> None:
    first, second = Upstream(never_respond), Upstream(never_respond)
    harness = await start_proxy(first, second)
    events = record_events(harness)
    client = await harness.connect_client()
    client.send(deadline="1200m")
    await asyncio.gather(first.request_received.wait(), second.request_received.wait())
    second.writers[0].write(response(200, b"second"))
    assert (await client.read_response()).body == b"second"
    await first.connection_closed.wait()
    assert sorted(outcome.value for outcome in outcomes(events)) == ["cancelled", "served"]
    assert not harness.proxy.open_requests


async def test_client_disconnect_cancels_attempt(start_proxy: StartProxy) -> None:
    upstream = Upstream(never_respond)
    harness = await start_proxy(upstream)
    events = record_events(harness)
    client = await harness.connect_client()
    client.send()
    await upstream.request_received.wait()
    client.writer.close()
    await upstream.connection_closed.wait()
    assert any(isinstance(event, ClientDisconnected) for event in events)
    assert outcomes(events) == [Outcome.CANCELLED]
    assert not harness.proxy.open_requests


async def test_policy_exception_fails_only_one_request(
    start_proxy: StartProxy, capsys: pytest.CaptureFixture[str]
) -> None:
    upstream = Upstream()
    harness = await start_proxy(upstream)
    handle = harness.proxy.balancer.handle

    def raise_for_first_request(event: Event, now: float) -> list[Action]:
        if isinstance(event, RequestReceived) and event.request_id == 1:
            raise InjectedPolicyError
        return handle(event, now)

    replace_policy(harness, raise_for_first_request)
    assert status(await harness.send_request()) == 503
    assert status(await harness.send_request()) == 200
    assert "injected policy error" in capsys.readouterr().err


async def test_watchdog_responds_if_policy_does_not(start_proxy: StartProxy) -> None:
    harness = await start_proxy(Upstream())
    replace_policy(harness, lambda event, now: [])
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    assert status(await harness.send_request(deadline="200m")) == 503
    assert 0.1 < loop.time() - started_at < 0.25


async def test_healthz_returns_200(start_proxy: StartProxy) -> None:
    harness = await start_proxy()
    client = await harness.connect_client()
    client.writer.write(b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n")
    assert status(await client.read_response()) == 200
