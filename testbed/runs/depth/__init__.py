"""The run that simulates chains of many tiers."""
