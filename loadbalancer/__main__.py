"""`python -m loadbalancer`: run a balancer with the configuration file that `LB_CONFIG` names.

The network modules are imported only after the SIGHUP handler is installed: the import is slow, and a
SIGHUP without a handler would end the process. Exit status: 0 after SIGTERM or SIGINT, 1 if the program
can't serve, 2 if the configuration can't be used.
"""

from __future__ import annotations

import gc
import os
import signal
import sys
from typing import TYPE_CHECKING

from loadbalancer.errors import LoadBalancerError

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from loadbalancer.configuration import Configuration
    from loadbalancer.network.proxy import Proxy

EXIT_OK = 0
EXIT_CANNOT_SERVE = 1
EXIT_INVALID_CONFIGURATION = 2

MAX_LOGGED_CONTEXT_CHARS = 2000
"""Maximum length of a log line about an unhandled exception in the event loop."""


def load_configuration(path: str, warn: Callable[[str], None]) -> Configuration:
    """Read the configuration file.

    Raises:
        OSError: The file can't be read.
        ConfigurationError: The configuration is invalid.
    """
    from loadbalancer.configuration import ConfigurationError, read_configuration

    with open(path, encoding="utf-8") as file:  # noqa: PTH123  importing pathlib would slow down startup
        try:
            text = file.read()
        except UnicodeDecodeError as error:
            raise ConfigurationError(str(error)) from None
    return read_configuration(text, warn)


async def serve(configuration: Configuration, path: str, early_reloads: list[int]) -> None:
    """Serve until SIGTERM or SIGINT, then shut down gracefully.

    Args:
        configuration: The configuration to start with.
        path: The configuration file, which is read again at SIGHUP.
        early_reloads: The SIGHUP signals received before this call.
    """
    import asyncio

    from loadbalancer.network.proxy import Proxy

    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    proxy = Proxy(configuration, loop)
    loop.add_signal_handler(signal.SIGHUP, _reload, proxy, path)
    _log_unhandled_exceptions(loop, proxy)
    proxy.start()
    if early_reloads:
        _reload(proxy, path)
    gc.freeze()  # startup objects live as long as the process: the collector need not scan them
    gc.enable()
    await stop_requested.wait()
    await proxy.listener.shut_down()


def _reload(proxy: Proxy, path: str) -> None:
    """Apply the discovery address in the file. If the file can't be used, log why and change nothing."""
    try:
        proxy.reconfigure(load_configuration(path, proxy.log.write))
    except (OSError, LoadBalancerError) as error:
        proxy.log.write(f"configuration not reloaded: {_one_line(error)}")


def _log_unhandled_exceptions(loop: asyncio.AbstractEventLoop, proxy: Proxy) -> None:
    def log(_: asyncio.AbstractEventLoop, context: dict[str, object]) -> None:
        proxy.log.write(f"in the event loop: {context!r}"[:MAX_LOGGED_CONTEXT_CHARS])

    loop.set_exception_handler(log)


def _load_configuration_from_environment(warn: Callable[[str], None]) -> tuple[str, Configuration]:
    """Return the path in `LB_CONFIG`, and the configuration in that file."""
    path = os.environ.get("LB_CONFIG")
    if not path:
        from loadbalancer.configuration import ConfigurationPathNotSetError

        raise ConfigurationPathNotSetError
    return path, load_configuration(path, warn)


def _one_line(error: Exception) -> str:
    return " ".join(str(error).split())


def _write_to_stderr(text: str) -> None:
    """Write a line to standard error, for use while there is no proxy log yet."""
    # `sys.stderr` is None if standard error is closed. `print` accepts that and uses standard output, whereas
    # `sys.stderr.write` would raise an exception.
    print(f"loadbalancer: {text}", file=sys.stderr)  # noqa: T201  see the comment above


def main() -> int:
    """Read the configuration, serve, and return the exit status."""
    # A SIGHUP that arrives before the event loop runs must neither end the process nor be lost.
    early_reloads: list[int] = []
    signal.signal(signal.SIGHUP, lambda signal_number, _: early_reloads.append(signal_number))
    gc.disable()  # until startup is complete, since it creates hardly any garbage
    from loadbalancer.imports_without_tls import import_event_loop

    import_event_loop()
    import asyncio

    import uvloop

    warnings: list[str] = []
    try:
        path, configuration = _load_configuration_from_environment(warnings.append)
    except (OSError, LoadBalancerError) as error:
        _write_to_stderr(f"configuration: {_one_line(error)}")
        return EXIT_INVALID_CONFIGURATION
    for warning in warnings:
        _write_to_stderr(warning)
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve(configuration, path, early_reloads))
    except OSError as error:
        _write_to_stderr(f"can't serve on {configuration.listen}: {error}")
        return EXIT_CANNOT_SERVE
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
