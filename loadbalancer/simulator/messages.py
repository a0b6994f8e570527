"""What the simulator sends, as typed values: batches, and the messages in them."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from loadbalancer.events import Event
from loadbalancer.settings import Settings
from loadbalancer.settings_reader import SettingsError


class WireError(SettingsError):
    """A line that the simulator's wire does not allow; the text is a plain reason."""


@dataclass(frozen=True, slots=True)
class InstanceStarted:
    """An instance comes up; an earlier one of the same identity is replaced."""

    instance: str
    seed: int
    settings: Settings


@dataclass(frozen=True, slots=True)
class InstanceKilled:
    """An instance is gone with all that it knew; nothing more is sent to it."""

    instance: str


@dataclass(frozen=True, slots=True)
class InstanceEvent:
    """An event for one instance's policy."""

    instance: str
    event: Event


Message = InstanceStarted | InstanceKilled | InstanceEvent


@dataclass(frozen=True, slots=True)
class Batch:
    """What happens at one moment of simulated time; the simulator waits for one reply to all of it.

    Attributes:
        batch_id: The simulator's name for the batch, returned at the end of the reply.
        now_ms: The moment, in milliseconds of simulated time.
        messages: The batch's messages, read from the input as they are taken: take all of them before the
            next batch is asked for.
    """

    batch_id: str
    now_ms: float
    messages: Iterator[Message]
