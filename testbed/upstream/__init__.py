"""Stub upstreams: HTTP servers that do no work and respond according to a configured behaviour."""
