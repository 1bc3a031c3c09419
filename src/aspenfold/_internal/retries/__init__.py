"""Retry policies, which decide whether an attempt is repeated.

Importing this package registers them.
"""

from aspenfold._internal.retries import budget as _budget
from aspenfold._internal.retries import naive as _naive

__all__ = ['_budget', '_naive']
