"""A child process that runs part of an experiment and responds to requests over a pipe."""

from __future__ import annotations

import asyncio
import multiprocessing
from typing import TYPE_CHECKING, Any, cast

import uvloop

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from multiprocessing.connection import Connection

STOP_TIMEOUT_S = 10.0
"""The time in seconds after which a child that has not exited is killed."""


class ChildProcess:
    """A child process, which is terminated when its parent exits.

    Attributes:
        pid: Its process id.
    """

    def __init__(self, target: Callable[..., None], *args: Any) -> None:
        """Start the process, which calls `target` with its end of the pipe and `args`."""
        context = multiprocessing.get_context("spawn")
        self._pipe, child_pipe = context.Pipe()
        self._process = context.Process(target=target, args=(child_pipe, *args), daemon=True)
        self._process.start()
        child_pipe.close()
        self.pid = cast("int", self._process.pid)  # not None once the process has been started

    def receive(self) -> Any:
        """Wait for a message from the child."""
        return self._pipe.recv()

    def request(self, message: str) -> Any:
        """Send a request to the child and wait for the response."""
        self._pipe.send(message)
        return self._pipe.recv()

    def stop(self) -> None:
        """Close the pipe, which makes the child exit; kill the child if that takes too long.

        The limit is `STOP_TIMEOUT_S`.
        """
        self._pipe.close()
        self._process.join(STOP_TIMEOUT_S)
        if self._process.is_alive():
            self._process.kill()
            self._process.join()


def run_child(main: Coroutine[Any, Any, None]) -> None:
    """Run the main coroutine of a child process on a new uvloop event loop."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(main)


async def serve_pipe(pipe: Connection, make_response: Callable[[], object]) -> None:
    """Send `make_response()` for each received message, until the other end of the pipe is closed.

    The content of the messages is ignored.
    """
    loop = asyncio.get_running_loop()
    closed = asyncio.Event()

    def on_readable() -> None:
        try:
            pipe.recv()
            pipe.send(make_response())
        except (EOFError, OSError):
            closed.set()

    loop.add_reader(pipe.fileno(), on_readable)
    await closed.wait()
    loop.remove_reader(pipe.fileno())
