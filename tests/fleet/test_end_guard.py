"""What an agent loads to end its engine's version."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest
from attrs import define

from crowrudder_core.catalog import Releases
from crowrudder_core.transfer import chunks_of, full
from crowrudder_daemon._clock import clock_s
from crowrudder_daemon.fleet_agent._end_guard import EndGuard
from crowrudder_model.fleet import LayerRange

FIGURES: Any = SimpleNamespace(model='m', layers=16)
CHUNKS = 48
WINDOW_S = 8.0
OWN = LayerRange(5, 10)


@define
class Version:
    """A version as a host holds it."""

    at_hand: int
    count: int = CHUNKS

    @property
    def held(self):
        return self.at_hand


def guard(versions, *, named_ago_s):
    """Give the guard of an engine that holds version 1 whole."""
    releases = Releases(WINDOW_S)
    for version, ago_s in named_ago_s.items():
        releases.on_named('m', version, age_s=ago_s, now=clock_s())
    own = chunks_of(OWN, layers=FIGURES.layers, chunks=CHUNKS)
    parts: dict[str, Any] = {
        'view': SimpleNamespace(releases=releases),
        'watch': SimpleNamespace(whole=1),
        'library': SimpleNamespace(
            shelf=SimpleNamespace(transfers=versions),
            part=lambda *_: SimpleNamespace(chunks=own),
        ),
        'loader': None,
    }
    runtime: Any = None
    node: Any = None
    return EndGuard(runtime, node, **parts)


def loads(versions, **more):
    """Give the version and the layers that end version 1, None for nothing."""
    closing = guard(versions, **more)._closing(FIGURES)
    return closing and (closing.load.version, closing.layers)


class TestClosing:
    def test_a_version_that_is_all_but_whole_goes_before_the_newest(self):
        """Few engines served the version between two ends.

        Symptom: of 51 engines 11 serve version 2 where 33 did before.
        Sequence: versions 2 and 3 are named one after the other; at the end
        of version 1 most hosts hold most of version 2 and a few chunks of
        version 3; a few layers of version 3 are loaded, and version 2 isn't
        loaded over them. Cause: the newest one always ended the first.
        """
        versions = {'m@2': Version(full(44)), 'm@3': Version(full(9))}
        found = loads(versions, named_ago_s={2: 7.6, 3: 4.6})
        assert found == (2, OWN)

    def test_one_that_ends_itself_soon_does_not(self):
        versions = {'m@2': Version(full(44)), 'm@3': Version(full(9))}
        found = loads(versions, named_ago_s={2: 7.6, 3: 6.6})
        assert found == (3, LayerRange(0, 3))

    def test_layers_of_the_own_part_go_before_others(self):
        held = full(9) | 0b111 << 18
        found = loads({'m@2': Version(held)}, named_ago_s={2: 7.6})
        assert found == (2, LayerRange(6, 7))

    @pytest.mark.parametrize('held', [0, 0b11])
    def test_where_no_layer_is_held_nothing_is_loaded(self, held):
        assert loads({'m@2': Version(held)}, named_ago_s={2: 7.6}) is None

    def test_all_is_loaded_where_all_is_held(self):
        versions = {'m@2': Version(full(CHUNKS))}
        found = loads(versions, named_ago_s={2: 7.6})
        assert found == (2, LayerRange(0, 16))
