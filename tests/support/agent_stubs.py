"""Stubs for parts of an agent."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any
from unittest.mock import Mock

LAYERS = 16


def stub(**parts: Any) -> Any:
    """Return a stub object that has only these attributes."""
    return SimpleNamespace(**parts)


class FakeWatch:
    """Reads the engine immediately and notifies no task."""

    def __init__(self, engine):
        self._engine = engine
        self.set_changing = Mock()
        self.set_extending = Mock()
        self.layers = LAYERS

    @property
    def reading(self):
        return self._engine.reading

    @property
    def whole(self):
        return self.reading.whole(LAYERS)

    async def read_now(self):
        return self.reading


def fake_watch(engine) -> Any:
    return FakeWatch(engine)
