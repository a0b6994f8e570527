"""Reads the requests of one client connection: buffers, parses and validates them."""
