"""State machines of the calls at an entry, without I/O."""
