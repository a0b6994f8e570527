"""The base plan of runs that compare requests through real balancers with direct requests to upstreams."""

from __future__ import annotations

from testbed import experiment


class Plan(experiment.Plan):
    """The load; the subclass for each run defines what `sizes` means."""

    per_s: float
    """Requests per second through all front balancers together; direct requests are sent at the same rate."""
    class_name: str
    """The request class: one of `testbed.settings.REQUEST_CLASSES` that is safe to retry."""
    deadline_ms: float
    """The deadline of each request, which clients send in `X-Deadline`."""
    warm_s: float
    """The duration of the load before the measurement, in seconds."""
    late_ms: float
    """The results are invalid if the 99th percentile of the lateness of requests exceeds this limit."""
