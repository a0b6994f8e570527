"""Upstreams: connection pools, and the attempts on their connections."""
