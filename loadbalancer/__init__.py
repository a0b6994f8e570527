"""A load balancer for services that call services.

`LoadBalancer` makes the decisions of one balancer instance, with `Settings` to configure it. It takes the
events of `loadbalancer.events` and returns the actions of `loadbalancer.actions`, and does no input or output
itself: `loadbalancer.network` carries the actions out over HTTP, `loadbalancer.simulator` on the wire of a
simulator.
"""

from loadbalancer.policy.balancer import LoadBalancer
from loadbalancer.settings import Settings

__all__ = ["LoadBalancer", "Settings"]
