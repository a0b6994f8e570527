"""The input from the simulator as typed values: batches, and the messages in them.

The types are named tuples because each line of the input creates one, and a frozen dataclass with two fields
takes 1.7 times as long to construct. Messages are distinguished by class and never compared.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterator

    from loadbalancer.events import Event
    from loadbalancer.settings import Settings


class InstanceStarted(NamedTuple):
    """A balancer instance starts; it replaces an earlier instance with the same id.

    Attributes:
        instance: The id of the instance.
        seed: The seed of all random draws of the instance.
        settings: The settings of the policy.
    """

    instance: str
    seed: int
    settings: Settings


class InstanceKilled(NamedTuple):
    """A balancer instance has been killed; its state is lost, and no later message refers to it.

    Attributes:
        instance: The id of the instance.
    """

    instance: str


class InstanceEvent(NamedTuple):
    """An event for the policy of one balancer instance.

    Attributes:
        instance: The id of the instance.
        event: The event to pass to the policy.
    """

    instance: str
    event: Event


Message = InstanceStarted | InstanceKilled | InstanceEvent


class Batch(NamedTuple):
    """The messages of one instant of simulated time; the simulator waits for a single reply to them.

    Attributes:
        batch_id: The id of the batch, repeated in the last line of the reply.
        now_ms: The simulated time, in milliseconds.
        messages: The messages. Iteration parses them from the input, so they must be exhausted before the
            next batch is read.
    """

    batch_id: str
    now_ms: float
    messages: Iterator[Message]
