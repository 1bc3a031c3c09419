"""The I/O edges: HTTP, RPC, and the platform's services."""
