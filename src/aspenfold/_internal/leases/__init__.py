"""Leases that are recorded in the log or a topic; performs no I/O."""
