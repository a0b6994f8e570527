"""What runs share that put a load beside a direct one on real balancers."""

from __future__ import annotations

from testbed import experiment


class Plan(experiment.Plan):
    """The load; each run says what its sizes count."""

    per_s: float
    """Calls a second through the balancers' fronts together; as many go direct."""
    class_name: str
    """A class of the made-up settings that is safe to repeat."""
    deadline_ms: float
    """What clients say they wait."""
    warm_s: float
    """Load that is not measured, before what is."""
    late_ms: float
    """A load whose sends are later than that, 1 in 100, gives no figures."""
