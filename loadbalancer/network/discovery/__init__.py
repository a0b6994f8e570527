"""The client of the discovery service; it watches the endpoint list."""
