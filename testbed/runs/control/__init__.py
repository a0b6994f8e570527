"""Runs that measure the control plane: how fast balancers apply endpoint lists, and at what cost."""
