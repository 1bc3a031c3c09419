"""The fleet as folded from the log; no I/O here."""
