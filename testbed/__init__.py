"""Stand-ins, loads and experiments that measure `loadbalancer` at the sizes it is meant for.

Nothing in `loadbalancer` imports this package; its dependencies are the optional ones named `testbed`.
"""
