"""A client's request: what is read from its head, and the checks that decide whether it is acceptable."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Protocol

from loadbalancer.errors import LoadBalancerError
from loadbalancer.network.headers import MAX_BODY_BYTES, Headers, end_to_end_headers
from loadbalancer.settings import Idempotency, RequestClass

MS_PER_UNIT = {b"m": 1.0, b"u": 0.001}  # the units of X-Deadline: milliseconds and microseconds
US_PER_MS = 1000

_DEADLINE = re.compile(rb"([0-9]{1,12}(?:\.[0-9]{1,9})?)([mu])")
_DECIMAL_NUMBER = re.compile(rb"[0-9]{1,12}(?:\.[0-9]{1,9})?")
_CONTENT_LENGTH = re.compile(rb"[0-9]{1,18}")
_TARGET = re.compile(rb"/[\x21-\x7e]*")
_TOKEN = re.compile(rb"[\x21-\x7e]{1,128}")

# Two readers could believe different values of a header that is repeated.
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
# Each attempt gets an X-Deadline of its own; Expect is settled between the client and the balancer.
_NOT_FORWARDED = (b"x-deadline", b"expect")

NamedHeaders = dict[bytes, bytes]


@dataclass(frozen=True, slots=True)
class Rejection:
    """The error response to a request that is not acceptable: its status, and the reason as its body."""

    status: int
    reason: str


class RequestRejectedError(LoadBalancerError):
    """Raised while a request is read: the request is not acceptable.

    Attributes:
        rejection: The error response that the client gets.
    """

    def __init__(self, rejection: Rejection) -> None:
        super().__init__(rejection.reason)
        self.rejection = rejection


class Responder(Protocol):
    """The connection on which a request came, as the request sees it."""

    def respond(self, request: IncomingRequest, status: int, headers: Headers, body: bytes) -> None:
        """Write the final response to a request."""

    def is_client_gone(self) -> bool:
        """Return whether the client has closed its connection, or its sending side."""


class IncomingRequest:
    """A request that a client has sent whole. It gets exactly one final response."""

    __slots__ = (
        "awaits_response",
        "body",
        "class_name",
        "cost_hint_ms",
        "deadline_ms",
        "head",
        "headers",
        "is_client_retry",
        "keep_alive",
        "method",
        "number",
        "received_at",
        "request_id",
        "responder",
        "size_bytes",
        "target",
        "tenant",
    )

    def __init__(self, method: bytes, target: bytes, headers: Headers) -> None:
        self.responder: Responder | None = None  # set by the connection when it is this request's turn
        self.method = method
        self.target = target
        self.headers = headers
        self.head = b""  # the head as it is forwarded, without the end-of-headers line
        self.body = b""
        self.request_id = b""
        self.class_name = ""
        self.tenant: str | None = None
        self.is_client_retry = False
        self.cost_hint_ms = 0.0
        self.deadline_ms = 0.0
        self.received_at = 0.0  # seconds of the monotonic clock
        self.keep_alive = True
        self.awaits_response = True
        self.size_bytes = 0  # the memory it occupies
        self.number = -1  # assigned by the handler

    def respond(self, status: int, headers: Headers | None = None, body: bytes = b"") -> None:
        """Send the final response; any further response to this request is dropped."""
        if self.awaits_response and self.responder is not None:
            self.awaits_response = False
            self.responder.respond(self, status, headers or [], body)

    def is_client_gone(self) -> bool:
        """Return whether the client has gone, as far as the kernel knows."""
        return self.responder is None or self.responder.is_client_gone()

    def is_health_check(self) -> bool:
        """Return whether the request asks for the health of the balancer itself."""
        return self.target == b"/healthz" and self.method == b"GET"

    def validate(self, classes: dict[str, RequestClass]) -> None:
        """Check the head and fill in the fields that the balancer needs.

        Guards against request smuggling: whatever two readers could understand differently is rejected,
        since the upstream is the second reader.

        Args:
            classes: The request classes of the settings, by name.

        Raises:
            RequestRejectedError: If the request is not acceptable.
        """
        _check_unique_headers(self.headers)
        named = dict(self.headers)
        _check_body_framing(named)
        if self.is_health_check():
            return
        request_class = _class_of_target(self.target, classes)
        _check_method(self.method, request_class, named)
        _check_class_header(named, request_class)
        self.request_id = _read_request_id(named)
        self.class_name = request_class.name
        # A client waits no longer than its class says: a later deadline would only keep state for longer.
        self.deadline_ms = min(_read_deadline_ms(named), request_class.deadline_ms)
        self._read_optional_headers(named)
        self._build_forwarded_head()

    def _read_optional_headers(self, named: NamedHeaders) -> None:
        tenant = named.get(b"x-tenant")
        self.tenant = tenant.decode("latin-1") if tenant else None
        self.is_client_retry = named.get(b"x-retry") == b"1"
        cost_hint = named.get(b"x-cost-hint", b"")
        self.cost_hint_ms = float(cost_hint) / US_PER_MS if _DECIMAL_NUMBER.fullmatch(cost_hint) else 0.0

    def _build_forwarded_head(self) -> None:
        forwarded = [pair for pair in end_to_end_headers(self.headers) if pair[0] not in _NOT_FORWARDED]
        lines = b"".join([b"%b: %b\r\n" % pair for pair in forwarded])
        self.head = b"%b %b HTTP/1.1\r\n%b" % (self.method, self.target, lines)
        self.headers = []


class RequestHandler(Protocol):
    """Receives the requests of all client connections."""

    def handle_request(self, request: IncomingRequest) -> None:
        """Handle a request; the handler calls its `respond` now or later."""

    def handle_disconnect(self, request: IncomingRequest) -> None:
        """Learn that the client of an open request has gone: a response would reach nobody."""

    def abort_open_requests(self) -> None:
        """Respond to all open requests at once, since the process is about to end."""


def parse_deadline_ms(text: bytes) -> float | None:
    """Parse a value of X-Deadline: a number and a unit.

    Returns:
        The time in milliseconds; None if the text is malformed or the time is not above 0.
    """
    match = _DEADLINE.fullmatch(text)
    deadline_ms = float(match[1]) * MS_PER_UNIT[match[2]] if match else 0.0
    return deadline_ms if deadline_ms > 0 else None


def _check_unique_headers(headers: Headers) -> None:
    names = [name for name, _ in headers]
    for name in _UNIQUE_HEADERS:
        if names.count(name) > 1:
            raise RequestRejectedError(Rejection(400, f"{name.decode()} is said twice"))


def _check_body_framing(named: NamedHeaders) -> None:
    length = named.get(b"content-length")
    coding = named.get(b"transfer-encoding")
    if coding is not None and (length is not None or coding.lower() != b"chunked"):
        raise RequestRejectedError(Rejection(400, "a body has one length: a number, or chunked alone"))
    if length is None:
        return
    if not _CONTENT_LENGTH.fullmatch(length):
        raise RequestRejectedError(Rejection(400, "Content-Length must be a number"))
    if int(length) > MAX_BODY_BYTES:
        raise RequestRejectedError(Rejection(413, "body too large"))


def _class_of_target(target: bytes, classes: dict[str, RequestClass]) -> RequestClass:
    """Return the class that the first segment of the path names."""
    path = target.partition(b"?")[0]
    first_segment = path[1:].partition(b"/")[0].decode("latin-1")
    request_class = classes.get(first_segment)
    if not _TARGET.fullmatch(target) or request_class is None:
        raise RequestRejectedError(Rejection(404, "no such path"))
    return request_class


def _check_method(method: bytes, request_class: RequestClass, named: NamedHeaders) -> None:
    """Check that the method, the idempotency key and the body fit one another and the class."""
    if method not in (b"GET", b"POST"):
        raise RequestRejectedError(Rejection(405, "GET or POST"))
    has_key = b"idempotency-key" in named
    wants_key = request_class.idempotency is Idempotency.KEYED
    wanted_method = b"GET" if request_class.idempotency is Idempotency.SAFE else b"POST"
    if method != wanted_method or has_key != wants_key:
        raise RequestRejectedError(
            Rejection(400, "GET, or POST with Idempotency-Key or without, as the class wants")
        )
    has_body = b"transfer-encoding" in named or int(named.get(b"content-length", b"0")) > 0
    if method == b"GET" and has_body:
        raise RequestRejectedError(Rejection(400, "GET has no body"))


def _check_class_header(named: NamedHeaders, request_class: RequestClass) -> None:
    if named.get(b"x-class", b"").decode("latin-1") != request_class.name:
        raise RequestRejectedError(Rejection(400, "X-Class must be the first part of the path"))


def _read_request_id(named: NamedHeaders) -> bytes:
    """Return the request id, once it and the idempotency key, if there is one, are known to be tokens."""
    request_id = named.get(b"x-request-id", b"")
    key = named.get(b"idempotency-key")
    if not _TOKEN.fullmatch(request_id) or (key is not None and not _TOKEN.fullmatch(key)):
        raise RequestRejectedError(Rejection(400, "X-Request-Id must be a word, and so must Idempotency-Key"))
    return request_id


def _read_deadline_ms(named: NamedHeaders) -> float:
    deadline_ms = parse_deadline_ms(named.get(b"x-deadline", b""))
    if deadline_ms is None:
        raise RequestRejectedError(Rejection(400, "X-Deadline must be a number above 0 and a unit, m or u"))
    return deadline_ms
