"""The balancer and its parser agree on where a response ends, in any form and any pieces."""

from __future__ import annotations

import pytest

from loadbalancer.network.errors import InvalidResponseError
from loadbalancer.network.response_parser import Response, ResponseParser

NEXT_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnext"
PIECE_SIZES = pytest.mark.parametrize("piece_bytes", [1, 7, 10_000])


def encode(start_line: bytes, fields: bytes, body: bytes = b"") -> bytes:
    return start_line + b"\r\n" + fields + b"\r\n" + body


def parse(data: bytes, piece_bytes: int) -> tuple[Response | None, ResponseParser]:
    """Parse up to the end of the first response; return it, and the parser."""
    parser = ResponseParser()
    for start in range(0, len(data), piece_bytes):
        response = parser.feed(data[start : start + piece_bytes])
        if response is not None:
            return response, parser
    return None, parser


@PIECE_SIZES
@pytest.mark.parametrize(
    "data",
    [
        encode(b"HTTP/1.1 099 Odd", b"Content-Length: 0\r\n"),
        encode(b"HTTP/1.1 099 Odd", b""),
        encode(b"HTTP/1.1 103 Early Hints", b"Content-Length: %d\r\n" % len(NEXT_RESPONSE)),
        encode(b"HTTP/1.1 103 Early Hints", b"Transfer-Encoding: chunked\r\n"),
        encode(b"HTTP/1.1 200 OK", b"Transfer-Encoding: chunked\t\r\n"),
        encode(b"HTTP/1.1 200 OK", b"Transfer-Encoding: gzip, chunked\r\n"),
        encode(b"HTTP/1.1 200 OK", b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"),
        encode(b"HTTP/1.1 200 OK", b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n"),
    ],
)
def test_response_with_uncertain_end_is_invalid(data: bytes, piece_bytes: int) -> None:
    """Guards against the bytes behind the head being read as the final response."""
    with pytest.raises(InvalidResponseError):
        parse(data + NEXT_RESPONSE, piece_bytes)


@PIECE_SIZES
@pytest.mark.parametrize(
    ("data", "body"),
    [
        (encode(b"HTTP/1.1 204 No Content", b"Content-Length: 4\r\n"), b""),
        (encode(b"HTTP/1.1 204 No Content", b"Transfer-Encoding: chunked\r\n"), b""),
        (encode(b"HTTP/1.1 304 Not Modified", b"Content-Length: 4\r\n"), b""),
        (
            encode(
                b"HTTP/1.0 200 OK",
                b"Connection: keep-alive\r\nTransfer-Encoding: chunked\r\n",
                b"4\r\ntile\r\n0\r\n\r\n",
            ),
            b"tile",
        ),
    ],
)
def test_connection_is_not_reused_after_uncertain_end(data: bytes, body: bytes, piece_bytes: int) -> None:
    """Guards against a body that follows later and would answer the next request."""
    response, parser = parse(data, piece_bytes)
    assert response is not None
    assert response.body == body
    assert not parser.may_reuse


@PIECE_SIZES
@pytest.mark.parametrize(
    ("data", "body"),
    [
        (encode(b"HTTP/1.1 200 OK", b"Content-Length:\t4\t\r\n", b"tile"), b"tile"),
        (encode(b"HTTP/1.1 200 OK", b"Transfer-Encoding: Chunked \r\n", b"4\r\ntile\r\n0\r\n\r\n"), b"tile"),
        (
            encode(
                b"HTTP/1.1 200 OK", b"Connection: upgrade\r\nUpgrade: h2c\r\nContent-Length: 4\r\n", b"tile"
            ),
            b"tile",
        ),
        (encode(b"HTTP/1.1 103 Early Hints", b"") + encode(b"HTTP/1.1 204 No Content", b""), b""),
        (encode(b"HTTP/1.1 100 Continue", b"Content-Length: 0\r\n") + NEXT_RESPONSE, b"next"),
        (encode(b"HTTP/1.0 200 OK", b"Connection: keep-alive\r\nContent-Length: 4\r\n", b"tile"), b"tile"),
    ],
)
def test_connection_is_reused_after_certain_end(data: bytes, body: bytes, piece_bytes: int) -> None:
    response, parser = parse(data, piece_bytes)
    assert response is not None
    assert response.body == body
    assert parser.may_reuse


@PIECE_SIZES
@pytest.mark.parametrize(
    "data",
    [
        encode(b"HTTP/1.1 200 OK", b"Content-Length: 60000\r\n", b"x" * 60_000),
        encode(b"HTTP/1.1 503 Busy", b"X-Long: %b\r\nContent-Length: 0\r\n" % (b"y" * 30_000)),
    ],
)
def test_nothing_is_buffered_after_response(data: bytes, piece_bytes: int) -> None:
    """Guards against idle connections that each keep their last response (review case 9)."""
    response, parser = parse(data, piece_bytes)
    assert response is not None
    assert parser.held_bytes == 0
    assert parser.feed(NEXT_RESPONSE) is not None


def test_nothing_is_buffered_after_response_without_length() -> None:
    parser = ResponseParser()
    parser.feed(encode(b"HTTP/1.1 200 OK", b"", b"x" * 60_000))
    response = parser.finish()
    assert response is not None
    assert len(response.body) == 60_000
    assert parser.held_bytes == 0
