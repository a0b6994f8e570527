"""Runs the policy of many balancer instances in one process, on the simulator's wire."""

from __future__ import annotations

import sys
import traceback
from typing import TextIO

from loadbalancer.events import Event
from loadbalancer.policy.balancer import LoadBalancer
from loadbalancer.settings_reader import SettingsError
from loadbalancer.simulator import codec
from loadbalancer.simulator.batch_reader import BatchReader
from loadbalancer.simulator.messages import (
    Batch,
    InstanceEvent,
    InstanceKilled,
    InstanceStarted,
    WireError,
)

_LOGGED_LINE_LENGTH = 200
"""How much of an invalid line is shown."""


class Host:
    """The balancer instances of one process; they share nothing but the process."""

    def __init__(self, errors: TextIO) -> None:
        """Host no instance yet; `errors` takes what goes wrong or is ignored."""
        self._errors = errors
        self._warnings: set[str] = set()
        self._balancers: dict[str, LoadBalancer | None] = {}  # None: its policy has raised an error

    def run(self, source: TextIO, target: TextIO) -> int:
        """Reply to batches until the input ends.

        Returns:
            The exit status: 0 if the input ended between two batches, 1 if it broke off or was invalid.
        """
        reader = BatchReader(source, self._warn)
        try:
            for batch in reader.batches():
                reply = self._handle_batch(batch)
                target.write("\n".join(reply) + "\n")
                target.flush()
        except (SettingsError, UnicodeDecodeError) as error:
            self._report(reader, error)
            return 1
        except BrokenPipeError:
            return 1
        return 0

    def _report(self, reader: BatchReader, error: ValueError) -> None:
        line = reader.line[:_LOGGED_LINE_LENGTH]
        print(f"loadbalancer: batch {reader.batch_id}, line {line!r}: {error}", file=self._errors)

    def _warn(self, text: str) -> None:
        """Print a warning, each text once only."""
        if text not in self._warnings:
            self._warnings.add(text)
            print(f"loadbalancer: {text}", file=self._errors)

    def _handle_batch(self, batch: Batch) -> list[str]:
        reply: list[str] = []
        for message in batch.messages:
            match message:
                case InstanceEvent(instance, event):
                    reply += self._handle_event(instance, event, batch.now_ms)
                case InstanceStarted(instance, seed, settings):
                    self._balancers[instance] = LoadBalancer(settings, seed)
                case InstanceKilled(instance):
                    self._require_instance(instance)
                    del self._balancers[instance]
        reply.append(codec.write_batch_end(batch.batch_id))
        return reply

    def _require_instance(self, instance: str) -> None:
        if instance not in self._balancers:
            raise WireError(f"instance {instance!r} is unknown")

    def _handle_event(self, instance: str, event: Event, now_ms: float) -> list[str]:
        """Pass an event to an instance's policy, and return the lines of the reply to it."""
        self._require_instance(instance)
        balancer = self._balancers[instance]
        if balancer is None:
            return []
        try:
            return [codec.write_action(instance, action) for action in balancer.handle(event, now_ms)]
        except Exception as error:  # reported on the wire, so that the fault is seen where it happened
            traceback.print_exc(file=self._errors)
            self._balancers[instance] = None
            return [codec.write_failure(instance, error)]


def main() -> int:
    """Serve standard input and output, and return the exit status."""
    sys.stdin.reconfigure(encoding="utf-8")  # type: ignore[union-attr]
    sys.stdout.reconfigure(encoding="utf-8")  # type: ignore[union-attr]
    return Host(sys.stderr).run(sys.stdin, sys.stdout)
