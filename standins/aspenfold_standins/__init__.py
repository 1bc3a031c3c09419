"""Small stand-ins for the platform and the endpoints.

They are no part of the product.  Each is a process of its own that
speaks its protocol over HTTP, records what it really executed, and
has faults that can be switched on.
"""
