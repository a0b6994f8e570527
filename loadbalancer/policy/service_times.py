"""Mean service times by class, with and without load, and the work of a request from its cost hint."""

from loadbalancer.settings import Settings

SMOOTHING_ATTEMPTS = 50.0
"""Number of attempts over which the means of service times and of cost hints are smoothed.

Each new value has a weight of 1/50, so the standard deviation of a mean is a tenth of that of a single value.
"""
INITIAL_OBJECTIVE_FRACTION = 0.2
"""Initial mean service time of a class, as a fraction of its latency objective.

A response that takes five times this service time is just within the objective. A larger fraction would
leave too little time for queuing under load.
"""
BASELINE_PSEUDO_OBSERVATIONS = 2.0
"""Weight of the initial value in the baseline service time, as a number of attempts.

With the weight of two attempts, the first attempt moves the baseline by only a third of the difference
between the baseline and its own service time.
"""


class ServiceTimes:
    """Averages the service times of each class: of all attempts, and of those without load (the baseline).

    Both are exponential moving averages over SMOOTHING_ATTEMPTS successful attempts, in ms, and start at
    INITIAL_OBJECTIVE_FRACTION of the latency objective. The baseline begins as an arithmetic mean in which
    the initial value counts as BASELINE_PSEUDO_OBSERVATIONS attempts, so it is learned within a few attempts.
    """

    def __init__(self, settings: Settings) -> None:
        self._initial_ms = {
            c.name: c.latency_objective_ms * INITIAL_OBJECTIVE_FRACTION for c in settings.classes
        }
        self._mean_ms = dict(self._initial_ms)
        self._baseline_ms = dict(self._initial_ms)
        self._baseline_attempt_counts = {c.name: BASELINE_PSEUDO_OBSERVATIONS for c in settings.classes}

    def mean_ms(self, class_name: str) -> float:
        """Return the mean service time of recent successful attempts of a class."""
        return self._mean_ms[class_name]

    def baseline_ms(self, class_name: str) -> float:
        """Return the mean service time of a class without load, but not less than the initial value.

        Without this lower bound, the latency inflation of very short requests would count as an overload.
        """
        return max(self._baseline_ms[class_name], self._initial_ms[class_name])

    def record(self, class_name: str, elapsed_ms: float) -> None:
        """Add a successful attempt to the mean."""
        self._mean_ms[class_name] += (elapsed_ms - self._mean_ms[class_name]) / SMOOTHING_ATTEMPTS

    def record_baseline(self, class_name: str, elapsed_ms: float) -> None:
        """Add a successful attempt without load to the baseline.

        Args:
            class_name: The class of the request.
            elapsed_ms: The service time of the attempt divided by the expected work of the request.
        """
        attempt_count = min(self._baseline_attempt_counts[class_name] + 1, SMOOTHING_ATTEMPTS)
        self._baseline_attempt_counts[class_name] = attempt_count
        self._baseline_ms[class_name] += (elapsed_ms - self._baseline_ms[class_name]) / attempt_count


class CostHints:
    """Compares the cost hint of each request with the exponential moving average of all cost hints."""

    def __init__(self) -> None:
        self._mean_ms = 0.0

    def relative_work(self, hint_ms: float) -> float:
        """Return the work of a request in units of the mean request; 1 without a hint."""
        if hint_ms <= 0:
            return 1.0
        self._mean_ms += (hint_ms - self._mean_ms) / SMOOTHING_ATTEMPTS if self._mean_ms else hint_ms
        return hint_ms / self._mean_ms
