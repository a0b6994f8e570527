"""Hollow balancers: many in a process, each with the real decisions and the real watch, but no callers.

They run the program's own driver: list events reach the module, and its actions are carried out, as in a real
balancer. The pools of connections to upstreams are kept as books and stay empty, since no request comes.
"""

from __future__ import annotations

import asyncio
import gc
import multiprocessing
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from multiprocessing.connection import Connection

import numpy as np
import uvloop
from numpy.typing import NDArray

from loadbalancer.configuration import Configuration, EndpointList, read_configuration
from loadbalancer.network.proxy import Proxy
from testbed.meter import LoopLag

OnForce = Callable[[int, float], None]


class Hollow(Proxy):
    """A balancer without callers; `on_force(index, at)` hears of each list once the module has taken it in.

    `at` is in seconds of the system's monotonic clock, which all processes share.
    """

    def __init__(self, config: Configuration, loop: asyncio.AbstractEventLoop, on_force: OnForce) -> None:
        super().__init__(config, loop)
        self._on_force = on_force
        self.listener.close()  # bound and not listening yet: nobody is to call

    def start(self) -> None:
        """Tell what was known and begin the watch, as a real balancer does."""
        self.start_without_listener()

    def on_endpoints_updated(self, endpoint_list: EndpointList) -> None:
        """Tell the version of the list and the time."""
        self._on_force(endpoint_list.index, time.monotonic())


@dataclass(frozen=True, slots=True)
class Report:
    """What the balancers of one process noted since the report before.

    `balancers`, `indexes` and `times` are columns of one table: which balancer had which version in force,
    and when (seconds of the monotonic clock).
    """

    balancers: NDArray[np.int32]
    indexes: NDArray[np.int64]
    times: NDArray[np.float64]
    lag_99_s: float
    lag_longest_s: float


def _ignore(text: str) -> None:
    """Settings are made here: what the program says of them is of no use."""


def _work(pipe: Connection, texts: dict[int, str]) -> None:
    """The process: runs the balancers and answers each message with a report, until one says to end."""
    notes: list[tuple[int, int, float]] = []

    def note(number: int, index: int, at: float) -> None:
        notes.append((number, index, at))

    async def serve() -> None:
        loop = asyncio.get_running_loop()
        for number, text in texts.items():
            config = read_configuration(text, _ignore)
            Hollow(config, loop, partial(note, number)).start()
        gc.collect()
        gc.freeze()  # as the program does once it has started
        lag, ended = LoopLag(loop), asyncio.Event()

        def asked() -> None:
            try:
                if pipe.recv() == "end":
                    ended.set()
            except EOFError:
                ended.set()
            table = notes[:]
            notes.clear()
            pipe.send(
                Report(
                    np.array([row[0] for row in table], dtype=np.int32),
                    np.array([row[1] for row in table], dtype=np.int64),
                    np.array([row[2] for row in table], dtype=np.float64),
                    *lag.take(),
                )
            )

        loop.add_reader(pipe.fileno(), asked)
        await ended.wait()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve())


class HollowProcess:
    """A process of hollow balancers, by number and configuration text; ends with the one that started it."""

    def __init__(self, texts: dict[int, str]) -> None:
        context = multiprocessing.get_context("spawn")
        self._pipe, theirs = context.Pipe()
        self._process = context.Process(target=_work, args=(theirs, texts), daemon=True)
        self._process.start()
        theirs.close()
        assert self._process.pid is not None
        self.pid: int = self._process.pid

    def report(self) -> Report:
        """What was noted since the last report; waits for the process's loop."""
        return self._ask("report")

    def stop(self) -> Report:
        """End the process; the last report."""
        last = self._ask("end")
        self._process.join(10)
        if self._process.is_alive():
            self._process.kill()
        self._pipe.close()
        return last

    def _ask(self, what: str) -> Report:
        self._pipe.send(what)
        report = self._pipe.recv()
        assert isinstance(report, Report)
        return report
