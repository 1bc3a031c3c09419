"""The scripted scenarios, on the true kernels with a driven clock."""

import pytest_bdd

from tests.lib.steps import *  # noqa: F403, H303

pytest_bdd.scenarios('features')
