"""Benchmarks of the decision logic and of real processes."""
