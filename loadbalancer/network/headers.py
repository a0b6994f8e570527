"""HTTP headers: their type, the size limits of a message, and the ones that a proxy passes on."""

from __future__ import annotations

MAX_BODY_BYTES = 65_536
"""Limit on the body of a message, which the protocol between the services sets."""

MAX_HEAD_BYTES = 65_536
"""Limit on a message without its body: start line, headers, chunk framing, earlier interim responses."""

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
    """Return the headers that a proxy passes on.

    Leaves out the hop-by-hop headers of HTTP, and those that a Connection header names: they concern one
    connection only.
    """
    excluded = _HOP_BY_HOP_HEADERS
    for name, value in headers:
        if name == b"connection":
            excluded |= {token.strip().lower() for token in value.split(b",")}
    return [pair for pair in headers if pair[0] not in excluded]
