"""The framing of the simulator's wire: reads lines, and groups them into batches of typed messages.

The input is a sequence of batches. A batch begins with a `sync` line, which bears its time, and ends with
an `eob` line. In between stands one line for each message, or an endpoint list that several messages refer
to: a `ledger` line, followed by an `m` line for each of its entries. Empty lines between batches are
skipped.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from loadbalancer.endpoints import Endpoint
from loadbalancer.events import Event
from loadbalancer.settings_reader import Fields, Warn, integer, number, required
from loadbalancer.simulator.codec import (
    read_endpoint,
    read_endpoint_list_update,
    read_event,
    read_fields,
    read_instance_started,
)
from loadbalancer.simulator.messages import Batch, InstanceEvent, InstanceKilled, Message, WireError

_BATCH_START = "sync"
_BATCH_END = "eob"
_SHARED_LIST = "ledger"
_SHARED_LIST_ENTRY = "m"
_INSTANCE_STARTED = "up"
_INSTANCE_KILLED = "killed"
_ENDPOINT_LIST = "membership"


class BatchReader:
    """Reads batches from the lines of the wire.

    Attributes:
        batch_id: The batch that was begun last; "?" before the first one.
        line: The line that was read last, without its end.
    """

    def __init__(self, lines: Iterable[str], warn: Warn) -> None:
        """Read from lines; `warn` is called with a message on each thing that is ignored."""
        self.batch_id = "?"
        self.line = ""
        self._lines = (line.rstrip("\r\n") for line in lines)
        self._warn = warn
        self._shared_lists: dict[int, tuple[Endpoint, ...]] = {}

    def batches(self) -> Iterator[Batch]:
        """Yield one batch after another until the input ends.

        Raises:
            SettingsError: A line is not allowed where it stands; `line` and `batch_id` say which.
        """
        for line in self._lines:
            self.line = line
            if line:
                yield self._read_batch()

    def _read_batch(self) -> Batch:
        kind, *parts = self.line.split(" ")
        if kind != _BATCH_START:
            raise WireError("a batch must begin with 'sync'")
        fields = read_fields(parts)
        self.batch_id = required(fields, "batch")
        return Batch(self.batch_id, number(fields, "time"), self._read_messages())

    def _read_messages(self) -> Iterator[Message]:
        while True:
            kind, *parts = self._next_line().split(" ")
            if kind == _BATCH_END:
                return
            fields = read_fields(parts)
            if kind == _SHARED_LIST:
                self._read_shared_list(fields)
                continue
            message = self._read_message(kind, fields)
            if message is not None:
                yield message

    def _next_line(self) -> str:
        line = next(self._lines, None)
        if line is None:
            raise WireError("the input ended inside a batch")
        self.line = line
        return line

    def _read_shared_list(self, fields: Fields) -> None:
        size = integer(fields, "membersList")
        endpoints = tuple([self._read_shared_list_entry() for _ in range(size)])
        self._shared_lists[integer(fields, "list")] = endpoints

    def _read_shared_list_entry(self) -> Endpoint:
        kind, *parts = self._next_line().split(" ")
        if kind != _SHARED_LIST_ENTRY:
            raise WireError("the entries of a ledger are cut short")
        return read_endpoint(read_fields(parts))

    def _read_message(self, kind: str, fields: Fields) -> Message | None:
        """Read the message of one line, or None if the line is of no use to an instance."""
        if kind == _INSTANCE_STARTED:
            return read_instance_started(fields, self._warn)
        if kind == _INSTANCE_KILLED:
            return InstanceKilled(required(fields, "who"))
        event = self._read_event(kind, fields)
        return None if event is None else InstanceEvent(required(fields, "who"), event)

    def _read_event(self, kind: str, fields: Fields) -> Event | None:
        if kind == _ENDPOINT_LIST:
            return read_endpoint_list_update(fields, self._shared_lists)
        return read_event(kind, fields, self._warn)
