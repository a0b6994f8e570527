"""HTTP headers: their type, the size limits of a message, and which ones a proxy may pass on."""

from __future__ import annotations

MAX_BODY_BYTES = 65_536
"""The protocol's limit on a body."""

MAX_HEAD_BYTES = 65_536
"""Limit on the headers of a message, all lines together."""

_HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"content-length",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)

Headers = list[tuple[bytes, bytes]]
"""Headers in their order on the wire; the names of received ones are in lower case."""


def end_to_end_headers(headers: Headers) -> Headers:
    """Select the headers that a proxy passes on.

    Leaves out those that concern one connection only: the hop-by-hop headers of HTTP, and the ones that a
    Connection header names.
    """
    named_by_connection = {
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    }
    return [
        (name, value)
        for name, value in headers
        if name not in _HOP_BY_HOP_HEADERS and name not in named_by_connection
    ]
