"""Runs balancer instances on the wire of a simulator, in place of the network."""
