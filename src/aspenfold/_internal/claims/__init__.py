"""Who may run a request with an idempotency key; no I/O here."""
