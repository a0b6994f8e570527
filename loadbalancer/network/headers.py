"""HTTP headers: their type, the size limits of messages, and the end-to-end headers."""

from __future__ import annotations

MAX_BODY_BYTES = 65_536
"""Maximum body size in bytes, set by the HTTP protocol that clients, balancers and upstreams share."""

MAX_HEAD_BYTES = 65_536
"""Maximum size of a request or response without its body, in bytes.

This includes the start line, headers, chunk framing and interim responses.
"""

MAX_HEADER_FIELDS = 100
"""Maximum number of header fields of a request or response; a field costs far more memory than its text."""

VERSION_WITHOUT_CODINGS = "1.0"
"""The version of HTTP whose messages have no Transfer-Encoding (RFC 9112, section 6.1)."""

FIELD_WHITE_SPACE = b" \t"
"""White space around a field value, which is not a part of it (RFC 9110, section 5.5)."""

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
"""Headers in their order on the wire; the names of received headers are in lower case."""


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers that a proxy forwards.

    Hop-by-hop headers, and headers that a Connection header names, are left out: they apply to a single
    connection only.
    """
    excluded = _HOP_BY_HOP_HEADERS
    for name, value in headers:
        if name == b"connection":
            excluded |= {token.strip().lower() for token in value.split(b",")}
    return [pair for pair in headers if pair[0] not in excluded]
