"""Stand-ins of the platform, its callers and endpoints for review cases.

They use the standard library only, so that nothing has to be built.
"""
