"""The plan of runs that load real balancers, and upstreams directly beside them."""

from __future__ import annotations

from testbed import experiment


class Plan(experiment.Plan):
    """The load; each run says what its sizes count."""

    per_s: float
    """Calls a second through all front balancers together; as many go direct."""
    class_name: str
    """A class of the made-up settings that is safe to repeat."""
    deadline_ms: float
    """The deadline of each call, as clients say it in the request."""
    warm_s: float
    """How long the load runs before it is measured."""
    late_ms: float
    """The figures are invalid where the 99th percentile of how late calls were sent is above this."""
