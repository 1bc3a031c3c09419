"""Decides which attempt may run for an idempotency key, without I/O."""
