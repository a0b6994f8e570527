"""Tests of the client side: connections, requests, limits and shutdown."""
