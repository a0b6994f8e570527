"""Runs balancers on the simulator's wire."""
