"""When an attempt may be made again; registers the retry policies."""

from aspenfold._internal.retries import budget as _budget
from aspenfold._internal.retries import naive as _naive

__all__ = ['_budget', '_naive']
