"""The discovery agent of one balancer: its listener, its connections and its watches."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Hashable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, cast
from urllib.parse import parse_qs, urlsplit

from testbed.discovery.agent_state import AgentMode, AgentState, RequestCounts
from testbed.discovery.endpoint_history import NO_VERSION, EndpointHistory, ListResponse
from testbed.errors import NotConnectedError
from testbed.http.request_parser import HttpRequest, MalformedRequestError, RequestParser

if TYPE_CHECKING:
    from loadbalancer.configuration import Address

LIST_PATH = "/v1/servers"
MAX_WAIT_MS = 60_000
"""The maximum `wait_ms` of a watch request."""

MAX_WATCH_GAP_S = 0.2
"""The maximum time in seconds from a response to the next watch request of the same watch."""

LISTEN_BACKLOG = 128

WatchObserver = Callable[[int, int, float], None]
"""Called for each watch request.

The arguments are the agent's number, the version of the balancer's list, and the time in seconds.
"""


@dataclass(eq=False, slots=True)
class Agent:
    """One balancer's agent.

    Attributes:
        number: The balancer's number.
        address: Where the agent listens.
        groups: The groups that the agent belongs to, such as a zone or a region.
        history: The endpoint list.
        clock: Returns the time in seconds.
        on_watch: Called for each watch request.
        counts: Counts of the agent's requests and responses.
        state: The agent's mode and response delay.
        written_version: The version that was last written to the balancer.
        acknowledged_version: The highest version that the balancer has acknowledged in a watch request.
        responded_at_s: When the last response was written.
        connections: The open connections.
    """

    number: int
    address: Address
    groups: tuple[Hashable, ...]
    history: EndpointHistory
    clock: Callable[[], float]
    on_watch: WatchObserver
    counts: RequestCounts = field(default_factory=RequestCounts)
    state: AgentState = field(default_factory=AgentState)
    written_version: int = NO_VERSION
    acknowledged_version: int = NO_VERSION
    responded_at_s: float = float("-inf")
    connections: set[AgentConnection] = field(default_factory=set)
    _listener: socket.socket | None = None
    _server: asyncio.Server | None = None
    _server_tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def set_state(self, state: AgentState) -> None:
        """Change the state.

        In the mode `DOWN`, the listener and the connections are closed; in the other modes, the agent
        listens. In the mode `UP`, it responds to the open requests that are ready for a response.
        """
        self.state = state
        if state.mode is AgentMode.DOWN:
            self.close()
        elif self._listener is None:
            self.listen()
        if state.mode is AgentMode.UP:
            self.respond_to_open_requests()

    def respond_to_open_requests(self) -> None:
        """Respond to the open requests whose version is outdated or whose wait has expired."""
        for connection in list(self.connections):
            connection.respond_if_ready()

    def listen(self) -> None:
        """Start listening. The first call lets the system choose the port; later calls use the same port."""
        # The kernel queues connections as soon as the socket listens; the loop accepts them later.
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(self.address)
        listener.listen(LISTEN_BACKLOG)
        listener.settimeout(0)
        self._listener = listener
        self.address = listener.getsockname()
        task = asyncio.get_running_loop().create_task(self._start_server(listener))
        self._server_tasks.add(task)
        task.add_done_callback(self._server_tasks.discard)

    async def _start_server(self, listener: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        if self._listener is not listener:  # the agent went down before the server was started
            return
        server = await loop.create_server(lambda: AgentConnection(self), sock=listener)
        if self._listener is listener:
            self._server = server
        else:
            server.close()

    def close(self) -> None:
        """Close the listener and reset the open connections."""
        if self._server is not None:
            self._server.close()
        if self._listener is not None:
            self._listener.close()
        self._server = self._listener = None
        for connection in list(self.connections):
            connection.reset()

    def stop(self) -> None:
        """Close the agent, and cancel the tasks that start its server."""
        self.close()
        for task in list(self._server_tasks):
            task.cancel()

    def record_request(self, known_version: int) -> None:
        """Count a request, and record the version that it acknowledges.

        A request with `NO_VERSION` is not a watch request, since its response is an immediate snapshot.
        """
        now_s = self.clock()
        self.counts.requests += 1
        if known_version == NO_VERSION:
            return
        if now_s - self.responded_at_s <= MAX_WATCH_GAP_S:
            self.counts.continued_watches += 1
        else:
            self.counts.new_watches += 1
        self.acknowledged_version = max(self.acknowledged_version, known_version)
        self.on_watch(self.number, known_version, now_s)

    def record_response(self, response: ListResponse) -> None:
        """Record a response that is about to be written: its time, version and entries."""
        self.responded_at_s = self.clock()
        self.written_version = self.history.version
        self.counts.entries += response.entry_count
        self.counts.snapshots += response.is_snapshot


@dataclass(frozen=True, slots=True)
class _ListRequest:
    """A request for the list: the version that the balancer has, and how long to wait for a newer version."""

    known_version: int
    wait_ms: int

    @property
    def is_valid(self) -> bool:
        return self.known_version >= NO_VERSION and 0 <= self.wait_ms <= MAX_WAIT_MS


def _parse_list_request(query_text: str) -> _ListRequest | None:
    """Parse the query of a request for the list; return None if it is invalid."""
    query = parse_qs(query_text)
    try:
        known_version = int(query["after"][0]) if "after" in query else NO_VERSION
        wait_ms = int(query["wait_ms"][0]) if "wait_ms" in query else 0
    except ValueError:
        return None
    request = _ListRequest(known_version, wait_ms)
    return request if request.is_valid else None


class AgentConnection(asyncio.Protocol):
    """One connection to an agent, with at most one open request."""

    def __init__(self, agent: Agent) -> None:
        self._agent = agent
        self._parser = RequestParser(self._on_request)
        self._transport: asyncio.Transport | None = None
        self._known_version: int | None = None  # of the open request; None if no request is open
        self._wait_expired = False  # whether to respond even if there is no newer version
        self._wait_timer: asyncio.TimerHandle | None = None
        self._delay_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register with the agent."""
        self._transport = cast("asyncio.Transport", transport)
        self._agent.connections.add(self)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Unregister from the agent and drop the open request."""
        self._agent.connections.discard(self)
        self._drop_request()

    def data_received(self, data: bytes) -> None:
        """Parse the data; a malformed request resets the connection."""
        self._agent.counts.bytes_in += len(data)
        try:
            self._parser.feed(data)
        except MalformedRequestError:
            self.reset()

    def _on_request(self, request: HttpRequest) -> None:
        url = urlsplit(request.target)
        if url.path != LIST_PATH or request.method != "GET":
            self._write(404, b"")
            return
        list_request = _parse_list_request(url.query)
        if list_request is None or self._known_version is not None:
            self._write(400, b"")
            return
        self._open_request(list_request)

    def _open_request(self, request: _ListRequest) -> None:
        self._known_version = request.known_version
        self._wait_expired = request.known_version == NO_VERSION
        self._agent.record_request(request.known_version)
        if not self._wait_expired:
            loop = asyncio.get_running_loop()
            self._wait_timer = loop.call_later(request.wait_ms / 1000, self._on_wait_expired)
        self.respond_if_ready()

    def _on_wait_expired(self) -> None:
        self._wait_expired = True
        self.respond_if_ready()

    def respond_if_ready(self) -> None:
        """Respond to the open request if its version is outdated or its wait has expired.

        The response is sent after the agent's delay, and only if the agent is up at that time.
        """
        if self._known_version is None or self._delay_timer is not None:
            return
        if not self._wait_expired and not self._agent.history.is_outdated(self._known_version):
            return
        delay_ms = self._agent.state.delay_ms
        if delay_ms:
            loop = asyncio.get_running_loop()
            self._delay_timer = loop.call_later(delay_ms / 1000, self._respond)
        else:
            self._respond()

    def _respond(self) -> None:
        self._delay_timer = None
        if self._known_version is None or self._agent.state.mode is not AgentMode.UP:
            return
        response = self._agent.history.response_after(self._known_version)
        self._drop_request()
        self._agent.record_response(response)
        self._write(200, response.body)

    def _write(self, status: int, body: bytes) -> None:
        if self._transport is None:
            raise NotConnectedError
        head = b"HTTP/1.1 %d -\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
        data = head % (status, len(body)) + body
        self._agent.counts.bytes_out += len(data)
        self._transport.write(data)
        if not self._parser.keeps_alive:
            self._transport.close()

    def _drop_request(self) -> None:
        self._known_version = None
        for timer in (self._wait_timer, self._delay_timer):
            if timer is not None:
                timer.cancel()
        self._wait_timer = self._delay_timer = None

    def reset(self) -> None:
        """Abort the connection and drop the open request."""
        self._drop_request()
        if self._transport is not None:
            self._transport.abort()
