"""Balancers under measurement: real processes, and hollow ones that only follow the endpoint list."""
