"""Hypothesis profiles of the tests of the daemon."""

import os

from hypothesis import settings

settings.register_profile('ci', derandomize=True, deadline=None)
settings.register_profile(
    'long',
    derandomize=False,
    deadline=None,
    max_examples=2000,
    stateful_step_count=80,
)
settings.load_profile(os.environ.get('HYPOTHESIS_PROFILE', 'ci'))
