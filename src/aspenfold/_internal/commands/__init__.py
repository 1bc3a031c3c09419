"""Commands: each parses, calls the core and returns an exit status."""
