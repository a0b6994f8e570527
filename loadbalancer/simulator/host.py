"""Runs many balancer instances in one process, which a simulator controls over the wire."""

from __future__ import annotations

import sys
import traceback
from typing import TYPE_CHECKING, TextIO

from loadbalancer.errors import LoadBalancerError
from loadbalancer.policy.balancer import LoadBalancer
from loadbalancer.simulator import codec
from loadbalancer.simulator.batch_reader import BatchReader
from loadbalancer.simulator.errors import UnknownInstanceError
from loadbalancer.simulator.messages import Batch, InstanceEvent, InstanceKilled, InstanceStarted

if TYPE_CHECKING:
    from loadbalancer.events import Event

_MAX_LOGGED_LINE_CHARS = 200
"""Limit on the length of an invalid line in an error message."""


class Host:
    """The balancer instances of one process; they share no state."""

    def __init__(self, error_output: TextIO) -> None:
        """Create a host without instances; errors and warnings are written to `error_output`."""
        self._error_output = error_output
        self._written_warnings: set[str] = set()
        # By instance id; None for an instance whose policy has raised an error.
        self._balancers: dict[str, LoadBalancer | None] = {}

    def run(self, input_stream: TextIO, output_stream: TextIO) -> int:
        """Reply to batches until the input ends.

        Returns:
            The exit status: 0 if the input ended between two batches; 1 if it ended inside a batch or was
            invalid, or if the output was closed.
        """
        reader = BatchReader(input_stream, self._warn)
        try:
            for batch in reader.batches():
                reply = self._handle_batch(batch)
                output_stream.write("\n".join(reply) + "\n")
                output_stream.flush()
        except (LoadBalancerError, UnicodeDecodeError) as error:
            self._print_input_error(reader, error)
            return 1
        except BrokenPipeError:
            return 1
        return 0

    def _print_input_error(self, reader: BatchReader, error: Exception) -> None:
        """Write an error message that states where the input is invalid, and why."""
        line = reader.line[:_MAX_LOGGED_LINE_CHARS]
        print(f"loadbalancer: batch {reader.batch_id}, line {line!r}: {error}", file=self._error_output)

    def _warn(self, text: str) -> None:
        """Write a warning; the same warning is written only once."""
        if text not in self._written_warnings:
            self._written_warnings.add(text)
            print(f"loadbalancer: {text}", file=self._error_output)

    def _handle_batch(self, batch: Batch) -> list[str]:
        """Handle the messages of a batch in order, and return the lines of the reply."""
        reply: list[str] = []
        for message in batch.messages:
            match message:
                case InstanceEvent():
                    reply += self._handle_event(message.instance, message.event, batch.now_ms)
                case InstanceStarted():
                    self._balancers[message.instance] = LoadBalancer(message.settings, message.seed)
                case InstanceKilled():
                    self._remove_instance(message.instance)
        reply.append(codec.format_batch_end(batch.batch_id))
        return reply

    def _remove_instance(self, instance: str) -> None:
        if instance not in self._balancers:
            raise UnknownInstanceError(instance)
        del self._balancers[instance]

    def _handle_event(self, instance: str, event: Event, now_ms: float) -> list[str]:
        """Pass an event to an instance's policy, and return its actions as lines of the reply.

        If the policy raises an error, the reply reports it, so that the simulator can show it beside the
        event that caused it. The instance ignores all later events, because its state may be inconsistent.
        """
        try:
            balancer = self._balancers[instance]
        except KeyError:
            raise UnknownInstanceError(instance) from None
        if balancer is None:
            return []
        try:
            return [codec.format_action(instance, action) for action in balancer.handle(event, now_ms)]
        except Exception as error:  # noqa: BLE001  any error of the policy is reported on the wire
            traceback.print_exc(file=self._error_output)
            self._balancers[instance] = None
            return [codec.format_failure(instance, error)]


def main() -> int:
    """Run a host on standard input and output, and return the exit status."""
    sys.stdin.reconfigure(encoding="utf-8")  # type: ignore[union-attr]
    sys.stdout.reconfigure(encoding="utf-8")  # type: ignore[union-attr]
    return Host(sys.stderr).run(sys.stdin, sys.stdout)
