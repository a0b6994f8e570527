"""Load generators, simulated services and experiments that measure `loadbalancer` at its intended scale.

`loadbalancer` does not import this package. The dependencies of this package are in the optional group
`testbed`.
"""
