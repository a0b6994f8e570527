"""A discovery service for tests and experiments: agents that serve the endpoint list."""
