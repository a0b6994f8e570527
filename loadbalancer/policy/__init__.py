"""The decision logic of the load balancer: sans-I/O, using only the standard library."""
