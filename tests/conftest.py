"""Hypothesis profiles: fixed examples in CI, more in ``make explore``."""

import os

import hypothesis
import pytest

from tests.lib import known_red

EXPLORING = os.environ.get('ASPENFOLD_PROFILE') == 'explore'

hypothesis.settings.register_profile(
    'ci',
    max_examples=40,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
hypothesis.settings.register_profile(
    'explore',
    parent=hypothesis.settings.get_profile('ci'),
    max_examples=1500,
    stateful_step_count=60,
    derandomize=False,
    print_blob=True,
)
hypothesis.settings.load_profile('explore' if EXPLORING else 'ci')


@pytest.fixture
def seeds() -> range:
    """Return the seeds of random runs: 40 in CI, 1000 when exploring."""
    if EXPLORING:
        first = int(os.environ.get('ASPENFOLD_FIRST_SEED', '10000'))
        return range(first, first + 1000)
    return range(40)


def pytest_configure(config: pytest.Config) -> None:
    """Pass over the failing tests that are listed."""
    config.pluginmanager.register(known_red.Plugin(root=config.rootpath))
