"""A discovery service (PROTOCOL page, "Discovery") with the endpoint list and an agent for each balancer.

The state of an agent (up, unresponsive, down, delayed) is set for a single agent, for a group of agents, such
as a zone or a region, or for all agents.
"""

from __future__ import annotations

import ipaddress
import time
from typing import TYPE_CHECKING

from testbed.discovery.agent import Agent, WatchObserver
from testbed.discovery.agent_state import AgentMode, AgentState, RequestCounts
from testbed.discovery.endpoint_history import EndpointHistory, ListResponse
from testbed.errors import TestbedError

if TYPE_CHECKING:
    from collections.abc import Callable, Hashable, Iterable

    from loadbalancer.configuration import Address
    from testbed.settings import EndpointEntry

ALL_AGENTS = "all"
"""The key of the group that every agent belongs to."""

FIRST_HOST = "127.32.0.1"
"""The default host of the agent with number 0."""

_MODES_BY_SEVERITY = (AgentMode.DOWN, AgentMode.UNRESPONSIVE)


def _ignore_watch(number: int, known_version: int, time_s: float) -> None:
    """Ignore a watch request."""


class NotLoopbackError(TestbedError, ValueError):
    """The host for the agents is not in the loopback network."""

    def __init__(self, host: str) -> None:
        super().__init__(f"{host} is not a loopback address")


class Discovery:
    """The endpoint list and an agent for each balancer, on the running event loop.

    Attributes:
        change_times_s: When each version was created, in seconds of the clock; the index is the version.
        write_times_s: When each version had been written to all open watches; the index is the version.
        agents: The agents by number.
    """

    def __init__(
        self, clock: Callable[[], float] = time.monotonic, on_watch: WatchObserver = _ignore_watch
    ) -> None:
        """Start with an empty list.

        Args:
            clock: Returns the current time in seconds, which is recorded for changes and requests.
            on_watch: Called for each watch request.
        """
        self._clock = clock
        self._on_watch = on_watch
        self._history = EndpointHistory()
        self._states: dict[Hashable, AgentState] = {}  # by group, or by the key of a single agent
        self._first_host = ipaddress.IPv4Address(FIRST_HOST)
        self.change_times_s: list[float] = [clock()]
        self.write_times_s: list[float] = [clock()]
        self.agents: dict[int, Agent] = {}

    async def set_first_host(self, host: str = FIRST_HOST) -> None:
        """Set where agents listen: agent 0 on `host`, agent n on the n-th address above it.

        Raises:
            NotLoopbackError: `host` is not a loopback address.
        """
        self._first_host = ipaddress.IPv4Address(host)
        if not self._first_host.is_loopback:
            raise NotLoopbackError(host)

    async def stop(self) -> None:
        """Close all listeners and connections."""
        for agent in self.agents.values():
            agent.stop()

    # ---- the list -------------------------------------------------------------------------------

    @property
    def version(self) -> int:
        """The version of the list."""
        return self._history.version

    @property
    def entries(self) -> list[EndpointEntry]:
        """The complete current list."""
        return self._history.entries

    def replace_entries(self, entries: Iterable[EndpointEntry]) -> int:
        """Replace the list and return its version; every balancer receives a snapshot of the new list."""
        self._history.replace_entries(entries)
        return self._publish()

    def apply_changes(self, entries: Iterable[EndpointEntry]) -> int:
        """Publish changes as one new version of the list, and return that version.

        Args:
            entries: The entries that are new or have changed, and removed ones with the status `terminated`.
        """
        self._history.apply_changes(entries)
        return self._publish()

    def list_response(self, known_version: int) -> ListResponse:
        """Return the response to a balancer that has a certain version, or `NO_VERSION` if it has no list."""
        return self._history.response_after(known_version)

    def _publish(self) -> int:
        self.change_times_s.append(self._clock())
        for agent in self.agents.values():
            agent.respond_to_open_requests()
        self.write_times_s.append(self._clock())
        return self.version

    # ---- agents ---------------------------------------------------------------------------------

    def agent_address(self, number: int, *groups: Hashable) -> Address:
        """Return the address of a balancer's agent; the first call starts it as a member of `groups`."""
        agent = self.agents.get(number)
        if agent is None:
            address = str(self._first_host + number), 0
            agent = Agent(number, address, groups, self._history, self._clock, self._on_watch)
            self.agents[number] = agent
            agent.listen()
            agent.set_state(self._effective_state(agent))
        return agent.address

    def counts(self) -> RequestCounts:
        """Return the sum of the counts of all agents."""
        total = RequestCounts()
        for agent in self.agents.values():
            total += agent.counts
        return total

    def set_state(self, state: AgentState, *, agent: int | None = None, group: Hashable = ALL_AGENTS) -> None:
        """Set the state of one agent if `agent` is given, else the state of a group."""
        key = _agent_key(agent) if agent is not None else group
        self._states[key] = state
        for started_agent in self.agents.values():
            started_agent.set_state(self._effective_state(started_agent))

    def _effective_state(self, agent: Agent) -> AgentState:
        """Return the most severe mode and the maximum delay of all states that apply to an agent."""
        keys: tuple[Hashable, ...] = (_agent_key(agent.number), ALL_AGENTS, *agent.groups)
        states = [self._states[key] for key in keys if key in self._states]
        modes = {state.mode for state in states}
        effective_mode = next((mode for mode in _MODES_BY_SEVERITY if mode in modes), AgentMode.UP)
        return AgentState(effective_mode, max((state.delay_ms for state in states), default=0.0))


def _agent_key(number: int) -> Hashable:
    """Return the key for the state of a single agent; it differs from the keys of groups."""
    return ("agent", number)
