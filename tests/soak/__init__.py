"""Soak tests: gateway processes serve requests while faults are injected."""
