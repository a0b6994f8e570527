"""A request on its way through the balancer, and its attempts."""

from dataclasses import dataclass, field

from loadbalancer.policy.endpoint_stats import EndpointStats
from loadbalancer.settings import RequestClass


@dataclass(slots=True, eq=False, repr=False)
class Attempt:
    """One attempt of a request."""

    endpoint: EndpointStats
    idle_ms: float  # how long its connection had been idle; 0 where it was new, in use or not known
    sent_at: float
    ends_at: float  # when it times out
    is_baseline: bool  # whether the endpoints held hardly an attempt each when it was started
    is_open: bool = True
    may_have_run: bool = True  # true until its outcome proves otherwise


@dataclass(slots=True, eq=False, repr=False)
class Request:
    """A request to which a response is owed, or that has open attempts."""

    id: int
    request_class: RequestClass
    useful_until: float  # after this a response has no value for the client
    work: float = 1.0  # its work over that of the mean request, where a cost hint tells
    attempts: list[Attempt] = field(default_factory=list)
    is_response_pending: bool = True
    is_streaming: bool = False

    @property
    def expected_work(self) -> float:
        """How many times longer than the mean request it may take."""
        return max(self.work, 1.0)

    def has_open_attempt(self) -> bool:
        """Whether an attempt has not finished yet."""
        return any(a.is_open for a in self.attempts)

    def needs_attempt(self) -> bool:
        """Whether a response is owed that no open attempt can bring."""
        return self.is_response_pending and not self.has_open_attempt()

    def may_have_run(self) -> bool:
        """Whether an attempt may have had an effect."""
        return any(a.may_have_run for a in self.attempts)
