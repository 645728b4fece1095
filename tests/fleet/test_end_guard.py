"""Choice of the load that replaces an engine's expiring version."""

from __future__ import annotations

import logging
from types import SimpleNamespace
from typing import Any

import pytest
from attrs import define

from crowrudder_core.catalog import Releases
from crowrudder_core.transfer import chunks_of_layers, full
from crowrudder_daemon._clock import clock_s
from crowrudder_daemon.fleet_agent._end_guard import EndGuard
from crowrudder_model.fleet import LayerRange
from support.aio import run

FIGURES: Any = SimpleNamespace(model='m', layers=16)
CHUNKS = 48
WINDOW_S = 8.0
OWN = LayerRange(5, 10)


@define
class Version:
    """A version as a host holds it."""

    servable_chunks: int
    count: int = CHUNKS

    @property
    def held(self):
        return self.servable_chunks


def guard(versions, *, named_ago_s):
    """Return the guard of an engine that holds version 1 completely."""
    releases = Releases(WINDOW_S)
    for version, ago_s in named_ago_s.items():
        releases.on_named('m', version, age_s=ago_s, now=clock_s())
    own = chunks_of_layers(OWN, layers=FIGURES.layers, chunks=CHUNKS)
    parts: dict[str, Any] = {
        'view': SimpleNamespace(releases=releases),
        'watch': SimpleNamespace(whole=1),
        'library': SimpleNamespace(
            versions=SimpleNamespace(transfers=versions),
            part=lambda *_: SimpleNamespace(chunks=own),
        ),
        'loader': None,
    }
    runtime: Any = None
    node: Any = None
    return EndGuard(runtime, node, **parts)


def loads(versions, **more):
    """Return the version and layers that replace version 1, or None."""
    closing = guard(versions, **more)._choose_closing_load(FIGURES)
    return closing and (closing.load.version, closing.layers)


class TestClosing:
    def test_nearly_complete_version_is_preferred_to_newest(self):
        """Guard against always replacing a version by the newest one.

        Versions 2 and 3 are published in short succession; at the end of
        version 1 most hosts hold most of version 2 and a few chunks of version
        3. A few layers of version 3 were loaded, and version 2 is not loaded
        over them: of 51 engines 11 served version 2 instead of 33.
        """
        versions = {'m@2': Version(full(44)), 'm@3': Version(full(9))}
        found = loads(versions, named_ago_s={2: 7.6, 3: 4.6})
        assert found == (2, OWN)

    def test_version_that_ends_soon_is_not_preferred(self):
        versions = {'m@2': Version(full(44)), 'm@3': Version(full(9))}
        found = loads(versions, named_ago_s={2: 7.6, 3: 6.6})
        assert found == (3, LayerRange(0, 3))

    def test_layers_of_the_own_range_are_preferred(self):
        held = full(9) | 0b111 << 18
        found = loads({'m@2': Version(held)}, named_ago_s={2: 7.6})
        assert found == (2, LayerRange(6, 7))

    @pytest.mark.parametrize('held', [0, 0b11])
    def test_nothing_is_loaded_if_no_layer_is_held(self, held):
        assert loads({'m@2': Version(held)}, named_ago_s={2: 7.6}) is None

    def test_complete_version_is_loaded_completely(self):
        versions = {'m@2': Version(full(CHUNKS))}
        found = loads(versions, named_ago_s={2: 7.6})
        assert found == (2, LayerRange(0, 16))


class TestSingleLayer:
    def test_a_model_of_one_layer_is_not_withdrawn(self, caplog):
        """Guards against an order that is sent again and again in vain."""
        guarded = guard({}, named_ago_s={2: 7.6})
        log = logging.getLogger('crowrudder.test')
        guarded._runtime = SimpleNamespace(log=log)
        figures: Any = SimpleNamespace(model='m', layers=1)
        for _ in range(2):
            run(guarded._close(figures))
        assert len(caplog.records) == 1
