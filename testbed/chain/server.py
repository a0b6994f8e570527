"""The servers of a simulated chain, and the attempts that balancers make at them.

Connections are assumed to be established: a message takes `hop_ms` in each direction. If a server refuses
connections, an attempt fails after `hop_ms`. A server and its own balancer share a machine, so messages
between them take no time. All times are milliseconds.
"""

from __future__ import annotations

import enum
import math
from collections import deque
from typing import TYPE_CHECKING, Protocol

from loadbalancer.errors import InvalidStateError
from loadbalancer.events import Outcome
from testbed.errors import TestbedError

if TYPE_CHECKING:
    from collections.abc import Callable

    from testbed.chain.request import Caller, ClientRequest
    from testbed.chain.settings import ChainSettings, ServiceModel
    from testbed.virtual_clock import VirtualClock


class MissingNextTierRequestError(TestbedError, InvalidStateError):
    """An attempt waits for the next tier, but has no request there: a bug in the simulation."""

    def __init__(self) -> None:
        super().__init__("the attempt has no request at the next tier")


class Behaviour(enum.Enum):
    """How a server handles attempts; experiment files use the values."""

    SERVES = "serves"
    FAILS = "fails"
    """After its own work it responds 500 to a fraction of the attempts, without calling the next tier."""
    REFUSES_CONNECTIONS = "refuses"
    """Its listener is closed: new attempts can't connect, and attempts in flight continue."""
    REJECTS = "turns away"
    """It responds 503 with X-Not-Run immediately."""
    HANGS = "hangs"
    """It accepts new attempts and never responds to them, and attempts in flight continue."""


class AttemptStage(enum.Enum):
    """The stage of an attempt at its server."""

    IN_TRANSIT = enum.auto()
    QUEUED = enum.auto()
    IN_SERVICE = enum.auto()
    CALLING_NEXT_TIER = enum.auto()
    """The server waits for the response of the next tier, from its own balancer."""
    FINISHED = enum.auto()


class LocalBalancer(Protocol):
    """A server's own balancer, through which it calls the next tier."""

    def receive(self, caller: Caller, client_request: ClientRequest, remaining_ms: float) -> int:
        """Accept a request with its remaining time, and return its number."""

    def disconnect(self, number: int) -> None:
        """Handle the disconnect of the request's client."""


class Attempt:
    """One attempt, as seen by the balancer and by the server.

    Attributes:
        request_number: The number of the request at its balancer.
        index: The attempt's index within its request.
        server: The server that it goes to.
        client_request: The client request that it belongs to.
        timeout_ms: The time that the balancer waits for a response.
        is_finished: Whether its outcome has been reported to the balancer.
        was_sent: Whether it was sent; the server may then have received it.
        is_connection_closed: Whether the server has noticed that the balancer closed the connection.
        stage: Its stage at the server.
        deadline_ms: When the timeout expires at the server, which counts it from the arrival of the attempt.
        next_tier_request_number: The number of the server's request to the next tier, at the server's own
            balancer.
    """

    __slots__ = (
        "_on_finished",
        "client_request",
        "deadline_ms",
        "index",
        "is_connection_closed",
        "is_finished",
        "next_tier_request_number",
        "request_number",
        "server",
        "stage",
        "timeout_ms",
        "was_sent",
    )

    def __init__(
        self,
        request_number: int,
        index: int,
        client_request: ClientRequest,
        server: Server,
        timeout_ms: float,
        on_finished: Callable[[Attempt, Outcome], None],
    ) -> None:
        self._on_finished = on_finished
        self.request_number = request_number
        self.index = index
        self.client_request = client_request
        self.server = server
        self.timeout_ms = timeout_ms
        self.is_finished = False
        self.was_sent = False
        self.is_connection_closed = False
        self.stage = AttemptStage.IN_TRANSIT
        self.deadline_ms = math.inf
        self.next_tier_request_number: int | None = None

    def start(self) -> None:
        """Send the attempt, or fail to connect if the server refuses connections."""
        server, clock = self.server, self.server.clock
        arrival_ms = clock.now + server.hop_ms
        if server.behaviour is Behaviour.REFUSES_CONNECTIONS:
            clock.schedule(arrival_ms, self._on_connect_failed, None)
        else:
            self.was_sent = True
            clock.schedule(arrival_ms, server.receive, self)
        clock.schedule(clock.now + self.timeout_ms, self._on_timeout, None)

    def cancel(self) -> None:
        """Stop waiting for a response."""
        self.finish(Outcome.CANCELLED)

    def finish_if_unsent(self) -> None:
        """Finish the attempt as `NOT_SENT` if it was not sent."""
        if not self.was_sent:
            self.finish(Outcome.NOT_SENT)

    def finish(self, outcome: Outcome) -> None:
        """Report the outcome to the balancer; later outcomes are ignored.

        If an attempt ends without a response, its connection is closed; the server notices after `hop_ms`.
        """
        if self.is_finished:
            return
        self.is_finished = True
        if self.was_sent and outcome in (Outcome.CANCELLED, Outcome.TIMED_OUT):
            clock = self.server.clock
            clock.schedule(clock.now + self.server.hop_ms, self.server.on_connection_closed, self)
        self._on_finished(self, outcome)

    def receive_response(self, status: int) -> None:
        """Receive the response of the next tier; the server succeeds only if that response is 200."""
        self.server.respond(self, Outcome.SUCCEEDED if status == 200 else Outcome.ERROR)

    def _on_connect_failed(self, _: None) -> None:
        self.finish(Outcome.CONNECT_FAILED)

    def _on_timeout(self, _: None) -> None:
        self.finish(Outcome.TIMED_OUT if self.was_sent else Outcome.CONNECT_FAILED)


class Server:
    """One server: it works on an attempt, then calls the next tier through its own balancer.

    An attempt occupies one of `workers` slots from the start of the work until the response. If the balancer
    closes the connection while the attempt waits for the next tier, the slot is released immediately. Up to
    `max_queued` further attempts wait for a slot; beyond that, attempts are rejected.

    Attributes:
        balancer: Its own balancer; None in the last tier.
        behaviour: How it handles attempts.
        failure_fraction: The fraction of attempts that fail under `Behaviour.FAILS`.
        in_service: The number of attempts that occupy a slot.
        rejected: The number of attempts that were rejected because the queue was full.
    """

    def __init__(self, name: str, clock: VirtualClock, settings: ChainSettings, model: ServiceModel) -> None:
        self.name = name
        self.clock = clock
        self.hop_ms = settings.hop_ms
        self.balancer: LocalBalancer | None = None
        self.behaviour = Behaviour.SERVES
        self.failure_fraction = 1.0
        self.in_service = 0
        self.rejected = 0
        self._settings = settings
        self._model = model
        self._queue: deque[Attempt] = deque()

    def receive(self, attempt: Attempt) -> None:
        """Accept, queue or reject an attempt whose last byte has arrived."""
        attempt.deadline_ms = self.clock.now + attempt.timeout_ms
        if self.behaviour is Behaviour.REJECTS:
            self._send_response(attempt, Outcome.REJECTED)
        elif self.behaviour is Behaviour.HANGS:
            return
        elif self._settings.workers == 0 or self.in_service < self._settings.workers:
            self._start_work(attempt)
        elif len(self._queue) < self._settings.max_queued:
            attempt.stage = AttemptStage.QUEUED
            self._queue.append(attempt)
        else:
            self.rejected += 1
            self._send_response(attempt, Outcome.REJECTED)

    def on_connection_closed(self, attempt: Attempt) -> None:
        """Dequeue the attempt or cancel its call to the next tier; work in progress continues."""
        attempt.is_connection_closed = True
        if attempt.stage is AttemptStage.QUEUED:
            self._queue.remove(attempt)
        elif attempt.stage is AttemptStage.CALLING_NEXT_TIER:
            if self.balancer is None or attempt.next_tier_request_number is None:
                raise MissingNextTierRequestError
            attempt.stage = AttemptStage.FINISHED
            self.balancer.disconnect(attempt.next_tier_request_number)
            self._release_slot()

    def respond(self, attempt: Attempt, outcome: Outcome) -> None:
        """Respond to an attempt and release its slot, unless the attempt has already finished here."""
        if attempt.stage is not AttemptStage.FINISHED:
            attempt.stage = AttemptStage.FINISHED
            self._send_response(attempt, outcome)
            self._release_slot()

    def _start_work(self, attempt: Attempt) -> None:
        self.in_service += 1
        attempt.stage = AttemptStage.IN_SERVICE
        self.clock.schedule(self.clock.now + self._model.draw_service_ms(), self._finish_work, attempt)

    def _finish_work(self, attempt: Attempt) -> None:
        fails = self.behaviour is Behaviour.FAILS and self._model.draw_failure(self.failure_fraction)
        if fails or self.balancer is None or attempt.is_connection_closed:
            self.respond(attempt, Outcome.ERROR if fails else Outcome.SUCCEEDED)
            return
        attempt.stage = AttemptStage.CALLING_NEXT_TIER
        remaining_ms = attempt.deadline_ms - self.clock.now
        attempt.next_tier_request_number = self.balancer.receive(
            attempt, attempt.client_request, remaining_ms
        )

    def _send_response(self, attempt: Attempt, outcome: Outcome) -> None:
        if not attempt.is_connection_closed:
            self.clock.schedule(self.clock.now + self.hop_ms, attempt.finish, outcome)

    def _release_slot(self) -> None:
        self.in_service -= 1
        if self._queue:
            self._start_work(self._queue.popleft())
