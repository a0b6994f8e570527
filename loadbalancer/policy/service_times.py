"""Service times by class, with and without load, and the expected work of a request by its cost hint."""

from loadbalancer.settings import Settings

# Attempts over which the means are smoothed: each new one enters with a weight of 1/50, which gives a mean a
# tenth of the standard deviation of one attempt.
SMOOTHING_ATTEMPTS = 50.0
# Initial service time of a class, as a fraction of its latency objective. At five times this time a response
# is just within the objective: a larger fraction would leave too little time for waiting under load.
INITIAL_OBJECTIVE_FRACTION = 0.2
# Pseudo-observations of the initial value in the mean of baseline service times: the first attempt moves the
# baseline by a third of the difference only.
BASELINE_PSEUDO_OBSERVATIONS = 2.0


class ServiceTimes:
    """Averages the service time of each class: over all attempts, and over those that met no load.

    Both are exponential moving averages over SMOOTHING_ATTEMPTS successful attempts, in ms, and begin at
    INITIAL_OBJECTIVE_FRACTION of the class's latency objective. The baseline starts as an arithmetic mean,
    with the initial value as BASELINE_PSEUDO_OBSERVATIONS, so that it is learned within a few attempts.
    """

    def __init__(self, settings: Settings) -> None:
        self._initial_ms = {
            c.name: c.latency_objective_ms * INITIAL_OBJECTIVE_FRACTION for c in settings.classes
        }
        self._mean_ms = dict(self._initial_ms)
        self._baseline_ms = dict(self._initial_ms)
        self._baseline_attempts = {c.name: BASELINE_PSEUDO_OBSERVATIONS for c in settings.classes}

    def mean_ms(self, class_name: str) -> float:
        """Return the mean service time of the last successful attempts of a class."""
        return self._mean_ms[class_name]

    def baseline_ms(self, class_name: str) -> float:
        """Return the service time of a class without load; at least the initial value.

        The lower bound keeps the latency inflation of very short requests from counting as an overload.
        """
        return max(self._baseline_ms[class_name], self._initial_ms[class_name])

    def record(self, class_name: str, elapsed_ms: float) -> None:
        """Count a successful attempt in the mean."""
        self._mean_ms[class_name] += (elapsed_ms - self._mean_ms[class_name]) / SMOOTHING_ATTEMPTS

    def record_baseline(self, class_name: str, elapsed_ms: float) -> None:
        """Count a successful attempt that met no load.

        Args:
            class_name: The class of its request.
            elapsed_ms: Its service time over the expected work of its request.
        """
        attempts = min(self._baseline_attempts[class_name] + 1, SMOOTHING_ATTEMPTS)
        self._baseline_attempts[class_name] = attempts
        self._baseline_ms[class_name] += (elapsed_ms - self._baseline_ms[class_name]) / attempts


class CostHints:
    """Compares the cost hint of each request with the exponential moving average of all of them."""

    def __init__(self) -> None:
        self._mean_ms = 0.0

    def relative_work(self, hint_ms: float) -> float:
        """Return the work of a request in mean requests; 1 without a hint."""
        if hint_ms <= 0:
            return 1.0
        self._mean_ms += (hint_ms - self._mean_ms) / SMOOTHING_ATTEMPTS if self._mean_ms else hint_ms
        return hint_ms / self._mean_ms
