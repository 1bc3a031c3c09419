"""Stand-ins of the platform and the endpoints, for tests and demos.

They are not part of the product.  Each serves its protocol over HTTP,
records what it executed, and has faults that tests can switch on.
"""
