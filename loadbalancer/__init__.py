"""A load balancer for services that call services.

`LoadBalancer` is the policy of one balancer instance, configured by `Settings`. It accepts the events of
`loadbalancer.events` and returns the actions of `loadbalancer.actions`, and does no I/O itself:
`loadbalancer.network` carries the actions out over HTTP, `loadbalancer.simulator` on the wire of a simulator.
"""

from loadbalancer.policy.balancer import LoadBalancer
from loadbalancer.settings import Settings

__all__ = ["LoadBalancer", "Settings"]
