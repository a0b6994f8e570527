"""A stand-in for the discovery service: agents that serve the endpoint list."""
