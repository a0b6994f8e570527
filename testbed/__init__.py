"""Stand-ins, loads and experiments that measure `basaltspindle` at the sizes it is meant for.

Nothing in `basaltspindle` imports this package; its dependencies are the optional ones named `testbed`.
"""
