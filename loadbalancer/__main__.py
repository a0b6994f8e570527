"""The balancer as a program: `python -m loadbalancer`, configured by the file that `LB_CONFIG` names.

The handler of SIGHUP is set first: the modules of the program are imported only after that, since it takes a
while. Exit status: 0 after SIGTERM or SIGINT, 1 if it can't serve, 2 if the configuration can't be used.
"""

from __future__ import annotations

import gc
import os
import signal
import sys
from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

    from loadbalancer.configuration import Configuration
    from loadbalancer.network.proxy import Proxy

EXIT_OK = 0
EXIT_CANNOT_SERVE = 1
EXIT_INVALID_CONFIGURATION = 2

MAX_LOGGED_CONTEXT_CHARS = 2000  # of what the event loop says of an exception that nobody handled


def load(path: str, warn: Callable[[str], None]) -> Configuration:
    """Read the configuration in a file.

    Raises:
        OSError: The file can't be read.
        ValueError: The configuration can't be used.
    """
    from loadbalancer.configuration import read_configuration

    with open(path, encoding="utf-8") as file:
        return read_configuration(file.read(), warn)


async def serve(config: Configuration, path: str, early_reloads: list[int]) -> None:
    """Serve until SIGTERM or SIGINT, then shut down gracefully.

    Args:
        config: What to start with.
        path: The file that is read again at SIGHUP.
        early_reloads: The SIGHUP signals that came before this call.
    """
    import asyncio

    from loadbalancer.network.proxy import Proxy

    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    proxy = Proxy(config, loop)
    loop.add_signal_handler(signal.SIGHUP, _reload, proxy, path)
    _log_unhandled_exceptions(loop, proxy)
    proxy.start()
    if early_reloads:
        _reload(proxy, path)
    gc.freeze()  # what the start made stays: it need not be examined again
    gc.enable()
    await stop.wait()
    await proxy.listener.shut_down()


def _reload(proxy: Proxy, path: str) -> None:
    """Read the configuration again; one that can't be used changes nothing."""
    try:
        proxy.reconfigure(load(path, proxy.log.write))
    except (OSError, ValueError) as error:
        proxy.log.write(f"configuration not reloaded: {_one_line(error)}")


def _log_unhandled_exceptions(loop: asyncio.AbstractEventLoop, proxy: Proxy) -> None:
    def log(_: asyncio.AbstractEventLoop, context: dict[str, object]) -> None:
        proxy.log.write(f"in the event loop: {context!r}"[:MAX_LOGGED_CONTEXT_CHARS])

    loop.set_exception_handler(log)


def _load_from_environment(warn: Callable[[str], None]) -> tuple[str, Configuration]:
    """The path that `LB_CONFIG` names, and the configuration there."""
    path = os.environ.get("LB_CONFIG")
    if not path:
        raise ValueError("LB_CONFIG is not set")
    return path, load(path, warn)


def _one_line(error: Exception) -> str:
    return " ".join(str(error).split())


def main() -> int:
    """Read the configuration and serve; the result is the exit status."""
    # Guards against a SIGHUP before the loop runs: it must not end the process, nor be lost.
    early_reloads: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, _: early_reloads.append(number))
    gc.disable()  # until the start is made: next to nothing of it is garbage
    import asyncio

    import uvloop

    warnings: list[str] = []
    try:
        path, config = _load_from_environment(warnings.append)
    except (OSError, ValueError) as error:
        print(f"loadbalancer: configuration: {_one_line(error)}", file=sys.stderr)
        return EXIT_INVALID_CONFIGURATION
    for warning in warnings:
        print(f"loadbalancer: {warning}", file=sys.stderr)
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve(config, path, early_reloads))
    except OSError as error:
        print(f"loadbalancer: can't serve on {config.listen}: {error}", file=sys.stderr)
        return EXIT_CANNOT_SERVE
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
