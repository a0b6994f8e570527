"""A load balancer for services that call services.

`LoadBalancer` is the policy of one balancer instance, configured by `Settings`. It accepts events and returns
actions, and does no I/O itself: `loadbalancer.network` carries the actions out over HTTP,
`loadbalancer.simulator` on the wire of a simulator.

The names below are the package's public interface. Modules inside the package import each name from the
module that defines it.
"""

from loadbalancer.actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    LogMessage,
    RejectRequest,
    SetTimer,
    StartAttempt,
    StartHealthCheck,
    WatchEndpoints,
)
from loadbalancer.endpoints import Endpoint, EndpointState
from loadbalancer.errors import (
    DuplicateRequestError,
    InvalidSettingsError,
    LoadBalancerError,
    UnknownClassError,
    UnknownRequestError,
)
from loadbalancer.events import (
    AttemptFinished,
    ClientDisconnected,
    EndpointListKind,
    EndpointListUpdate,
    Event,
    HealthCheckFinished,
    Outcome,
    RequestReceived,
    ResponseStarted,
    TimerFired,
)
from loadbalancer.policy.balancer import LoadBalancer
from loadbalancer.settings import Idempotency, IdempotencyScope, RequestClass, Settings, Tenant
from loadbalancer.timers import EndpointListTimer, HedgeTimer, Timer

__all__ = [
    "Action",
    "AttemptFinished",
    "CancelAttempt",
    "ClientDisconnected",
    "CloseIdleConnections",
    "DuplicateRequestError",
    "Endpoint",
    "EndpointListKind",
    "EndpointListTimer",
    "EndpointListUpdate",
    "EndpointState",
    "Event",
    "FailRequest",
    "HealthCheckFinished",
    "HedgeTimer",
    "Idempotency",
    "IdempotencyScope",
    "InvalidSettingsError",
    "LoadBalancer",
    "LoadBalancerError",
    "LogMessage",
    "Outcome",
    "RejectRequest",
    "RequestClass",
    "RequestReceived",
    "ResponseStarted",
    "SetTimer",
    "Settings",
    "StartAttempt",
    "StartHealthCheck",
    "Tenant",
    "Timer",
    "TimerFired",
    "UnknownClassError",
    "UnknownRequestError",
    "WatchEndpoints",
]
