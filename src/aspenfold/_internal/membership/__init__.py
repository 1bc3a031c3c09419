"""Which endpoints there are and what is known of each; no I/O here."""
