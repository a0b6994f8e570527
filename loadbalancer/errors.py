"""The base classes of the package's errors."""


class LoadBalancerError(Exception):
    """Base class of all errors that this package raises."""


class InvalidStateError(LoadBalancerError):
    """An object was used in a state that does not allow the call: a fault of this program."""
