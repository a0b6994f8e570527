"""Tests of the upstream side: attempts and pools."""
