"""Outlier detection: which endpoints are ejected from selection for a time."""

from loadbalancer.policy.endpoint_stats import EVIDENCE_UPDATE_INTERVAL_MS, EndpointStats

# Recent lost attempts, at least, that make an endpoint an outlier: one lost attempt may be the request's
# fault. The count decays exponentially.
EJECTION_MIN_FAILURES = 2.0
# Fraction of the recent attempts, at least, that were lost. Where fewer are lost, the load that an
# ejection adds to the other endpoints would do more harm than the lost attempts.
EJECTION_MIN_FAILURE_FRACTION = 1 / 3


def is_outlier(endpoint: EndpointStats) -> bool:
    """Return whether connects to an endpoint fail, or too many recent attempts of all classes were lost."""
    succeeded = failed = 0.0
    if endpoint.outcomes:
        succeeded, failed = (sum(counts) for counts in zip(*endpoint.outcomes.values(), strict=True))
    return endpoint.connect_failures > 1 or _exceeds_failure_limits(succeeded, failed)


def is_outlier_for(endpoint: EndpointStats, class_name: str) -> bool:
    """Return whether too many recent attempts of one class were lost at an endpoint."""
    succeeded, failed = endpoint.outcomes.get(class_name, (0.0, 0.0))
    return _exceeds_failure_limits(succeeded, failed)


def _exceeds_failure_limits(succeeded: float, failed: float) -> bool:
    return failed >= EJECTION_MIN_FAILURES and failed >= EJECTION_MIN_FAILURE_FRACTION * (succeeded + failed)


def without_outliers(endpoints: list[EndpointStats], class_name: str, now: float) -> list[EndpointStats]:
    """Return the endpoints without the outliers for a class.

    Endpoints at which connects fail one after another are unreachable and are ejected first, however many
    they are, unless all are. Of the others, outliers for the class are ejected as long as at least half of
    the endpoints remain. Where most endpoints lose attempts the cause is a common one, and none is ejected.

    Guards against endpoints that hang or fail for one class and serve the others well, which their capacity
    over all classes does not show; dead and very slow endpoints are ejected sooner than their capacity falls.
    The cost: the other endpoints get the load of the ejected ones. The evidence decays within seconds, and
    one more lost attempt ejects the endpoint again.
    """
    for endpoint in endpoints:
        has_evidence = endpoint.outcomes or endpoint.connect_failures
        if has_evidence and now - endpoint.updated_at >= EVIDENCE_UPDATE_INTERVAL_MS:
            endpoint.advance_to(now)
    reachable = [e for e in endpoints if e.connect_failures <= 1] or endpoints
    # An endpoint without outcomes is no outlier: most have none, and the call is saved for them.
    healthy = [e for e in reachable if not e.outcomes or not is_outlier_for(e, class_name)]
    return healthy if 2 * len(healthy) >= len(reachable) else reachable
