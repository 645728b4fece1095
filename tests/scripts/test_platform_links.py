"""Queues of engines' links in the platform soak."""

from __future__ import annotations

import random
from types import SimpleNamespace
from typing import Any

import pytest
from _platform_links import Direction, NarrowLinks
from _relay import Relay

ENTRIES = ('entry-0', 'entry-1')


@pytest.fixture(name='links')
def make_links():
    """Return the queues of a fleet with one engine and its agent."""
    fleet: Any = SimpleNamespace(
        relay=Relay(dict),
        entries=lambda: dict.fromkeys(ENTRIES, ''),
        replicas={'engine-0': SimpleNamespace(service='llm')},
    )
    return NarrowLinks(fleet, random.Random(1), lambda _: None)


class TestDirections:
    @pytest.mark.parametrize(
        ('direction', 'into', 'out_of'),
        [
            (Direction.INBOUND, True, False),
            (Direction.OUTBOUND, False, True),
            (Direction.BOTH, True, True),
        ],
    )
    def test_a_queue_delays_its_direction_alone(
        self, links, direction, into, out_of
    ):
        relay = links.fleet.relay
        delayed = links._links('engine-0', direction)
        for entry in ENTRIES:
            assert (relay.link(entry, 'engine-0') in delayed) is into
            assert (relay.link('engine-0', entry) in delayed) is out_of

    def test_the_engines_own_agent_is_not_delayed(self, links):
        relay = links.fleet.relay
        delayed = links._links('engine-0', Direction.BOTH)
        assert relay.link('agent-0', 'engine-0') not in delayed
        assert relay.link('engine-0', 'agent-0') not in delayed
