"""Leases recorded in the log; no I/O here."""
