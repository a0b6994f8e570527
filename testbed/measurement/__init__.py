"""Measurements: latency histograms, processor time and memory."""
