"""Network I/O: HTTP, RPC, and clients of the platform's services."""
