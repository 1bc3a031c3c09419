"""Routing policies, which choose an endpoint for a request.

Importing this package registers them.
"""

from aspenfold._internal.routing import least_loaded as _least_loaded
from aspenfold._internal.routing import random_choice as _random_choice
from aspenfold._internal.routing import round_robin as _round_robin
from aspenfold._internal.routing import two_choices as _two_choices
from aspenfold._internal.routing import zone_first as _zone_first

__all__ = [
    '_least_loaded',
    '_random_choice',
    '_round_robin',
    '_two_choices',
    '_zone_first',
]
