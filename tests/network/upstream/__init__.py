"""Tests of attempts and connection pools."""
