"""Balancers under measurement: real processes, and hollow ones that have no clients."""
