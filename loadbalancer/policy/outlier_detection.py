"""Outlier detection: temporarily ejects failing endpoints from selection."""

from loadbalancer.policy.endpoint_stats import STATISTICS_UPDATE_INTERVAL_MS, EndpointStats

EJECTION_MIN_FAILURES = 2.0
"""An outlier has at least this number of recent failed attempts; one failure may be due to the request.

The count decays exponentially.
"""
EJECTION_MIN_FAILURE_FRACTION = 1 / 3
"""Minimum fraction of failures among the recent attempts at an outlier.

At a lower fraction, the load that an ejection moves to the other endpoints would do more harm than the
failures.
"""


def is_outlier(endpoint: EndpointStats) -> bool:
    """Return whether connects to an endpoint fail, or too many recent attempts of all classes have failed."""
    succeeded = failed = 0.0
    if endpoint.outcomes:
        succeeded, failed = (sum(counts) for counts in zip(*endpoint.outcomes.values(), strict=True))
    return endpoint.connect_failures > 1 or _exceeds_failure_limits(succeeded, failed)


def is_outlier_for(endpoint: EndpointStats, class_name: str) -> bool:
    """Return whether too many recent attempts of one class have failed at an endpoint."""
    succeeded, failed = endpoint.outcomes.get(class_name, (0.0, 0.0))
    return _exceeds_failure_limits(succeeded, failed)


def _exceeds_failure_limits(succeeded: float, failed: float) -> bool:
    return failed >= EJECTION_MIN_FAILURES and failed >= EJECTION_MIN_FAILURE_FRACTION * (succeeded + failed)


def without_outliers(endpoints: list[EndpointStats], class_name: str, now: float) -> list[EndpointStats]:
    """Return the endpoints without the outliers for a class.

    Unreachable endpoints, where several connects in succession have failed, are ejected first. Any number of
    them may be ejected, but if all endpoints are unreachable, none is. Of the reachable endpoints, the
    outliers for the class are ejected if at least half of the reachable endpoints remain. If more than half
    are outliers, the failures probably have a common cause, and none of the reachable endpoints is ejected.

    Outliers are detected by class because an endpoint may hang or fail for one class and serve the others
    well, which its estimated capacity over all classes does not show. Dead and very slow endpoints are
    ejected before their estimated capacity falls. The drawback is that the other endpoints receive the load
    of the ejected ones. Within seconds the statistics decay and the endpoint is selected again; one more
    failed attempt then ejects it again.
    """
    for endpoint in endpoints:
        has_statistics = endpoint.outcomes or endpoint.connect_failures
        if has_statistics and now - endpoint.updated_at >= STATISTICS_UPDATE_INTERVAL_MS:
            endpoint.advance_to(now)
    reachable = [e for e in endpoints if e.connect_failures <= 1] or endpoints
    # An endpoint without outcomes is no outlier. Most have none, so checking this first avoids most calls.
    healthy = [e for e in reachable if not e.outcomes or not is_outlier_for(e, class_name)]
    return healthy if 2 * len(healthy) >= len(reachable) else reachable
