"""Applies endpoint lists to the connection pools, and then to the policy.

The pools are updated first, so that every endpoint that the policy may select has a pool.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from loadbalancer.events import EndpointListKind, EndpointListUpdate

if TYPE_CHECKING:
    from collections.abc import Callable

    from loadbalancer.configuration import EndpointList
    from loadbalancer.events import Event
    from loadbalancer.network.upstream.pool import UpstreamPools


class EndpointListUpdater:
    """Applies the endpoint lists from the configuration and from discovery.

    Args:
        upstream_pools: The connection pools.
        dispatch: Passes an event to the policy.
        on_applied: Called with each endpoint list once the policy has applied it; may be None.
    """

    def __init__(
        self,
        upstream_pools: UpstreamPools,
        dispatch: Callable[[Event], None],
        on_applied: Callable[[EndpointList], None] | None,
    ) -> None:
        self._upstream_pools = upstream_pools
        self._dispatch = dispatch
        self._on_applied = on_applied

    def apply_cached(self, endpoint_list: EndpointList) -> None:
        """Apply the list from the configuration, which is available before discovery has responded."""
        self._apply(EndpointListKind.CACHED, endpoint_list)

    def apply(self, endpoint_list: EndpointList) -> None:
        """Apply a list from discovery: a snapshot or a delta."""
        kind = EndpointListKind.SNAPSHOT if endpoint_list.is_complete else EndpointListKind.DELTA
        self._apply(kind, endpoint_list)

    def report_watch_failure(self) -> None:
        """Notify the policy that the watch has ended because a request to discovery failed."""
        self._dispatch(EndpointListUpdate(EndpointListKind.FAILED))

    def _apply(self, kind: EndpointListKind, endpoint_list: EndpointList) -> None:
        self._upstream_pools.update_endpoints(endpoint_list)
        self._dispatch(EndpointListUpdate(kind, tuple([e.endpoint for e in endpoint_list.endpoints])))
        if self._on_applied is not None:
            self._on_applied(endpoint_list)
