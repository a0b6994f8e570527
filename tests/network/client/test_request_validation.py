"""Malformed, ambiguous and oversized requests are rejected without reaching an upstream."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from loadbalancer.network.headers import MAX_HEADER_FIELDS
from loadbalancer.network.memory_budget import HeldKind
from tests.support.http_messages import status
from tests.support.scripted_upstream import Upstream

if TYPE_CHECKING:
    from tests.support.fixture_types import StartProxy
    from tests.support.http_client import Client


def valid_headers(class_name: bytes = b"read", deadline: bytes = b"900m") -> bytes:
    return b"X-Class: %b\r\nX-Request-Id: a1\r\nX-Deadline: %b\r\n" % (class_name, deadline)


async def read_until_error(client: Client) -> None:
    while True:
        await client.reader.readexactly(1)


@pytest.mark.parametrize(
    ("raw", "expected_status"),
    [
        # Two parsers could interpret these differently.
        (b"POST /pay HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400),
        (b"POST /pay HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n", 400),
        (b"POST /pay HTTP/1.1\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nxxxxx", 400),
        (b"POST /pay HTTP/1.1\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\nxxxx", 400),
        (b"POST /pay HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400),
        (b"POST /pay HTTP/1.1\r\nContent-Length: +4\r\n\r\nxxxx", 400),
        (b"POST /pay HTTP/1.1\r\nContent-Length: -4\r\n\r\nxxxx", 400),
        (b"GET /read HTTP/1.1\n" + valid_headers().replace(b"\r\n", b"\n") + b"\n", 400),
        (b"GET /read HTTP/1.1\r\n" + valid_headers() + b"X-Request-Id: a2\r\n\r\n", 400),
        (b"GET /read HTTP/1.1\r\n" + valid_headers() + b"X-Class: read\r\n\r\n", 400),
        (b"GET /read HTTP/1.1\r\n" + valid_headers() + b"X-Deadline: 9m\r\n\r\n", 400),
        # Malformed numbers, and numbers out of range.
        (b"GET /read HTTP/1.1\r\n" + valid_headers(deadline=b"1_0m") + b"\r\n", 400),
        (b"GET /read HTTP/1.1\r\n" + valid_headers(deadline=b"1e3m") + b"\r\n", 400),
        (b"GET /read HTTP/1.1\r\n" + valid_headers(deadline=b"0m") + b"\r\n", 400),
        (b"GET /read HTTP/1.1\r\n" + valid_headers(deadline=b"9" * 400 + b"m") + b"\r\n", 400),
        # Rejected before any of the body arrives.
        (b"POST /pay HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n", 413),
        (b"POST /pay HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n", 400),
        # The method must be one that the class allows.
        (b"POST /read HTTP/1.1\r\n" + valid_headers() + b"Content-Length: 1\r\n\r\nx", 400),
        (b"GET /read HTTP/1.1\r\n" + valid_headers() + b"Content-Length: 1\r\n\r\nx", 400),
        (b"GET /pay HTTP/1.1\r\n" + valid_headers(b"pay") + b"\r\n", 400),
        (b"POST /pay HTTP/1.1\r\n" + valid_headers(b"pay") + b"Idempotency-Key: k\r\n\r\n", 400),
        (b"POST /put HTTP/1.1\r\n" + valid_headers(b"put") + b"\r\n", 400),
        # Input of unbounded length.
        (b"GET /" + b"x" * 70_000, 431),
        (b"GET /read HTTP/1.1\r\nX-Long: " + b"x" * 70_000, 431),
        (b"\r\n" * 40_000, 431),
        (
            b"POST /pay HTTP/1.1\r\n"
            + valid_headers(b"pay")
            + b"Transfer-Encoding: chunked\r\n\r\n1;"
            + b"x" * 70_000,
            431,
        ),
    ],
)
async def test_rejection_closes_client_connection(
    start_proxy: StartProxy, raw: bytes, expected_status: int
) -> None:
    upstream = Upstream()
    harness = await start_proxy(upstream)
    client = await harness.connect_client()
    client.writer.write(raw)
    assert status(await client.read_response()) == expected_status
    assert await client.reader.read() == b""
    assert upstream.connection_count == 0
    assert not harness.proxy.open_requests


@pytest.mark.parametrize(
    ("raw", "expected_status"),
    [
        (b"GET /load HTTP/1.1\r\nHost: h\r\n\r\n", 404),
        (b"GET /other HTTP/1.1\r\nHost: h\r\nX-Class: other\r\n\r\n", 404),
        (b"GET /read HTTP/1.1\r\nHost: h\r\nX-Request-Id: 1\r\nX-Deadline: 9m\r\n\r\n", 400),
        (b"GET /read HTTP/1.1\r\nHost: h\r\nX-Class: read\r\nX-Request-Id: 1\r\n\r\n", 400),
        (b"GET /read HTTP/1.1\r\nX-Class: read\r\nX-Request-Id: 1\r\nX-Deadline: nanm\r\n\r\n", 400),
        (b"GET /read HTTP/1.1\r\nX-Class: read\r\nX-Request-Id: 1\r\nX-Deadline: -5m\r\n\r\n", 400),
        (b"GET /read HTTP/1.1\r\nX-Class: read\r\nX-Request-Id: 1\r\nX-Deadline: 5s\r\n\r\n", 400),
        (b"GET /read HTTP/1.1\r\nX-Class: read\r\nX-Deadline: 90m\r\n\r\n", 400),
        (b"DELETE /read HTTP/1.1\r\nX-Class: read\r\nX-Request-Id: 1\r\nX-Deadline: 90m\r\n\r\n", 405),
        (b"\x16\x03\x01 not http\r\n\r\n", 400),
        (b"POST /read HTTP/1.1\r\nContent-Length: 70000\r\n\r\n" + b"x" * 70_000, 413),
        (b"GET /read HTTP/1.1\r\nX-Long: " + b"x" * 70_000 + b"\r\n\r\n", 431),
    ],
)
async def test_rejected_request_reaches_no_upstream(
    start_proxy: StartProxy, raw: bytes, expected_status: int
) -> None:
    upstream = Upstream()
    harness = await start_proxy(upstream)
    client = await harness.connect_client()
    client.writer.write(raw)
    assert status(await client.read_response()) == expected_status
    assert not upstream.received
    assert upstream.connection_count == 0


async def test_white_space_after_field_values_is_ignored(start_proxy: StartProxy) -> None:
    """RFC 9110, section 5.5: white space around a field value is not a part of it."""
    upstream = Upstream()
    harness = await start_proxy(upstream)
    client = await harness.connect_client()
    client.writer.write(b"GET /read HTTP/1.1\r\n" + valid_headers().replace(b"\r\n", b" \t\r\n") + b"\r\n")
    assert status(await client.read_response()) == 200
    assert upstream.received[0].headers["x-request-id"] == "a1"


async def test_request_for_another_protocol_gets_one_response(start_proxy: StartProxy) -> None:
    """RFC 9110, section 7.8: a server may ignore Upgrade; a second response would answer the next request."""
    harness = await start_proxy(Upstream())
    client = await harness.connect_client()
    upgrade = valid_headers() + b"Connection: upgrade\r\nUpgrade: h2c\r\n"
    client.writer.write(b"GET /read HTTP/1.1\r\n" + upgrade + b"\r\nGET /healthz HTTP/1.1\r\n\r\n")
    assert (await client.read_response()).body == b"tile"
    assert (await client.read_response()).body == b"ok\n"


@pytest.mark.parametrize(
    ("field_count", "expected_status"), [(MAX_HEADER_FIELDS, 200), (MAX_HEADER_FIELDS + 1, 431)]
)
async def test_number_of_header_fields_is_limited(
    start_proxy: StartProxy, field_count: int, expected_status: int
) -> None:
    """Guards against heads of very many short fields, each of which costs far more memory than its text."""
    harness = await start_proxy(Upstream())
    client = await harness.connect_client()
    other_fields = b"".join(
        b"%x:1\r\n" % number for number in range(field_count - valid_headers().count(b"\n"))
    )
    client.writer.write(b"GET /read HTTP/1.1\r\n" + valid_headers() + other_fields + b"\r\n")
    assert status(await client.read_response()) == expected_status


async def test_input_after_rejection_is_discarded(start_proxy: StartProxy) -> None:
    harness = await start_proxy(Upstream())
    client = await harness.connect_client()
    client.writer.write(b"POST /pay HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n")
    client.writer.write(b"x" * 6_000_000)
    assert status(await client.read_response()) == 413
    assert harness.proxy.budget.held_bytes[HeldKind.INPUT] == 0
    with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
        await read_until_error(client)
