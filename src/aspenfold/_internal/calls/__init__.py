"""State machines of the calls at an entry host, without I/O."""
