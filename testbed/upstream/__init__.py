"""Upstreams that do no work of their own and respond as they are told."""
