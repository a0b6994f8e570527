"""loadbalancer: the decisions of a load balancer for services that call services."""

from loadbalancer.policy.balancer import LoadBalancer
from loadbalancer.settings import Settings

__all__ = ["LoadBalancer", "Settings"]
