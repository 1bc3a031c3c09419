"""The fleet's state, built from the records on the log, without I/O."""
