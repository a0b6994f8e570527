"""The plan of runs that send load through real balancers and, for comparison, directly to upstreams."""

from __future__ import annotations

from testbed import experiment


class Plan(experiment.Plan):
    """The load; the subclass of each run says what its sizes count."""

    per_s: float
    """Requests per second through all front balancers together; direct requests have the same rate."""
    class_name: str
    """The request class, one of the generated settings that is safe to retry."""
    deadline_ms: float
    """The deadline of each request, which clients send in `X-Deadline`."""
    warm_s: float
    """The length of the load before the measurement, in seconds."""
    late_ms: float
    """The results are invalid if the 99th percentile of the load's lateness exceeds this limit."""
