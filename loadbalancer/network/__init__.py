"""The network side of the balancer: connects the policy to clients, upstreams and discovery."""
