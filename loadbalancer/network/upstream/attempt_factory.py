"""Starts attempts on connections from the pools of the endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loadbalancer.network.upstream.attempt import UpstreamAttempt

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from loadbalancer.network.upstream.attempt import OnAttemptEnd
    from loadbalancer.network.upstream.pool import UpstreamPools


class UpstreamAttemptFactory:
    """Creates and starts attempts, each on a connection from the pool of its endpoint.

    Args:
        loop: The event loop.
        upstream_pools: The connection pools of the endpoints.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, upstream_pools: UpstreamPools) -> None:
        self._loop = loop
        self._upstream_pools = upstream_pools

    def start_attempt(
        self,
        endpoint: str,
        timeout_s: float,
        encode_request: Callable[[], bytes],
        on_end: OnAttemptEnd,
        is_response_needed: Callable[[], bool] = lambda: True,
    ) -> UpstreamAttempt | None:
        """Create and start an attempt at an endpoint.

        Args:
            endpoint: The name of the endpoint.
            timeout_s: The time limit of the attempt, including the time to connect.
            encode_request: Returns the bytes of the request; called just before they are written.
            on_end: Called exactly once with the outcome, after this method has returned.
            is_response_needed: Returns whether a response is still needed; called before the request is sent
                on a new connection.

        Returns:
            The attempt; None if the endpoint is no longer on the endpoint list.
        """
        pool = self._upstream_pools.get(endpoint)
        if pool is None:
            return None
        attempt = UpstreamAttempt(self._loop, pool, encode_request, on_end, is_response_needed)
        attempt.start(timeout_s)
        return attempt
