"""Hypothesis profiles for the tests of the command line."""

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
