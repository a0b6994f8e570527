"""The proxy: connects the policy to clients, upstreams and discovery."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from loadbalancer.events import ClientDisconnected, RequestReceived
from loadbalancer.network.action_executor import ActionExecutor, PolicyTimers
from loadbalancer.network.client.listener import Listener
from loadbalancer.network.clock import Clock
from loadbalancer.network.deadline_watchdog import POLICY_DEADLINE_MARGIN_MS, DeadlineWatchdog
from loadbalancer.network.discovery.watch import EndpointWatch
from loadbalancer.network.endpoint_list_updater import EndpointListUpdater
from loadbalancer.network.event_dispatcher import EventDispatcher
from loadbalancer.network.log import RateLimitedLog
from loadbalancer.network.memory_budget import MemoryBudget
from loadbalancer.network.memory_monitor import MemoryMonitor
from loadbalancer.network.open_requests import OpenRequests
from loadbalancer.network.resident_memory import resident_bytes
from loadbalancer.network.upstream.attempt_factory import UpstreamAttemptFactory
from loadbalancer.network.upstream.attempt_runner import AttemptRunner
from loadbalancer.network.upstream.health_checks import HealthChecks
from loadbalancer.network.upstream.pool import UpstreamPools
from loadbalancer.policy.balancer import LoadBalancer

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from loadbalancer.configuration import Configuration, EndpointList
    from loadbalancer.network.client.requests.incoming_request import IncomingRequest

IDLE_CHECK_INTERVAL_S = 1.0
"""Interval at which upstream connections that have exceeded the idle time limit are closed."""


class Proxy:
    """One load balancer: turns I/O into events for the policy, and the policy's actions into I/O.

    The policy makes all decisions on the requests that are passed to it; apart from the policy, only the
    deadline watchdog responds to such requests.

    Attributes:
        log: The log of the balancer.
        clock: The clock of the policy.
        balancer: The policy.
        upstream_pools: The connection pools.
        listener: Accepts clients and holds their connections.
        endpoint_watch: Watches the endpoint list of discovery.
        dispatcher: Passes events to the policy.
        budget: Counts the memory that is held for peers.
    """

    def __init__(
        self,
        configuration: Configuration,
        loop: asyncio.AbstractEventLoop,
        on_endpoints_applied: Callable[[EndpointList], None] | None = None,
    ) -> None:
        """Bind the listening socket; clients are accepted, and requests sent, only after `start`.

        Args:
            configuration: The configuration of the balancer.
            loop: The event loop.
            on_endpoints_applied: Called with each endpoint list once the policy has applied it.
        """
        self._loop = loop
        self.log = RateLimitedLog(configuration.name or "balancer")
        self.clock = Clock()
        self.balancer = LoadBalancer(configuration.settings, configuration.seed)
        self.budget = MemoryBudget.for_process(configuration.memory_limit_mb, resident_bytes())
        self.upstream_pools = UpstreamPools(configuration, loop, self.budget)
        self.listener = Listener(configuration, loop, self, self.log.exception, self.budget)
        self._memory_monitor = MemoryMonitor(
            configuration.memory_limit_mb,
            self.budget,
            self.listener.context.counters,
            self.listener.connections.states,
            self.log.write,
        )
        self._requests = OpenRequests(self.budget)
        self.dispatcher = EventDispatcher(self.balancer, self.clock, self._requests, self.log)
        self._endpoint_list_updater = EndpointListUpdater(
            self.upstream_pools, self.dispatcher.dispatch, on_endpoints_applied
        )
        self.endpoint_watch = EndpointWatch(
            configuration, self._endpoint_list_updater.apply, self._endpoint_list_updater.report_watch_failure
        )
        self._watchdog = DeadlineWatchdog(loop, self._requests, self.dispatcher.dispatch)
        self.dispatcher.set_handlers(self._make_action_executor().execute, self._watchdog.respond)
        self._is_shut_down = False
        self._known_endpoints = configuration.known_endpoints

    def _make_action_executor(self) -> ActionExecutor:
        dispatch = self.dispatcher.dispatch
        attempt_factory = UpstreamAttemptFactory(self._loop, self.upstream_pools)
        return ActionExecutor(
            self._requests,
            PolicyTimers(self._loop, self.clock, dispatch),
            AttemptRunner(self._requests, attempt_factory, self.clock, dispatch, self.handle_disconnect),
            HealthChecks(attempt_factory, dispatch),
            self.upstream_pools,
            self.endpoint_watch,
            self.log,
        )

    @property
    def open_requests(self) -> int:
        """The number of requests that have no response yet, or have running attempts or queued events."""
        return len(self._requests)

    def start(self, *, accepts_clients: bool = True) -> None:
        """Apply the known endpoint list, start watching discovery, and begin to accept clients.

        Args:
            accepts_clients: Whether to listen for clients; false for a balancer that serves none.
        """
        self._endpoint_list_updater.apply_cached(self._known_endpoints)
        self.endpoint_watch.start_if_lists_are_pushed()
        self._close_expired_connections()
        self._memory_monitor.start(self._loop)
        if accepts_clients:
            self.listener.start()

    def reconfigure(self, configuration: Configuration) -> None:
        """Switch to the discovery service of a new configuration; requests and connections are unaffected."""
        host, port = configuration.discovery
        self.log.write(f"configuration reloaded: discovery at {host}:{port}")
        self.endpoint_watch.switch_to(configuration.discovery)

    def _close_expired_connections(self) -> None:
        self._loop.call_later(IDLE_CHECK_INTERVAL_S, self._close_expired_connections)
        self.upstream_pools.close_expired()

    # ---- requests from clients (RequestHandler) -------------------------------------------------

    def handle_request(self, incoming: IncomingRequest) -> None:
        """Pass a request that has been received completely to the policy.

        The response is 409 if the request id is in use, and 503 if the process is about to end.
        """
        if self._is_shut_down:
            incoming.respond(503)  # the process ends before any upstream could respond
            return
        waited_ms = (time.monotonic() - incoming.received_at) * 1000
        budget_ms = incoming.head.deadline_ms - waited_ms
        request = self._requests.add(incoming, self.clock.now() + budget_ms - POLICY_DEADLINE_MARGIN_MS)
        if request is None:
            self.listener.context.counters.duplicate_ids += 1
            incoming.respond(409, body=b"this id is in use\n")
            return
        self._watchdog.watch(request, budget_ms)
        event = RequestReceived(
            request.number,
            incoming.head.class_name,
            max(budget_ms - POLICY_DEADLINE_MARGIN_MS, 0.0),
            incoming.head.tenant,
            incoming.head.is_client_retry,
            incoming.head.cost_hint_ms,
            self.budget.used_fraction,
        )
        self.dispatcher.dispatch(event, request)

    def handle_disconnect(self, incoming: IncomingRequest) -> None:
        """Notify the policy that a client has disconnected, and drop attempts that have not been sent."""
        request = self._requests.get(incoming.number)
        if request is not None and request.is_open:
            request.close()
            self.dispatcher.dispatch(ClientDisconnected(request.number), request)
            request.drop_unsent_attempts()

    def abort_open_requests(self) -> None:
        """Respond to all open requests at the end of the graceful shutdown; reject later ones on arrival."""
        self._is_shut_down = True
        self._watchdog.respond_to_all()
