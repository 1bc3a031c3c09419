"""Whether a request may enter; registers the admission policies."""

from aspenfold._internal.admission import admit_all as _admit_all
from aspenfold._internal.admission import lanes as _lanes

__all__ = ['_lanes', '_admit_all']
