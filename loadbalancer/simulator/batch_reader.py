"""The framing of the simulator's wire: groups the lines of the input into batches of typed messages.

The input is a sequence of batches. A batch begins with a `sync` line, which contains the simulated time, and
ends with an `eob` line. Each line in between is a message, or belongs to an endpoint list: a `ledger` line,
which contains the number by which later messages refer to the list, is followed by an `m` line for each
entry. Empty lines between batches are skipped.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from loadbalancer.settings_reader import Fields, Warn, read_integer, read_number, read_text
from loadbalancer.simulator.codec import (
    parse_endpoint,
    parse_endpoint_list_update,
    parse_event,
    parse_fields,
    parse_instance_started,
)
from loadbalancer.simulator.errors import EndOfInputError, UnexpectedLineError
from loadbalancer.simulator.messages import Batch, InstanceEvent, InstanceKilled, Message

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from loadbalancer.endpoints import Endpoint

_LINE_END = "\r\n"
_BATCH_START = "sync"
_BATCH_END = "eob"
_SHARED_LIST = "ledger"
_SHARED_LIST_ENTRY = "m"
_INSTANCE_STARTED = "up"
_INSTANCE_KILLED = "killed"
_ENDPOINT_LIST = "membership"


class BatchReader:
    """Parses batches from the lines of the wire.

    Attributes:
        batch_id: The id of the latest batch; "?" before the first one.
        line: The line read last, without its line end.
    """

    def __init__(self, lines: Iterable[str], warn: Warn) -> None:
        """Create a reader of `lines`; `warn` is called with a message for each ignored part of the input."""
        self.batch_id = "?"
        self.line = ""
        self._lines = iter(lines)
        self._warn = warn
        self._shared_lists: dict[int, tuple[Endpoint, ...]] = {}

    def batches(self) -> Iterator[Batch]:
        """Yield one batch after another until the input ends.

        Raises:
            FieldError: A field of a line is missing or malformed.
            InvalidSettingsError: A setting of an instance is out of range.
            WireError: A line is malformed, or not allowed at its position.
        """
        for line in self._lines:
            self.line = line.rstrip(_LINE_END)
            if self.line:
                yield self._read_batch()

    def _read_batch(self) -> Batch:
        kind, *parts = self.line.split(" ")
        if kind != _BATCH_START:
            reason = "a batch must begin with 'sync'"
            raise UnexpectedLineError(reason)
        fields = parse_fields(parts)
        self.batch_id = read_text(fields, "batch")
        return Batch(self.batch_id, read_number(fields, "time"), self._read_messages())

    def _read_messages(self) -> Iterator[Message]:
        for line in self._lines:
            self.line = line.rstrip(_LINE_END)
            kind, *parts = self.line.split(" ")
            if kind == _BATCH_END:
                return
            fields = parse_fields(parts)
            if kind == _SHARED_LIST:
                self._read_shared_list(fields)
                continue
            message = self._parse_message(kind, fields)
            if message is not None:
                yield message
        raise EndOfInputError

    def _read_shared_list(self, fields: Fields) -> None:
        size = read_integer(fields, "membersList")
        endpoints = tuple([self._read_shared_list_entry() for _ in range(size)])
        self._shared_lists[read_integer(fields, "list")] = endpoints

    def _read_shared_list_entry(self) -> Endpoint:
        line = next(self._lines, None)
        if line is None:
            raise EndOfInputError
        self.line = line.rstrip(_LINE_END)
        kind, *parts = self.line.split(" ")
        if kind != _SHARED_LIST_ENTRY:
            reason = "a ledger has fewer entries than 'membersList' says"
            raise UnexpectedLineError(reason)
        return parse_endpoint(parse_fields(parts))

    def _parse_message(self, kind: str, fields: Fields) -> Message | None:
        """Return the message of one line; None if the line is ignored."""
        if kind == _INSTANCE_STARTED:
            return parse_instance_started(fields, self._warn)
        if kind == _INSTANCE_KILLED:
            return InstanceKilled(read_text(fields, "who"))
        if kind == _ENDPOINT_LIST:
            update = parse_endpoint_list_update(fields, self._shared_lists)
            return InstanceEvent(read_text(fields, "who"), update)
        event = parse_event(kind, fields, self._warn)
        return None if event is None else InstanceEvent(read_text(fields, "who"), event)
