"""A simulated discovery service on an event loop with a simulated clock, which advances to the next timer.

Tests can thus simulate minutes of an outage without waiting, and choose the exact time at which it ends.
"""

from __future__ import annotations

import asyncio
import json
import selectors
from typing import TYPE_CHECKING, Any, TypeVar, cast

from loadbalancer.endpoints import EndpointState
from loadbalancer.events import EndpointListUpdate, Event
from loadbalancer.network.discovery import watch as endpoint_watch
from loadbalancer.network.proxy import Proxy
from tests.support.configurations import DEFAULT_SEED, config_text, configuration, entry
from tests.support.http_messages import response
from tests.support.scripted_discovery import list_response

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from loadbalancer.actions import Action

# refuses: connects are refused. resets: requests reset the connection. unreachable: connects never complete.
# connects late: connects take almost the connect timeout, and requests get no response. silent: requests get
# no response. error: requests get status 500. truncated: requests get an incomplete response.
FAULTS = ("refuses", "resets", "unreachable", "connects late", "silent", "error", "truncated")
# The faults that affect new connections.
CONNECT_FAULTS = ("refuses", "unreachable", "connects late")
# The initial version of the endpoint list.
INITIAL_VERSION = 8
T = TypeVar("T")


class _SimulatedClockSelector:
    """Advances a simulated clock to the next timer instead of waiting for it."""

    def __init__(self, inner: selectors.BaseSelector) -> None:
        self._inner = inner
        self.now_s = 1_000.0

    def __getattr__(self, name: str) -> Any:
        return getattr(self._inner, name)

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        ready = self._inner.select(0)
        if not ready:
            assert timeout is not None, "the event loop would wait forever: no timer is set"
            self.now_s += max(timeout, 0.0)
        return ready


class SimulatedLoop(asyncio.SelectorEventLoop):
    """An event loop with a simulated clock, whose connections lead to simulated discovery services.

    Attributes:
        discoveries: The simulated discovery services, by port.
    """

    def __init__(self) -> None:
        self._selector_with_clock = _SimulatedClockSelector(selectors.DefaultSelector())
        self.discoveries: dict[int, SimulatedDiscovery] = {}
        super().__init__(cast("selectors.BaseSelector", self._selector_with_clock))

    def time(self) -> float:
        return self._selector_with_clock.now_s

    async def create_connection(self, factory: Any, host: Any = None, port: Any = None, **_: Any) -> Any:  # type: ignore[override]
        return await self.discoveries[port].connect(factory)


class SimulatedConnection(asyncio.Transport):
    """The balancer's end of a connection to a simulated discovery service.

    Attributes:
        is_unresponsive: Whether the balancer receives no more data on the connection.
        watched_version: The list version stated by the pending watch request; None if none is pending.
        request_count: The number of requests on the connection.
    """

    def __init__(self, discovery: SimulatedDiscovery, protocol: asyncio.Protocol) -> None:
        super().__init__()
        self._discovery = discovery
        self._protocol = protocol
        self._is_open = True
        self.is_unresponsive = False
        self.watched_version: int | None = None
        self.request_count = 0

    def write(self, data: Any) -> None:
        if self._is_open:
            self._discovery.handle_request(self, bytes(data).split(b"\r\n")[0].decode())

    def abort(self) -> None:
        if self._is_open:
            self._is_open = False
            self.watched_version = None
            self._discovery.connections.discard(self)
            asyncio.get_running_loop().call_soon(self._protocol.connection_lost, None)

    def become_unresponsive(self) -> None:
        """Make the connection unresponsive: the balancer receives no more data on it."""
        self.is_unresponsive = True

    def receive(self, data: bytes) -> None:
        """Let the balancer read a response, or a part of one, in the next iteration of the event loop."""
        self.watched_version = None
        asyncio.get_running_loop().call_soon(self._receive_now, data)

    def _receive_now(self, data: bytes) -> None:
        if self._is_open and not self.is_unresponsive:
            self._protocol.data_received(data)


class SimulatedDiscovery:
    """A simulated discovery service, on which a fault can be imposed.

    Attributes:
        fault: The current fault, one of `FAULTS`; empty if there is none.
        version: The version of the endpoint list.
        connections: The open connections.
        attempts: The times at which a balancer tried to reach the service, in seconds: those of received
            requests, and of connects during a fault of `CONNECT_FAULTS`.
        requests: The request lines of the requests.
        watches: For each watch request, when it arrived and how long it may wait, in seconds.
        on_attempt: Called for each connect during a fault of `CONNECT_FAULTS`, and for each request.
    """

    def __init__(self, loop: SimulatedLoop, port: int) -> None:
        self.loop = loop
        self.port = port
        loop.discoveries[port] = self
        self.fault = ""
        self.version = INITIAL_VERSION
        self._entries: list[dict[str, Any]] = []
        self.connections: set[SimulatedConnection] = set()
        self.attempts: list[float] = []
        self.requests: list[str] = []
        self.watches: asyncio.Queue[tuple[float, float]] = asyncio.Queue()
        self.on_attempt: Callable[[], object] = lambda: None

    async def connect(self, factory: Callable[[], asyncio.Protocol]) -> Any:
        """Accept a connection, or apply the current fault to it."""
        fault = self.fault
        if fault in CONNECT_FAULTS:
            self.attempts.append(self.loop.time())
            self.on_attempt()
        if fault == "refuses":
            raise ConnectionRefusedError
        if fault == "unreachable":
            await self.loop.create_future()  # never established
        if fault == "connects late":
            # The connection will be unresponsive: its requests get no response.
            await asyncio.sleep(0.99 * endpoint_watch.CONNECT_TIMEOUT_S)
        protocol = factory()
        connection = SimulatedConnection(self, protocol)
        connection.is_unresponsive = fault == "connects late"
        self.connections.add(connection)
        protocol.connection_made(connection)
        return connection, protocol

    def handle_request(self, connection: SimulatedConnection, request_line: str) -> None:
        """Handle a request, given by its request line."""
        if not connection.is_unresponsive:
            self.attempts.append(self.loop.time())
        self.requests.append(request_line)
        connection.request_count += 1
        self._respond(connection, request_line)
        self.on_attempt()

    def _respond(self, connection: SimulatedConnection, request_line: str) -> None:
        match self.fault:
            case _ if connection.is_unresponsive:
                pass
            case "silent" | "unreachable" | "connects late":
                connection.is_unresponsive = True
            case "resets" | "refuses":
                connection.abort()
            case "error":
                connection.receive(response(500, b"sorry"))
            case "truncated":
                connection.receive(list_response(INITIAL_VERSION)[:-5])
                self.loop.call_soon(connection.become_unresponsive)
            case _:
                self._respond_with_list(connection, request_line)

    def _respond_with_list(self, connection: SimulatedConnection, request_line: str) -> None:
        _, _, query_text = request_line.split(" ")[1].partition("?")
        query = dict(part.split("=") for part in query_text.split("&") if part)
        if "after" not in query or int(query["after"]) < self.version:
            connection.receive(self._encode_list(snapshot="after" not in query))
            return
        connection.watched_version = int(query["after"])
        wait_s = float(query["wait_ms"]) / 1000
        self.loop.call_later(wait_s, self._on_wait_timeout, connection, connection.request_count)
        self.watches.put_nowait((self.loop.time(), wait_s))

    def _on_wait_timeout(self, connection: SimulatedConnection, request_number: int) -> None:
        if connection.watched_version is not None and request_number == connection.request_count:
            connection.receive(self._encode_list(snapshot=False))

    def _encode_list(self, *, snapshot: bool) -> bytes:
        return list_response(self.version, *self._entries, snapshot=snapshot)

    def begin_outage(self, fault: str) -> None:
        """Begin an outage with one of `FAULTS`, and apply the fault to the open connections."""
        self.fault = fault
        for connection in list(self.connections):
            if fault in ("refuses", "resets"):
                connection.abort()
            elif fault in ("silent", "unreachable", "connects late"):
                connection.is_unresponsive = True
            elif connection.watched_version is not None:
                self._respond(connection, "GET /v1/servers HTTP/1.1")

    def drain_upstream(self) -> None:
        """Set the upstream to draining, and send the change in response to each pending watch request."""
        self.version += 1
        self._entries = [entry("s0", "127.0.0.1:9", status="terminating")]
        for connection in list(self.connections):
            if connection.watched_version is not None:
                connection.receive(self._encode_list(snapshot=False))


class WatchingProxy:
    """A proxy on the simulated event loop, which records when its policy learns of the draining upstream.

    Args:
        discovery: The discovery service to watch.
        seed: The seed of the balancer.
        poll_deadline_ms: The setting `askWithin`.
        discovery_mode: The setting `discovery`: "ask" if the balancer polls, or "push".

    Attributes:
        proxy: The proxy.
        drain_learned_at: A future for the time at which the policy learns of the drain, on the loop's clock.
    """

    def __init__(
        self, discovery: SimulatedDiscovery, seed: int, poll_deadline_ms: float, discovery_mode: str
    ) -> None:
        loop = discovery.loop
        contract = {"drainGrace": 500.0, "askWithin": poll_deadline_ms}
        self._text = config_text(
            f"127.0.0.1:{discovery.port}",
            [entry("s0", "127.0.0.1:9")],
            discovery=discovery_mode,
            contract=contract,
        ).replace(DEFAULT_SEED, f"{seed:x}")
        self._loop = loop
        self.proxy = Proxy(configuration(self._text), loop)
        self.proxy.clock.now = lambda: 1e12 + loop.time() * 1000  # type: ignore[method-assign]
        self.drain_learned_at: asyncio.Future[float] = loop.create_future()
        self._handle = self.proxy.balancer.handle
        self.proxy.balancer.handle = self._record_and_handle  # type: ignore[method-assign]
        self.proxy.start()

    def _record_and_handle(self, event: Event, now: float) -> list[Action]:
        if isinstance(event, EndpointListUpdate):
            drains = any(endpoint.state is EndpointState.DRAINING for endpoint in event.endpoints)
            if drains and not self.drain_learned_at.done():
                self.drain_learned_at.set_result(self._loop.time())
        return self._handle(event, now)

    def switch_to(self, discovery: SimulatedDiscovery) -> None:
        """Reconfigure the proxy with the address of another discovery service, as SIGHUP does."""
        document = json.loads(self._text) | {"discovery": f"127.0.0.1:{discovery.port}"}
        self.proxy.reconfigure(configuration(json.dumps(document)))

    async def wait_for_drain(self) -> float:
        """Wait until the policy learns of the drain, then close the listener.

        Returns:
            The time at which the policy learned of the drain.
        """
        learned_at: float = await asyncio.wait_for(self.drain_learned_at, 120)
        self.stop()
        return learned_at

    def stop(self) -> None:
        """Stop accepting clients."""
        self.proxy.listener.close()


def run_simulated(coroutine_function: Callable[[SimulatedLoop], Coroutine[Any, Any, T]]) -> T:
    """Run a coroutine on a simulated event loop."""
    with asyncio.Runner(loop_factory=SimulatedLoop) as runner:
        return runner.run(coroutine_function(cast("SimulatedLoop", runner.get_loop())))
