"""Every decision of the load balancer: sans-I/O, standard library only."""
