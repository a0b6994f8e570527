"""Outlier detection: which endpoints are ejected from selection for a while."""

from loadbalancer.policy.endpoint_stats import UPDATE_INTERVAL_MS, EndpointStats

# An endpoint is an outlier if it lost so many attempts of late, and this part of all.
EJECTION_MIN_LOST = 2.0
EJECTION_MIN_LOST_FRACTION = 1 / 3


def is_outlier(endpoint: EndpointStats) -> bool:
    """Whether connects fail there, or it lost several attempts of late, and a good part of all."""
    served = lost = 0.0
    if endpoint.outcomes:
        served, lost = (sum(part) for part in zip(*endpoint.outcomes.values(), strict=True))
    return endpoint.connect_failures > 1 or _loses_many(served, lost)


def is_outlier_for(endpoint: EndpointStats, class_name: str) -> bool:
    """Whether it lost several attempts of this class of late, and a good part of all."""
    served, lost = endpoint.outcomes.get(class_name, (0.0, 0.0))
    return _loses_many(served, lost)


def _loses_many(served: float, lost: float) -> bool:
    return lost >= EJECTION_MIN_LOST and lost >= EJECTION_MIN_LOST_FRACTION * (served + lost)


def without_outliers(endpoints: list[EndpointStats], class_name: str, now: float) -> list[EndpointStats]:
    """Eject the endpoints that lose the attempts of this class, as long as most do not.

    Guards against endpoints that hang or fail for one class and serve the others well, which their capacity
    over all classes hides; dead and very slow ones go sooner by it too. Where most lose attempts the cause
    is a common one and none is ejected. It harms where the rest is then overloaded; the evidence fades
    within seconds, and one more attempt lost ejects the endpoint again. Where connects fail one after
    another the endpoint is unreachable, whatever it did before, and however many others are.
    """
    for endpoint in endpoints:
        has_evidence = endpoint.outcomes or endpoint.connect_failures
        if has_evidence and now - endpoint.updated_at >= UPDATE_INTERVAL_MS:
            endpoint.catch_up(now)
    reachable = [e for e in endpoints if e.connect_failures <= 1] or endpoints
    # An endpoint without outcomes is no outlier: the call is saved for the many that have none.
    healthy = [e for e in reachable if not e.outcomes or not is_outlier_for(e, class_name)]
    return healthy if 2 * len(healthy) >= len(reachable) else reachable
