"""When an attempt may be made again; registers the retry policies."""

from aspenfold._internal.retries import budget as _budget
from aspenfold._internal.retries import unbounded as _unbounded

__all__ = ['_budget', '_unbounded']
