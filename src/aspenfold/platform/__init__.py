"""Adapters between aspenfold and its users' platform.

They translate the platform's messages to aspenfold's types and back.
Only this package contains the platform's wire names.  It makes no
decisions, does not retry, and holds no state except connections.
"""
