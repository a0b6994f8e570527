"""Load generators, simulated services and experiments that measure `loadbalancer` at its intended scale.

`loadbalancer` does not import this package, whose dependencies are in the optional group `testbed`.
"""
