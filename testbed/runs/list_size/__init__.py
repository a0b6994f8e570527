"""The run that measures the costs of a balancer by the length of its endpoint list."""
