"""Whether a request may enter; registers the admission policies."""

from aspenfold._internal.admission import lanes as _lanes
from aspenfold._internal.admission import open_door as _open_door

__all__ = ['_lanes', '_open_door']
