"""The run that simulates chains of different depths, with faults."""
