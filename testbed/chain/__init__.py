"""Chains of tiers that are simulated on a virtual clock."""
