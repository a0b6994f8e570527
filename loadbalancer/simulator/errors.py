"""Errors in the input from the simulator: lines that are malformed, or not allowed at their position."""

from __future__ import annotations

from loadbalancer.errors import LoadBalancerError


class WireError(LoadBalancerError, ValueError):
    """Base class of errors in the input from the simulator."""


class MalformedPartError(WireError):
    """A part of a line is not of the form `name=value`.

    Attributes:
        part: The part.
    """

    def __init__(self, part: str) -> None:
        super().__init__(f"{part!r} is not name=value")
        self.part = part


class UnexpectedLineError(WireError):
    """A line of this kind is not allowed at this position."""


class EndOfInputError(WireError):
    """The input ended inside a batch."""

    def __init__(self) -> None:
        super().__init__("the input ended inside a batch")


class UnknownInstanceError(WireError):
    """A line names an instance that was never started, or has been killed.

    Attributes:
        instance: The id of the instance.
    """

    def __init__(self, instance: str) -> None:
        super().__init__(f"instance {instance!r} is unknown")
        self.instance = instance


class UnknownEndpointListError(WireError):
    """An endpoint list update refers to a list that was never sent.

    Attributes:
        list_id: The number of the list.
    """

    def __init__(self, list_id: int) -> None:
        super().__init__(f"ledger {list_id} was never sent")
        self.list_id = list_id
