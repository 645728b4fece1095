"""Parts of an agent of which a test looks at little."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any
from unittest.mock import Mock

LAYERS = 16


def stub(**parts: Any) -> Any:
    """Stand for an object of which only these parts are looked at."""
    return SimpleNamespace(**parts)


class FakeWatch:
    """Reads the engine at once, and tells nobody."""

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
