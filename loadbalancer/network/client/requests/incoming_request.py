"""A client's complete request, its response, and the interface of the request handler."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from loadbalancer.network.client.requests.request_head import RequestHead
    from loadbalancer.network.headers import Headers


class Responder(Protocol):
    """The interface to the connection on which a request arrived."""

    def respond(self, request: IncomingRequest, status: int, headers: Headers, body: bytes) -> None:
        """Write the final response to a request."""

    def has_client_disconnected(self) -> bool:
        """Return whether the client has closed its connection, or its sending side."""


class IncomingRequest:
    """A complete request of a client; only the first final response to it is sent.

    Attributes:
        head: The validated head.
        body: The body.
        received_at: When the request arrived (seconds of the monotonic clock).
        keep_alive: Whether the connection may stay open after the response.
        size_bytes: The memory that head and body occupy.
        number: The number by which the handler identifies the request; -1 until the handler assigns one.
    """

    __slots__ = (
        "_awaits_response",
        "_responder",
        "body",
        "head",
        "keep_alive",
        "number",
        "received_at",
        "size_bytes",
    )

    def __init__(self, head: RequestHead, body: bytes, received_at: float, *, keep_alive: bool) -> None:
        self.head = head
        self.body = body
        self.received_at = received_at
        self.keep_alive = keep_alive
        self.size_bytes = len(head.forwarded) + len(body)
        self.number = -1
        self._responder: Responder | None = None
        self._awaits_response = True

    def set_responder(self, responder: Responder) -> None:
        """Set the connection to respond on, once all earlier requests on it have been responded to.

        Before this call, `respond` has no effect.
        """
        self._responder = responder

    def suppress_response(self) -> None:
        """Suppress the response if it has not been sent yet: the client has disconnected."""
        self._awaits_response = False

    def respond(self, status: int, headers: Headers | None = None, body: bytes = b"") -> None:
        """Send the final response; any further response to this request is dropped."""
        if self._awaits_response and self._responder is not None:
            self._awaits_response = False
            self._responder.respond(self, status, headers or [], body)

    def has_client_disconnected(self) -> bool:
        """Return whether the client has disconnected according to the kernel; true if no responder is set."""
        return self._responder is None or self._responder.has_client_disconnected()


class RefusedRequests:
    """Complete requests in a row that are refused without being kept, since there is no memory for them.

    Attributes:
        count: The number of requests that await the refusal.
        keep_alive: Whether the connection may stay open after the last of them.
    """

    __slots__ = ("count", "keep_alive")

    def __init__(self) -> None:
        self.count = 0
        self.keep_alive = True


class RequestHandler(Protocol):
    """Receives the requests of all client connections."""

    def handle_request(self, request: IncomingRequest) -> None:
        """Handle a request; the handler calls `request.respond` now or later."""

    def handle_disconnect(self, request: IncomingRequest) -> None:
        """Handle a disconnect of the client that sent an open request; no response can reach it any more."""

    def abort_open_requests(self) -> None:
        """Respond to all open requests at once, since the process is about to end."""
