"""A version within its window: the first copy, and when hosts hold it whole.

Small fleets on slow links, whose window is under twice a copy's time on a
host's link. Two cases: the origin stays, and the origin leaves a while after
the version was named, as long as it needs for one copy and a third.
"""

from __future__ import annotations

import random
from functools import partial
from statistics import fmean
from typing import TYPE_CHECKING, Any

from _weights_fleet import Fleet, Host, Links, Scene
from _weights_links import MICROS

from crowrudder_core.transfer import (
    assign_layer_ranges,
    chunks_of_layers,
    full,
    layer_range_count,
    layers_of_range,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    Show = Callable[[str, float | str], None]

SEEDS = range(12)
HOSTS = 9
CHUNKS = 64
LAYERS = 16
LINKS = Links(
    chunk_us=69_000,
    sent_us=86_000,
    origin_us=26_500,
    tick_us=20_000,
    news_us=80_000,
    slots=3,
    regions=3,
    domains=1,
)
"""Chunks of 32 KiB on 3.8 Mbit/s, four fifths of it for sending, and an origin
of 9.9 Mbit/s: a fleet whose window of 8 s is 1.8 times a copy."""

NOTICE_US = (150_000, 350_000)
"""From a version's publication until a host has its manifest, as played."""

AWAY_US = 2_500_000
USUAL: dict[str, Any] = {
    'starved_s': 0.6,
    'origin_wait_s': 0.5,
    'reads_at_once': 3,
}
WAYS: dict[str, dict[str, Any]] = {
    'rendezvous': {},
    'even': {'even_turns': True},
    'even_gaps': {'even_turns': True, 'gap_share': 0.5},
    'two_reads': {'even_turns': True, 'gap_share': 0.5, 'origin_reads': 2},
    'spare': {'even_turns': True, 'gap_share': 0.5, 'spare_origin': True},
    'parts': {
        'even_turns': True,
        'gap_share': 0.5,
        'spare_origin': True,
        'parts': True,
    },
}
"""Who reads first at the origin, and what else it is asked for; the last is
that of a fleet. Two reads at once get the first copy out sooner and the whole
later: they take the place of reads from other hosts."""


def run(show: Show) -> None:
    """Show each way's times, the mean of its seeds."""
    for name, changes in WAYS.items():
        fleets = [_play(seed, changes) for seed in SEEDS]
        start = f'window.{name}'
        show(f'{start}.out_s', fmean(each.out_s for each in fleets))
        show(f'{start}.out_most_s', max(each.out_s for each in fleets))
        for part, at in (('first', 0), ('half', HOSTS // 2), ('last', -1)):
            held = fmean(each.held_at()[at] for each in fleets)
            show(f'{start}.{part}_s', held)
        parts = [each.parts_s for each in fleets]
        show(f'{start}.parts_s', fmean(parts))
        show(f'{start}.copies', fmean(each.origin_copies for each in fleets))
        away = [_play(seed, changes, away=True) for seed in SEEDS]
        out = sum(each.out_s < AWAY_US / MICROS for each in away)
        show(f'{start}.out_before_it_left', out / len(away))


class _Window(Fleet):
    """A fleet that notes when its hosts together hold every chunk."""

    def __init__(self, scene: Scene) -> None:
        super().__init__(scene)
        self.out_s = float('inf')
        self.parts_s = float('inf')

    def held_at(self) -> list[float]:
        """Give when hosts held the version, in order, seconds."""
        now = self.clock.now
        return sorted(
            (host.done_at or now) / MICROS for host in self.hosts.values()
        )

    def hold_back(self, host: Host, until_us: int) -> None:
        """Let a host know of the version only then."""
        host.frozen = True
        self.clock.at(until_us, partial(setattr, host, 'frozen', False))

    def want_parts(self) -> None:
        """Let each host want its part of the version first."""
        parts = assign_layer_ranges(self.manifest.version, self.places)
        count = layer_range_count(len(parts))
        for name, host in self.hosts.items():
            layers = layers_of_range(parts[name], count, LAYERS)
            host.transfer.first = chunks_of_layers(
                layers, layers=LAYERS, chunks=self.scene.chunks
            )

    def _have_parts(self) -> bool:
        """Whether each region together holds all parts."""
        ready = [
            host.place.region
            for host in self.hosts.values()
            if not host.transfer.first & ~host.transfer.held
        ]
        return len(ready) == len(self.hosts)

    def leave(self) -> None:
        """Let the origin go."""
        self.origin_up = False

    def look(self) -> None:
        """Note whether every chunk is out."""
        if self.parts_s == float('inf') and self._have_parts():
            self.parts_s = self.clock.now_s
        held = 0
        for host in self.hosts.values():
            held |= host.transfer.held
        if held == full(self.scene.chunks):
            self.out_s = min(self.out_s, self.clock.now_s)
        if self.waiting():
            self.clock.at(self.clock.now + self.scene.links.tick_us, self.look)


def _play(seed: int, changes: dict[str, Any], *, away: bool = False) -> _Window:
    changes = dict(changes)
    parts = changes.pop('parts', False)
    fleet = _Window(
        Scene(
            hosts=HOSTS,
            chunks=CHUNKS,
            seed=seed,
            changes={**USUAL, **changes},
            links=LINKS,
        ),
    )
    if parts:
        fleet.want_parts()
    rng = random.Random(seed)
    for host in fleet.hosts.values():
        fleet.hold_back(host, rng.randint(*NOTICE_US))
    fleet.look()
    if away:
        fleet.clock.at(AWAY_US, fleet.leave)
    fleet.run(until_us=12 * MICROS)
    return fleet
