"""Measurements of the true kernels, each beside its baseline."""
