"""How long requests take: mean and baseline service time by class, and the work that cost hints tell."""

from loadbalancer.settings import Settings

SMOOTHING_ATTEMPTS = 50.0  # means are smoothed over so many attempts
# Of its latency objective a request takes this part at endpoints without load, until we know better.
INITIAL_OBJECTIVE_FRACTION = 0.2
PSEUDO_OBSERVATIONS = 2.0  # the first value counts as so many attempts


class ServiceTimes:
    """Mean service time of each class, over all attempts and over those at endpoints without load."""

    def __init__(self, settings: Settings) -> None:
        self._initial_ms = {
            c.name: c.latency_objective_ms * INITIAL_OBJECTIVE_FRACTION for c in settings.classes
        }
        self._mean_ms = dict(self._initial_ms)
        self._baseline_ms = dict(self._initial_ms)
        self._baseline_attempts = {c.name: PSEUDO_OBSERVATIONS for c in settings.classes}

    def mean_ms(self, class_name: str) -> float:
        """What an attempt of this class takes, by the last served ones."""
        return self._mean_ms[class_name]

    def baseline_ms(self, class_name: str) -> float:
        """What an attempt takes at an endpoint that holds hardly another one; at least the initial value."""
        return max(self._baseline_ms[class_name], self._initial_ms[class_name])

    def record(self, class_name: str, elapsed_ms: float) -> None:
        """Count a served attempt in the mean."""
        self._mean_ms[class_name] += (elapsed_ms - self._mean_ms[class_name]) / SMOOTHING_ATTEMPTS

    def record_baseline(self, class_name: str, elapsed_ms: float) -> None:
        """Count a served attempt that met no load, `elapsed_ms` over its expected work."""
        attempts = min(self._baseline_attempts[class_name] + 1, SMOOTHING_ATTEMPTS)
        self._baseline_attempts[class_name] = attempts
        self._baseline_ms[class_name] += (elapsed_ms - self._baseline_ms[class_name]) / attempts


class CostHints:
    """The mean of the cost hints, to which each request's own is compared."""

    def __init__(self) -> None:
        self._mean_ms = 0.0

    def relative_work(self, hint_ms: float) -> float:
        """The work of a request over that of the mean request; 1 without a hint."""
        if hint_ms <= 0:
            return 1.0
        self._mean_ms += (hint_ms - self._mean_ms) / SMOOTHING_ATTEMPTS if self._mean_ms else hint_ms
        return hint_ms / self._mean_ms
