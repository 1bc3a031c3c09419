"""Shared helpers of the tests."""
