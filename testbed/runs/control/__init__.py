"""Runs that measure how balancers follow changes of the endpoint list."""
