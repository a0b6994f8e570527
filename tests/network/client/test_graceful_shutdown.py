"""Graceful shutdown: each request gets a response, and no connection is reset."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

from loadbalancer.events import Outcome
from loadbalancer.network.client import graceful_shutdown
from loadbalancer.network.client.expiry import ConnectionExpiry
from loadbalancer.network.client.requests.request_reader import HEAD_SLICE_BYTES
from tests.support.disconnecting_clients import request_bytes
from tests.support.event_recorder import outcomes, record_events
from tests.support.http_messages import response, status
from tests.support.scripted_upstream import Upstream, never_respond
from tests.support.waiting import wait_until

if TYPE_CHECKING:
    import pytest

    from tests.support.fixture_types import StartProxy
    from tests.support.http_client import Client
    from tests.support.proxy_harness import ProxyHarness


def set_shutdown_times(
    monkeypatch: pytest.MonkeyPatch,
    *,
    accept_s: float | None = None,
    keep_alive_s: float | None = None,
    max_deadline_s: float | None = None,
) -> None:
    """Replace the given time limits of the shutdown; None keeps the default."""
    times = {
        "SHUTDOWN_ACCEPT_S": accept_s,
        "SHUTDOWN_KEEP_ALIVE_S": keep_alive_s,
        "SHUTDOWN_MAX_DEADLINE_S": max_deadline_s,
    }
    for name, value in times.items():
        if value is not None:
            monkeypatch.setattr(graceful_shutdown, name, value)


async def connect_and_get_response(harness: ProxyHarness) -> Client:
    """Return a client that has received the response to its first request."""
    client = await harness.connect_client()
    client.send()
    assert status(await client.read_response()) == 200
    return client


async def test_connections_stay_open_for_keep_alive_time(
    start_proxy: StartProxy, monkeypatch: pytest.MonkeyPatch
) -> None:
    """If connections closed at once, clients would have no balancer to use while another one restarts."""
    set_shutdown_times(monkeypatch, accept_s=0.0, keep_alive_s=60.0, max_deadline_s=120.0)
    harness = await start_proxy(Upstream())
    listener = harness.proxy.listener
    listener.max_deadline_s = 120.0
    client = await connect_and_get_response(harness)
    shutdown = asyncio.ensure_future(listener.shut_down())
    await wait_until(lambda: listener.is_closed, "the listener is closed")
    for _ in range(2):
        client.send()
        reply = await client.read_response()
        assert status(reply) == 200
        assert "connection" not in reply.headers
    set_shutdown_times(monkeypatch, keep_alive_s=0.0)
    assert await client.reader.read() == b""  # closed without a reset after the keep-alive time
    client.writer.close()
    await shutdown


async def test_connections_close_after_half_of_max_deadline(
    start_proxy: StartProxy,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Requests sent later would be lost: the platform kills the process soon after the maximum deadline."""
    set_shutdown_times(monkeypatch, keep_alive_s=60.0)
    harness = await start_proxy(Upstream())
    client = await connect_and_get_response(harness)
    harness.proxy.listener.max_deadline_s = 0.2
    shutdown = asyncio.ensure_future(harness.proxy.listener.shut_down())
    assert await client.reader.read() == b""  # closed without a reset
    assert harness.proxy.listener.context.closes_connections, (
        "closed by the shutdown, not by the idle timeout"
    )
    client.writer.close()
    await shutdown


async def test_open_requests_and_new_connections_get_responses(
    start_proxy: StartProxy, monkeypatch: pytest.MonkeyPatch
) -> None:
    set_shutdown_times(monkeypatch, keep_alive_s=0.0)
    upstream = Upstream(response(), never_respond, response())
    harness = await start_proxy(upstream)
    idle = await harness.connect_client()
    busy = await harness.connect_client()
    idle.send()
    assert status(await idle.read_response()) == 200
    upstream.request_received.clear()
    busy.send("/pay/x", b"debit")
    await upstream.request_received.wait()
    shutdown = asyncio.ensure_future(harness.proxy.listener.shut_down())
    await asyncio.sleep(0)
    assert status(await harness.send_request()) == 200
    assert await idle.reader.read() == b""  # closed without a reset
    upstream.writers[-1].write(b"")
    for writer in upstream.writers:
        writer.write(response(200, b"at last"))
    reply = await busy.read_response()
    assert (status(reply), reply.body) == (200, b"at last")
    assert reply.headers["connection"] == "close"
    busy.writer.close()
    idle.writer.close()
    await shutdown


async def test_request_in_accept_queue_gets_response(
    start_proxy: StartProxy, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The client sends its complete request before its connection is accepted."""
    set_shutdown_times(monkeypatch, accept_s=0.0, keep_alive_s=0.0)
    harness = await start_proxy(Upstream())
    listener = harness.proxy.listener
    clients = list[socket.socket]()
    accept_pending = listener.accept_pending

    def connect_then_accept() -> bool:
        clients.append(socket.create_connection(listener.address))
        clients[0].sendall(
            b"GET /read/x HTTP/1.1\r\nX-Class: read\r\nX-Request-Id: 1\r\nX-Deadline: 900m\r\n\r\n"
        )
        return accept_pending()

    monkeypatch.setattr(listener, "accept_pending", connect_then_accept)
    shutdown = asyncio.ensure_future(listener.shut_down())
    await wait_until(lambda: clients, "the client has connected", poll_interval_s=0.0)
    clients[0].settimeout(0.0)
    reply = await asyncio.get_running_loop().sock_recv(clients[0], 100)
    assert reply.startswith(b"HTTP/1.1 200")
    clients[0].close()
    await shutdown


async def test_accept_queue_is_emptied_at_connection_limit(
    start_proxy: StartProxy,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """If connections were still queued, the kernel would reset them when the listening socket is closed."""
    set_shutdown_times(monkeypatch, accept_s=0.0)
    upstream = Upstream(never_respond, response())
    harness = await start_proxy(upstream)
    listener = harness.proxy.listener
    listener.connection_limit = 1
    busy = await harness.connect_client()
    busy.send("/pay/x", b"debit")
    await upstream.request_received.wait()
    queued = await harness.connect_client()  # waits in the accept queue
    queued.send()
    shutdown = asyncio.ensure_future(listener.shut_down())
    await wait_until(lambda: listener.context.is_shutting_down, "the shutdown has begun", poll_interval_s=0.0)
    for _ in range(3):
        await asyncio.sleep(0)  # lets the listener try to accept
    upstream.writers[0].write(response(200, b"at last"))
    assert (await busy.read_response()).body == b"at last"
    busy.writer.close()
    assert status(await queued.read_response()) == 200
    queued.writer.close()
    await shutdown


async def test_request_after_abort_is_rejected(start_proxy: StartProxy) -> None:
    """The process ends before an upstream could respond, so no attempt is started."""
    upstream = Upstream()
    harness = await start_proxy(upstream)
    client = await harness.connect_client()
    harness.proxy.abort_open_requests()
    client.send()
    assert status(await client.read_response()) == 503
    assert not upstream.connection_count


async def test_open_requests_get_response_when_shutdown_ends(
    start_proxy: StartProxy,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    set_shutdown_times(monkeypatch, accept_s=0.0, keep_alive_s=0.0, max_deadline_s=0.2)
    upstream = Upstream(never_respond)
    harness = await start_proxy(upstream)
    client = await harness.connect_client()
    client.send("/pay/x", b"debit")
    await upstream.request_received.wait()
    events = record_events(harness)
    shutdown = asyncio.ensure_future(harness.proxy.listener.shut_down())
    assert status(await client.read_response()) == 502
    await shutdown
    assert outcomes(events) == [Outcome.CANCELLED]  # not by a timeout of the attempt


async def test_request_racing_with_idle_close_gets_response(
    start_proxy: StartProxy,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The request arrives during the check for idleness, which sees no request yet."""
    set_shutdown_times(monkeypatch, accept_s=0.0, keep_alive_s=0.0)
    harness = await start_proxy(Upstream())
    client = await connect_and_get_response(harness)
    (connection,) = harness.proxy.listener.connections
    is_idle = connection.expiry.is_idle
    request_sent = asyncio.Event()

    def send_then_check_idle() -> bool:
        if not request_sent.is_set():
            request_sent.set()
            client.send()  # sent immediately, and read only after the check
        return is_idle()

    monkeypatch.setattr(ConnectionExpiry, "is_idle", lambda expiry: send_then_check_idle())
    shutdown = asyncio.ensure_future(harness.proxy.listener.shut_down())
    reply = await client.read_response()
    assert status(reply) == 200
    assert reply.headers["connection"] == "close"
    client.writer.close()
    await shutdown


async def test_pipelined_requests_get_responses_during_shutdown(
    start_proxy: StartProxy, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a close after the last parsed request while whole ones are still unparsed."""
    request_count = 80
    set_shutdown_times(monkeypatch, accept_s=0.0, keep_alive_s=0.0)
    harness = await start_proxy(Upstream())
    client = await connect_and_get_response(harness)
    for _ in range(request_count):
        client.send("/pay/x", b"x" * 2_000)
    shutdown = asyncio.ensure_future(harness.proxy.listener.shut_down())
    replies = [await client.read_response() for _ in range(request_count)]
    assert {status(reply) for reply in replies} <= {200, 502, 503}
    client.writer.close()
    await shutdown


async def test_many_pipelined_requests_get_responses_at_the_end_of_shutdown(
    start_proxy: StartProxy, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an end after a fixed number of iterations, with requests left (review case 8)."""
    set_shutdown_times(monkeypatch, accept_s=0.0, keep_alive_s=0.0, max_deadline_s=0.2)
    monkeypatch.setattr(graceful_shutdown, "SHUTDOWN_KILL_S", 60.0)  # at any speed of the machine
    client_count, request_count = 4, 3_000
    harness = await start_proxy(Upstream(never_respond))
    clients = [await harness.connect_client() for _ in range(client_count)]
    for number, client in enumerate(clients):
        ids = range(number * request_count, (number + 1) * request_count)
        client.writer.write(b"".join(request_bytes("/read", request_id) for request_id in ids))
    await wait_until(lambda: harness.proxy.open_requests == client_count, "a request of each is open")
    reading = [asyncio.ensure_future(client.read_statuses(request_count)) for client in clients]
    await harness.proxy.listener.shut_down()
    responses = harness.proxy.listener.context.counters.responses
    assert responses[502] + responses[503] == client_count * request_count
    for statuses in await asyncio.gather(*reading):
        assert set(statuses) <= {502, 503}


async def test_requests_that_wait_behind_others_are_rejected_before_the_end(
    start_proxy: StartProxy, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Their refusals take no time from the final responses; a request that waits for none is forwarded."""
    set_shutdown_times(monkeypatch, accept_s=0.0, keep_alive_s=0.0, max_deadline_s=60.0)
    monkeypatch.setattr(graceful_shutdown, "SHUTDOWN_REJECT_WAITING_S", 120.0)
    upstream = Upstream(never_respond)
    harness = await start_proxy(upstream)
    harness.proxy.listener.max_deadline_s = 60.0
    client = await harness.connect_client()
    for _ in range(3):
        client.send("/pay/x", b"debit" * HEAD_SLICE_BYTES)  # none is parsed together with another one
    await upstream.request_received.wait()
    shutdown = asyncio.ensure_future(harness.proxy.listener.shut_down())
    context = harness.proxy.listener.context
    await wait_until(lambda: context.rejects_waiting_requests, "waiting requests are refused")
    for writer in upstream.writers:
        writer.write(response())
    assert [status(await client.read_response()) for _ in range(3)] == [200, 503, 503]
    assert len(upstream.received) == 1
    client.writer.close()
    await shutdown
