"""A load balancer for chains of HTTP/1.1 services.

`LoadBalancer` is the policy of one balancer instance, configured by `Settings`. It accepts events, returns
actions and does no I/O itself. Two hosts carry out its actions: `loadbalancer.network` over HTTP, and
`loadbalancer.simulator` over the line protocol of a simulator.

The names below are the public interface of the package. Inside the package, modules import each name from
the module that defines it.
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
