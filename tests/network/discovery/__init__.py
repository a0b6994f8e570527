"""Tests of the watch on discovery."""
