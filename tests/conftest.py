"""Pytest configuration: fixed seeds and no deadlines, so runs are repeatable."""

from __future__ import annotations

from hypothesis import settings

pytest_plugins = ['pytester', 'support.known_red']

settings.register_profile(
    'ci',
    derandomize=True,
    deadline=None,
    database=None,
    print_blob=True,
)
settings.load_profile('ci')
