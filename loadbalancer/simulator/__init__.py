"""Runs balancer instances in a simulator: events and actions are lines of a text protocol, the wire."""
