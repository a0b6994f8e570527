"""The head of a client's request, and the checks that decide whether the request is acceptable."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, NamedTuple

from loadbalancer.network.client.requests.rejection import Rejection, RequestRejectedError
from loadbalancer.network.headers import MAX_BODY_BYTES, Headers, end_to_end_headers
from loadbalancer.settings import Idempotency

if TYPE_CHECKING:
    from loadbalancer.settings import RequestClass

MS_PER_UNIT = {b"m": 1.0, b"u": 0.001}
"""The units of X-Deadline: milliseconds and microseconds."""

US_PER_MS = 1000

_DEADLINE = re.compile(rb"([0-9]{1,12}(?:\.[0-9]{1,9})?)([mu])")
_DECIMAL_NUMBER = re.compile(rb"[0-9]{1,12}(?:\.[0-9]{1,9})?")
_CONTENT_LENGTH = re.compile(rb"[0-9]{1,18}")
_TARGET = re.compile(rb"/[\x21-\x7e]*")
_TOKEN = re.compile(rb"[\x21-\x7e]{1,128}")

# A request that repeats one of these headers is rejected: two parsers could use different values.
_UNIQUE_HEADERS = (
    b"content-length",
    b"transfer-encoding",
    b"x-request-id",
    b"x-class",
    b"x-deadline",
    b"x-tenant",
    b"idempotency-key",
    b"host",
)
# X-Deadline is set for each attempt; Expect concerns only the client and the balancer.
_NOT_FORWARDED = frozenset((b"x-deadline", b"expect"))

HeaderMap = dict[bytes, bytes]
"""The value of each header by its lower-case name."""


class RequestHead(NamedTuple):
    """The validated head of a request; for a health check, only the method and the target are set.

    Attributes:
        method: The method: GET or POST.
        target: The path and query.
        request_id: The value of X-Request-Id.
        class_name: The name of the request class.
        deadline_ms: How long the client waits for the response after sending the request.
        tenant: The value of X-Tenant; None if there is none.
        is_client_retry: Whether the client marks the request as a retry.
        cost_hint_ms: The client's estimate of the service time; 0 if there is none.
        forwarded: The head as it is forwarded: the request line and the end-to-end headers. X-Deadline,
            Content-Length and the empty line are added for each attempt.
    """

    method: bytes
    target: bytes
    request_id: bytes = b""
    class_name: str = ""
    deadline_ms: float = 0.0
    tenant: str | None = None
    is_client_retry: bool = False
    cost_hint_ms: float = 0.0
    forwarded: bytes = b""

    def is_health_check(self) -> bool:
        """Return whether the request checks the health of the balancer itself."""
        return _is_health_check(self.method, self.target)


_REFUSED_HEAD = RequestHead(b"", b"")


def read_request_head(
    method: bytes, target: bytes, headers: Headers, classes: dict[str, RequestClass]
) -> RequestHead:
    """Validate the head of a request and extract the values that the balancer uses.

    To prevent request smuggling, a head that the upstream could interpret differently is rejected.

    Args:
        method: The method.
        target: The path and query.
        headers: The headers, with names in lower case.
        classes: The request classes of the settings, by name.

    Raises:
        RequestRejectedError: The request is not acceptable.
    """
    header_map = dict(headers)
    if len(header_map) < len(headers):
        _check_unique_headers(headers)
    _check_body_framing(header_map)
    if _is_health_check(method, target):
        return RequestHead(method, target)
    request_class = _find_class(target, classes)
    _check_method(method, request_class, header_map)
    _check_class_header(header_map, request_class)
    request_id = _read_request_id(header_map)
    # No client waits longer than the deadline of its class. A longer deadline would only delay the release of
    # the request's state.
    deadline_ms = min(_read_deadline_ms(header_map), request_class.deadline_ms)
    return RequestHead(
        method,
        target,
        request_id,
        request_class.name,
        deadline_ms,
        tenant=_read_tenant(header_map),
        is_client_retry=header_map.get(b"x-retry") == b"1",
        cost_hint_ms=_read_cost_hint_ms(header_map),
        forwarded=_build_forwarded_head(method, target, headers),
    )


def read_refused_head(method: bytes, headers: Headers) -> RequestHead:
    """Check only what the ends of a refused request and of its response depend on; return an empty head.

    Args:
        method: The method; a response to HEAD ends with its head.
        headers: The headers, with names in lower case.

    Raises:
        RequestRejectedError: The method is not supported, or the length of the body is not certain.
    """
    _check_method_is_supported(method)
    header_map = dict(headers)
    if len(header_map) < len(headers):
        _check_unique_headers(headers)
    _check_body_framing(header_map)
    return _REFUSED_HEAD


def parse_deadline_ms(text: bytes) -> float | None:
    """Parse a value of X-Deadline: a number and a unit.

    Returns:
        The time in milliseconds; None if the text is malformed or the time is not above 0.
    """
    match = _DEADLINE.fullmatch(text)
    deadline_ms = float(match[1]) * MS_PER_UNIT[match[2]] if match else 0.0
    return deadline_ms if deadline_ms > 0 else None


def _is_health_check(method: bytes, target: bytes) -> bool:
    return target == b"/healthz" and method == b"GET"


# ---- checks -------------------------------------------------------------------------------------


def _check_unique_headers(headers: Headers) -> None:
    names = [name for name, _ in headers]
    for name in _UNIQUE_HEADERS:
        if names.count(name) > 1:
            raise RequestRejectedError(Rejection(400, f"{name.decode()} is said twice"))


def _check_body_framing(header_map: HeaderMap) -> None:
    length = header_map.get(b"content-length")
    transfer_coding = header_map.get(b"transfer-encoding")
    if transfer_coding is not None and (length is not None or transfer_coding.lower() != b"chunked"):
        raise RequestRejectedError(Rejection(400, "a body has one length: a number, or chunked alone"))
    if length is None:
        return
    if not _CONTENT_LENGTH.fullmatch(length):
        raise RequestRejectedError(Rejection(400, "Content-Length must be a number"))
    if int(length) > MAX_BODY_BYTES:
        raise RequestRejectedError(Rejection(413, "body too large"))


def _find_class(target: bytes, classes: dict[str, RequestClass]) -> RequestClass:
    """Return the class that the first segment of the path names."""
    path = target.partition(b"?")[0]
    first_segment = path[1:].partition(b"/")[0].decode("latin-1")
    request_class = classes.get(first_segment)
    if not _TARGET.fullmatch(target) or request_class is None:
        raise RequestRejectedError(Rejection(404, "no such path"))
    return request_class


def _check_method_is_supported(method: bytes) -> None:
    if method not in (b"GET", b"POST"):
        raise RequestRejectedError(Rejection(405, "GET or POST"))


def _check_method(method: bytes, request_class: RequestClass, header_map: HeaderMap) -> None:
    """Check that the method, the idempotency key and the body are consistent with the class."""
    _check_method_is_supported(method)
    has_key = b"idempotency-key" in header_map
    requires_key = request_class.idempotency is Idempotency.KEYED
    required_method = b"GET" if request_class.idempotency is Idempotency.SAFE else b"POST"
    if method != required_method or has_key != requires_key:
        raise RequestRejectedError(
            Rejection(400, "GET, or POST with Idempotency-Key or without, as the class wants")
        )
    has_body = b"transfer-encoding" in header_map or int(header_map.get(b"content-length", b"0")) > 0
    if method == b"GET" and has_body:
        raise RequestRejectedError(Rejection(400, "GET has no body"))


def _check_class_header(header_map: HeaderMap, request_class: RequestClass) -> None:
    if header_map.get(b"x-class", b"").decode("latin-1") != request_class.name:
        raise RequestRejectedError(Rejection(400, "X-Class must be the first part of the path"))


# ---- values -------------------------------------------------------------------------------------


def _read_request_id(header_map: HeaderMap) -> bytes:
    """Return the request id, after checking that it and the idempotency key, if any, are tokens."""
    request_id = header_map.get(b"x-request-id", b"")
    key = header_map.get(b"idempotency-key")
    if not _TOKEN.fullmatch(request_id) or (key is not None and not _TOKEN.fullmatch(key)):
        raise RequestRejectedError(Rejection(400, "X-Request-Id must be a word, and so must Idempotency-Key"))
    return request_id


def _read_deadline_ms(header_map: HeaderMap) -> float:
    deadline_ms = parse_deadline_ms(header_map.get(b"x-deadline", b""))
    if deadline_ms is None:
        raise RequestRejectedError(Rejection(400, "X-Deadline must be a number above 0 and a unit, m or u"))
    return deadline_ms


def _read_tenant(header_map: HeaderMap) -> str | None:
    tenant = header_map.get(b"x-tenant")
    return tenant.decode("latin-1") if tenant else None


def _read_cost_hint_ms(header_map: HeaderMap) -> float:
    """Convert X-Cost-Hint from microseconds to milliseconds; return 0 if it is missing or malformed."""
    cost_hint = header_map.get(b"x-cost-hint", b"")
    return float(cost_hint) / US_PER_MS if _DECIMAL_NUMBER.fullmatch(cost_hint) else 0.0


def _build_forwarded_head(method: bytes, target: bytes, headers: Headers) -> bytes:
    lines = [b"%b %b HTTP/1.1" % (method, target)]
    lines += [b": ".join(pair) for pair in end_to_end_headers(headers) if pair[0] not in _NOT_FORWARDED]
    lines.append(b"")
    return b"\r\n".join(lines)
