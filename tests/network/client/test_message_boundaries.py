"""The balancer and its parser agree on where a request ends, in any form and any pieces."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import pytest

from loadbalancer.network.client.requests.request_arrival import RequestArrival
from loadbalancer.network.client.requests.request_parser import RequestParser
from tests.support.configurations import config_text, configuration
from tests.support.http_messages import status
from tests.support.scripted_upstream import Upstream

if TYPE_CHECKING:
    from loadbalancer.network.client.requests.incoming_request import IncomingRequest
    from loadbalancer.network.client.requests.rejection import Rejection
    from tests.support.fixture_types import StartProxy

UPGRADE_OFFER = b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAEAAEAAAAIAAAAB\r\n"
# A body that is itself a request.
QUOTED_REQUEST = b"GET /read HTTP/1.1\r\nX-Class: read\r\nX-Request-Id: quoted\r\nX-Deadline: 900m\r\n\r\n"


def post(request_id: bytes, fields: bytes, body: bytes) -> bytes:
    """Return a request with a body; `fields` are complete lines that give its framing."""
    head = b"POST /pay/x HTTP/1.1\r\nX-Class: pay\r\nX-Request-Id: %b\r\nX-Deadline: 900m\r\n" % request_id
    return head + fields + b"\r\n" + body


def with_length(request_id: bytes, body: bytes, fields: bytes = b"") -> bytes:
    return post(request_id, fields + b"Content-Length: %d\r\n" % len(body), body)


def chunked(request_id: bytes, body: bytes, fields: bytes = b"", trailers: bytes = b"") -> bytes:
    chunks = [b"%x;extension=1\r\n%b\r\n" % (len(part), part) for part in (body[:5], body[5:]) if part]
    framing = fields + b"Transfer-Encoding: chunked\r\n"
    return post(request_id, framing, b"".join([*chunks, b"0\r\n", trailers, b"\r\n"]))


class ParsedInput:
    """The result of parsing input in pieces of one size."""

    def __init__(self, data: bytes, piece_bytes: int, *, is_refusing: bool = False) -> None:
        self.requests: list[IncomingRequest | None] = []
        self.rejection: Rejection | None = None
        settings = configuration(config_text("127.0.0.1:1", [])).settings
        classes = {request_class.name: request_class for request_class in settings.classes}
        parser = RequestParser(classes, RequestArrival(0.0), self.requests.append)
        parser.is_refusing = is_refusing
        for start in range(0, len(data), piece_bytes):
            self.rejection = parser.feed(data[start : start + piece_bytes])
            if self.rejection is not None:
                break

    def ids_and_bodies(self) -> list[tuple[bytes, bytes]]:
        return [(request.head.request_id, request.body) for request in self.requests if request is not None]


@pytest.mark.parametrize("piece_bytes", [1, 7, 64, 10_000])
@pytest.mark.parametrize("body", [b"", b"{}", QUOTED_REQUEST])
@pytest.mark.parametrize("fields", [b"", UPGRADE_OFFER])
def test_body_ends_where_its_framing_says(fields: bytes, body: bytes, piece_bytes: int) -> None:
    """Guards against request smuggling: the body of a request that offers a protocol became requests."""
    data = b"".join(
        [
            with_length(b"a1", body, fields),
            chunked(b"a2", body, fields),
            chunked(b"a3", body, fields, trailers=b"X-Trailer: 1\r\n" + UPGRADE_OFFER),
            with_length(b"a4", body),
        ]
    )
    parsed = ParsedInput(data, piece_bytes)
    assert parsed.rejection is None
    assert parsed.ids_and_bodies() == [(b"a1", body), (b"a2", body), (b"a3", body), (b"a4", body)]


@pytest.mark.parametrize("piece_bytes", [1, 10_000])
@pytest.mark.parametrize("fields", [b"", UPGRADE_OFFER])
def test_rejected_body_ends_where_its_framing_says(fields: bytes, piece_bytes: int) -> None:
    """Guards against request smuggling while requests are refused: each one is refused exactly once."""
    data = with_length(b"a1", QUOTED_REQUEST, fields) + chunked(b"a2", QUOTED_REQUEST, fields)
    parsed = ParsedInput(data, piece_bytes, is_refusing=True)
    assert parsed.rejection is None
    assert parsed.requests == [None, None]


@pytest.mark.parametrize("method", [b"HEAD", b"CONNECT", b"PUT"])
def test_other_method_ends_the_connection_while_requests_are_rejected(method: bytes) -> None:
    """Guards against a refusal with a body in response to HEAD, which the client reads as a response."""
    data = with_length(b"a1", b"") + method + b" /read HTTP/1.1\r\n\r\n" + with_length(b"a2", b"")
    parsed = ParsedInput(data, 10_000, is_refusing=True)
    assert parsed.requests == [None]
    assert parsed.rejection is not None
    assert parsed.rejection.status == 405


@pytest.mark.parametrize("piece_bytes", [1, 10_000])
@pytest.mark.parametrize("offer", [b"", UPGRADE_OFFER])
@pytest.mark.parametrize("is_refusing", [False, True])
def test_nothing_follows_request_that_closes_connection(
    offer: bytes, piece_bytes: int, *, is_refusing: bool
) -> None:
    """Guards against a second response, 400, behind `Connection: close` (RFC 9112, section 9.6)."""
    data = with_length(b"a1", b"{}", offer + b"Connection: close\r\n") + with_length(b"a2", b"{}")
    parsed = ParsedInput(data, piece_bytes, is_refusing=is_refusing)
    assert parsed.rejection is None
    assert len(parsed.requests) == 1


@pytest.mark.parametrize("is_refusing", [False, True])
@pytest.mark.parametrize(
    ("version", "expected_status"), [(b"1.1", None), (b"1.0", 400), (b"0.9", 505), (b"2.0", 505)]
)
def test_chunked_body_needs_version_1_1(
    version: bytes, expected_status: int | None, *, is_refusing: bool
) -> None:
    """Guards against request smuggling through a recipient that knows no chunks (RFC 9112, section 6.1)."""
    data = chunked(b"a1", b"{}", b"Connection: keep-alive\r\n").replace(b"HTTP/1.1", b"HTTP/" + version, 1)
    parsed = ParsedInput(data, 10_000, is_refusing=is_refusing)
    assert (parsed.rejection.status if parsed.rejection else None) == expected_status


@pytest.mark.parametrize("piece_bytes", [1, 10_000])
def test_version_1_0_with_length_is_served(piece_bytes: int) -> None:
    data = with_length(b"a1", b"{}", b"Connection: keep-alive\r\n").replace(b"HTTP/1.1", b"HTTP/1.0", 1)
    parsed = ParsedInput(data + with_length(b"a2", b"[]"), piece_bytes)
    assert parsed.ids_and_bodies() == [(b"a1", b"{}"), (b"a2", b"[]")]


@pytest.mark.parametrize("offer", [b"", UPGRADE_OFFER])
async def test_one_response_to_request_that_closes_connection(start_proxy: StartProxy, offer: bytes) -> None:
    """Guards against a response behind the last one, whether or not its request has arrived by then."""
    harness = await start_proxy(Upstream())
    client = await harness.connect_client()
    client.writer.write(
        with_length(b"a1", b"{}", offer + b"Connection: close\r\n") + with_length(b"a2", b"{}")
    )
    client.writer.write(with_length(b"a3", b"{}") * 100)
    response = await client.read_response()
    assert status(response) == 200
    assert response.headers["connection"] == "close"
    assert await client.reader.read() == b""
    assert [request.headers["x-request-id"] for request in harness.upstreams[0].received] == ["a1"]


@pytest.mark.parametrize("seed", range(20))
def test_random_requests_are_parsed_as_they_were_sent(seed: int) -> None:
    """Any sequence of forms, cut up at any place, yields the requests that were sent and no other."""
    rng = random.Random(seed)
    sent = []
    data = b""
    for number in range(40):
        body = rng.choice([b"", b"{}", b"0\r\n\r\n", QUOTED_REQUEST, rng.randbytes(rng.randrange(3_000))])
        fields = rng.choice([b"", UPGRADE_OFFER, b"Upgrade: h2c\r\n", b"Connection: keep-alive\r\n"])
        request_id = b"r%d" % number
        sent.append((request_id, body))
        encode = rng.choice([with_length, chunked])
        data += encode(request_id, body, fields) + rng.choice([b"", b"", b"\r\n"])
    parsed = ParsedInput(data, rng.choice([1, 3, 50, 512, 100_000]))
    assert parsed.rejection is None
    assert parsed.ids_and_bodies() == sent


async def test_request_that_offers_protocol_is_forwarded_with_its_body(start_proxy: StartProxy) -> None:
    """Guards against request smuggling: the body was forwarded as a request, the request without its body."""
    upstream = Upstream()
    harness = await start_proxy(upstream)
    client = await harness.connect_client()
    for number, body in enumerate([b"{}", QUOTED_REQUEST]):
        client.writer.write(with_length(b"offer%d" % number, body, UPGRADE_OFFER))
        client.writer.write(with_length(b"next%d" % number, b"[]"))
        assert status(await client.read_response()) == 200
        assert status(await client.read_response()) == 200
    assert [(request.headers["x-request-id"], request.body) for request in upstream.received] == [
        ("offer0", b"{}"),
        ("next0", b"[]"),
        ("offer1", QUOTED_REQUEST),
        ("next1", b"[]"),
    ]
