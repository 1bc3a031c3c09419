"""Admission policies, which decide whether a request is accepted.

Importing this package registers them.
"""

from aspenfold._internal.admission import admit_all as _admit_all
from aspenfold._internal.admission import lanes as _lanes

__all__ = ['_lanes', '_admit_all']
