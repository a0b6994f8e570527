"""The input of the simulator as typed values: batches, and the messages in them.

The types are named tuples because each line of the input makes one: a frozen dataclass with two fields takes
1.7 times as long to construct. Messages are distinguished by their class and never compared.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterator

    from loadbalancer.events import Event
    from loadbalancer.settings import Settings


class InstanceStarted(NamedTuple):
    """A balancer instance starts; it replaces an earlier instance of the same identity.

    Attributes:
        instance: The identity of the instance.
        seed: The seed of all its random draws.
        settings: What its policy is configured with.
    """

    instance: str
    seed: int
    settings: Settings


class InstanceKilled(NamedTuple):
    """A balancer instance has been killed; its state is lost, and no further message names it.

    Attributes:
        instance: The identity of the instance.
    """

    instance: str


class InstanceEvent(NamedTuple):
    """An event for the policy of one balancer instance.

    Attributes:
        instance: The identity of the instance.
        event: The event to pass to its policy.
    """

    instance: str
    event: Event


Message = InstanceStarted | InstanceKilled | InstanceEvent


class Batch(NamedTuple):
    """The messages of one moment of simulated time; the simulator waits for one reply to all of them.

    Attributes:
        batch_id: The simulator's name for the batch, which the last line of the reply repeats.
        now_ms: The moment, in milliseconds of simulated time.
        messages: The messages, parsed from the input as they are iterated over: exhaust them before asking
            for the next batch.
    """

    batch_id: str
    now_ms: float
    messages: Iterator[Message]
