"""Tests of the watch on the endpoint list of discovery."""
