"""The run that measures chains of real balancers."""
