"""The run that measures the costs of a balancer for each length of its endpoint list."""
