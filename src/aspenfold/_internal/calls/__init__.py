"""The life of a call at an entry host; no I/O here."""
