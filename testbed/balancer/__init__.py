"""Balancers under measurement: real processes, and watch-only balancers without clients."""
