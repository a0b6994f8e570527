"""The types of the fixtures that start servers and proxies."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from tests.support.proxy_harness import ProxyHarness


class ScriptedServer(Protocol):
    """A server with scripted responses: an upstream or a discovery service."""

    async def start(self) -> str:
        """Listen, and return the address."""

    def stop(self) -> None:
        """Stop listening, and close the connections."""


# Starts a server and returns its address.
StartServer = Callable[[ScriptedServer], Awaitable[str]]

# Starts a proxy; the arguments are those of `ProxyHarness`.
StartProxy = Callable[..., Awaitable["ProxyHarness"]]
