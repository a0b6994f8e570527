"""The errors that the package raises, all with one base class."""

from __future__ import annotations


class LoadBalancerError(Exception):
    """Base class of all errors that this package raises."""


class InvalidStateError(LoadBalancerError):
    """A method was called in a state that does not allow it: a bug in this program."""


class InvalidSettingsError(LoadBalancerError, ValueError):
    """The value of a setting is out of range.

    Attributes:
        field: The name of the field that holds the value.
        value: The value.
        requirement: The requirement that the value violates, such as "must not be negative".
    """

    def __init__(self, field: str, value: object, requirement: str) -> None:
        super().__init__(f"{field} is {value!r}: it {requirement}")
        self.field = field
        self.value = value
        self.requirement = requirement


class DuplicateRequestError(LoadBalancerError, ValueError):
    """A request has the id of an earlier one that is still open: a bug in the host of the policy.

    Attributes:
        request_id: The id of both requests.
    """

    def __init__(self, request_id: int) -> None:
        super().__init__(f"request {request_id} has arrived before")
        self.request_id = request_id


class UnknownClassError(LoadBalancerError, ValueError):
    """A request names a class that the settings don't define.

    Attributes:
        request_id: The id of the request.
        class_name: The name of the class.
    """

    def __init__(self, request_id: int, class_name: str) -> None:
        super().__init__(f"request {request_id} is of unknown class {class_name!r}")
        self.request_id = request_id
        self.class_name = class_name


class UnknownRequestError(LoadBalancerError, ValueError):
    """An event names a request that is not open, or an attempt that was never started for it.

    Attributes:
        request_id: The id of the request.
        attempt_index: The index of the attempt among those of the request.
    """

    def __init__(self, request_id: int, attempt_index: int) -> None:
        super().__init__(f"attempt {attempt_index} of request {request_id} was never made")
        self.request_id = request_id
        self.attempt_index = attempt_index
