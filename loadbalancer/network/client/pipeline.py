"""The pipeline of one connection: its requests are handled in order, one at a time (HTTP/1.1 pipelining)."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loadbalancer.network.client.input_limits import InputLimits
from loadbalancer.network.client.requests.incoming_request import RefusedRequests
from loadbalancer.network.client.requests.rejection import Rejection
from loadbalancer.network.client.response_writer import ResponseWriter
from loadbalancer.network.client.waiting_input import WaitingInput

if TYPE_CHECKING:
    from loadbalancer.network.client.context import ConnectionContext
    from loadbalancer.network.client.requests.incoming_request import IncomingRequest
    from loadbalancer.network.client.requests.request_reader import RequestReader
    from loadbalancer.network.client.transport import ClientTransport
    from loadbalancer.network.headers import Headers

STEPS_PER_SHARE = 4
"""Number of slices parsed and requests begun, together, in one share of a turn."""

REFUSALS_PER_STEP = 32
"""Number of refusals that are written at once."""

NO_MEMORY = Rejection(503, "too much is waiting here")


class RequestPipeline:
    """Reads the requests of a connection, passes them to the handler one at a time, and writes the responses.

    Attributes:
        reader: Parses the input, and queues the requests.
    """

    __slots__ = (
        "_context",
        "_current_request",
        "_limits",
        "_transport",
        "_waiting",
        "_writer",
        "reader",
    )

    def __init__(self, context: ConnectionContext, transport: ClientTransport, reader: RequestReader) -> None:
        self._context = context
        self._transport = transport
        self._current_request: IncomingRequest | None = None
        self._limits = InputLimits(context.budget, reader, transport)
        self._waiting = WaitingInput(self._limits, reader, transport)
        self.reader = reader
        self._writer = ResponseWriter(context, transport, reader.arrival.started_at)

    @property
    def idle_since(self) -> float:
        """When the last response was written, or when the client connected if there has been none."""
        return self._writer.idle_since

    @property
    def rejection_pending_since(self) -> float:
        """When the rejection that waits was decided (seconds, monotonic clock); infinite without one."""
        return self._waiting.rejection_pending_since

    def has_open_request(self) -> bool:
        """Return whether a request is being handled or is queued."""
        return self._current_request is not None or bool(self.reader.queue)

    def has_client_disconnected(self) -> bool:
        """Return whether the client has closed the connection or its sending side."""
        return self._transport.has_client_disconnected()

    def handle_input(self) -> None:
        """Handle input that has just been received, now or in a later turn."""
        self._context.turns.request_share(self)
        if self.reader.unparsed_bytes:
            self._limits.account()

    def resume(self) -> None:
        """Handle the next request: the previous response has left the write buffer."""
        self._context.turns.request_share(self)

    def run_share(self) -> bool:
        """Begin requests and parse input, up to `STEPS_PER_SHARE`; return whether there is more to do now."""
        if not self._transport.is_open:
            return False
        self._limits.apply()
        if self._context.rejects_waiting_requests and self.has_open_request():
            self.reader.reject_queued()
        for _ in range(STEPS_PER_SHARE):
            if self._current_request is not None and not self.reader.is_refusing:
                break
            if not self._begin_next() and not self._parse_next():
                break
        if not self._transport.is_open:
            return False
        if self._transport.discards_input:
            # Nothing is parsed behind the last request: its response would follow the end of the connection.
            self.reader.discard_unparsed()
        self._limits.account()
        if self._context.budget.is_high:
            self._context.release_input()
        self._limits.pause_or_resume_reading()
        return self._waiting.has_work(is_handling_request=self._current_request is not None)

    def _begin_next(self) -> bool:
        """Begin the first request of the queue; return false if none may begin now."""
        # At most one response is buffered for a client that sends requests and never reads responses.
        if self._current_request is not None or self._transport.has_unsent_bytes():
            return False
        if not self.reader.queue:
            self._write_rejection()
            return False
        first = self.reader.queue[0]
        if isinstance(first, RefusedRequests):
            self._refuse(first)
            return True
        if not self._waiting.may_begin(first):
            return False
        self.reader.queue.take(first)
        first.set_responder(self)
        self._current_request = first
        self._handle_request(first)
        return True

    def _parse_next(self) -> bool:
        """Parse a slice of the input; return false if there is none to parse now."""
        if not self._waiting.can_parse(is_handling_request=self._current_request is not None):
            return False
        rejection = self.reader.parse_slice()
        if rejection is not None:
            self.reject(rejection)
        return True

    def _write_rejection(self) -> None:
        """Write the rejection, if one waits; it ends the connection."""
        if rejection := self._waiting.take_rejection():
            self._writer.write_rejection(rejection, is_final=True)

    def _handle_request(self, request: IncomingRequest) -> None:
        if request.head.is_health_check():
            _respond_to_health_check(request, is_shutting_down=self._context.is_shutting_down)
            return
        try:
            self._context.handler.handle_request(request)
        except Exception:  # noqa: BLE001  the client must receive a response after any error
            self._context.log_exception("a request could not be handled")
            request.respond(500)

    def respond(self, request: IncomingRequest, status: int, headers: Headers, body: bytes) -> None:
        """Write the final response to the current request; a response to any other request is dropped."""
        if self._transport.is_disconnected or request is not self._current_request:
            return
        self._current_request = None
        self._writer.write(status, headers, body, is_final=self._is_final(keep_alive=request.keep_alive))
        if not self._waiting.is_empty() or self._transport.has_unsent_bytes():
            self._context.turns.request_share(self)

    def reject(self, rejection: Rejection) -> None:
        """Discard further input; write the rejection after the responses to all earlier requests."""
        self._waiting.reject(rejection)
        self._context.turns.request_share(self)

    def give_up_partial_request(self) -> None:
        """Release the memory of the incomplete request, which is refused.

        The rest of a body is read, for the requests behind it. An incomplete head ends the connection.
        """
        self._context.counters.refused_for_memory += 1
        if self.reader.has_partial_head:
            self.reject(NO_MEMORY)
        else:
            self.reader.start_refusing()
            self._limits.account()

    def drop_requests(self) -> None:
        """Drop all requests after a disconnect, and notify the handler if it is handling one of them."""
        request = self._current_request
        self._current_request = None
        self.reader.close()
        self._limits.release()
        if request is not None:
            request.suppress_response()
            self._context.handler.handle_disconnect(request)

    def _is_final(self, *, keep_alive: bool) -> bool:
        """Return whether the response that is about to be written ends the connection."""
        if self.reader.queue or self._waiting.has_rejection:
            return False
        if not keep_alive:
            return True
        # Requests that were received before the response is written must get theirs too.
        is_all_parsed = not self.reader.unparsed_bytes and self._limits.is_input_read()
        return self._context.closes_connections and is_all_parsed

    def _refuse(self, refused: RefusedRequests) -> None:
        """Respond to the first requests of the queue, for which there was no memory or no time."""
        count = min(max(refused.count - 1, 1), REFUSALS_PER_STEP)  # the last one may end the connection
        keep_alive = self.reader.queue.take_refused(refused, count)
        self._context.counters.refused_for_memory += count
        is_final = self._is_final(keep_alive=keep_alive)
        self._writer.write_rejection(NO_MEMORY, is_final=is_final, count=count)


def _respond_to_health_check(request: IncomingRequest, *, is_shutting_down: bool) -> None:
    """Respond to a health check; it fails during the shutdown, so that clients use another balancer."""
    status, body = (503, b"ending\n") if is_shutting_down else (200, b"ok\n")
    request.respond(status, body=body)
