"""The scenarios in ``features``, on the real kernels in virtual time."""

import pytest_bdd

from tests.lib.steps import *  # noqa: F403, H303

pytest_bdd.scenarios('features')
