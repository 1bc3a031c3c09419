"""The known endpoints and their state; nothing here does I/O."""
