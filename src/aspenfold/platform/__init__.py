"""Translates between aspenfold and its users' platform.

Modules here decode the platform's messages into aspenfold's own types
and back.  They hold no decision, no state beyond a connection and no
retry policy.  Nothing else in the package knows a name that the
platform uses on the wire.
"""
