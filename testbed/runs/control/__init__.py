"""Runs that measure the control plane: how balancers follow the endpoint list, and what it costs them."""
