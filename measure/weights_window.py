"""A version in its window: when the first copy is read and hosts are complete.

Small fleets on slow links, whose window is less than twice the time of a copy
on a host's link. There are two cases: the origin stays available, or it fails
after the version was announced, once it could have sent 1 1/3 copies.
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
    inventory_interval_us=80_000,
    slots=3,
    regions=3,
    domains=1,
)
"""Chunks of 32 KiB on 3.8 Mbit/s, four fifths of it for sending, and an origin
of 9.9 Mbit/s: in such a fleet the window of 8 s is 1.8 times a copy's time."""

MANIFEST_DELAY_US = (150_000, 350_000)
"""From a version's publication until a host has its manifest, as seen in runs of
fleets."""

ORIGIN_FAILS_US = 2_500_000
DEFAULT_CHANGES: dict[str, Any] = {
    'starved_s': 0.6,
    'origin_wait_s': 0.5,
    'reads_at_once': 3,
}
VARIANTS: dict[str, dict[str, Any]] = {
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
"""Rules for who reads first from the origin, and for further reads from it; a
fleet uses the last. Two concurrent reads get the first copy out of the origin
earlier, but hosts are complete later, as they displace reads from other
hosts."""


def run(show: Show) -> None:
    """Print the mean times of each variant over its seeds."""
    for name, changes in VARIANTS.items():
        fleets = [_play(seed, changes) for seed in SEEDS]
        prefix = f'window.{name}'
        show(f'{prefix}.out_s', fmean(each.out_s for each in fleets))
        show(f'{prefix}.out_most_s', max(each.out_s for each in fleets))
        for part, at in (('first', 0), ('half', HOSTS // 2), ('last', -1)):
            held = fmean(each.completion_times()[at] for each in fleets)
            show(f'{prefix}.{part}_s', held)
        parts = [each.parts_s for each in fleets]
        show(f'{prefix}.parts_s', fmean(parts))
        show(f'{prefix}.copies', fmean(each.origin_copies for each in fleets))
        failed = [_play(seed, changes, origin_fails=True) for seed in SEEDS]
        out = sum(each.out_s < ORIGIN_FAILS_US / MICROS for each in failed)
        show(f'{prefix}.out_before_it_left', out / len(failed))


class WindowFleet(Fleet):
    """A fleet that records when its hosts together hold every chunk."""

    def __init__(self, scene: Scene) -> None:
        super().__init__(scene)
        self.out_s = float('inf')
        self.parts_s = float('inf')

    def completion_times(self) -> list[float]:
        """Return the times at which hosts were complete, sorted, in seconds."""
        now = self.clock.now
        return sorted(
            (host.done_at or now) / MICROS for host in self.hosts.values()
        )

    def pause_until(self, host: Host, until_us: int) -> None:
        """Pause a host until it has the manifest."""
        host.frozen = True
        self.clock.at(until_us, partial(setattr, host, 'frozen', False))

    def prefer_layer_ranges(self) -> None:
        """Make each host prefer the chunks of its layer range."""
        parts = assign_layer_ranges(self.manifest.version, self.places)
        count = layer_range_count(len(parts))
        for name, host in self.hosts.items():
            layers = layers_of_range(parts[name], count, LAYERS)
            host.transfer.preferred = chunks_of_layers(
                layers, layers=LAYERS, chunks=self.scene.chunks
            )

    def _hold_layer_ranges(self) -> bool:
        """Return whether every host holds its own layer range."""
        ready = [
            host.place.region
            for host in self.hosts.values()
            if not host.transfer.preferred & ~host.transfer.held
        ]
        return len(ready) == len(self.hosts)

    def stop_origin(self) -> None:
        """Stop the origin."""
        self.origin_up = False

    def record_progress(self) -> None:
        """Record when all chunks and layer ranges are held; check repeatedly."""
        if self.parts_s == float('inf') and self._hold_layer_ranges():
            self.parts_s = self.clock.now_s
        held = 0
        for host in self.hosts.values():
            held |= host.transfer.held
        if held == full(self.scene.chunks):
            self.out_s = min(self.out_s, self.clock.now_s)
        if self.waiting():
            self.clock.at(
                self.clock.now + self.scene.links.tick_us, self.record_progress
            )


def _play(
    seed: int, changes: dict[str, Any], *, origin_fails: bool = False
) -> WindowFleet:
    changes = dict(changes)
    parts = changes.pop('parts', False)
    fleet = WindowFleet(
        Scene(
            hosts=HOSTS,
            chunks=CHUNKS,
            seed=seed,
            changes={**DEFAULT_CHANGES, **changes},
            links=LINKS,
        ),
    )
    if parts:
        fleet.prefer_layer_ranges()
    rng = random.Random(seed)
    for host in fleet.hosts.values():
        fleet.pause_until(host, rng.randint(*MANIFEST_DELAY_US))
    fleet.record_progress()
    if origin_fails:
        fleet.clock.at(ORIGIN_FAILS_US, fleet.stop_origin)
    fleet.run(until_us=12 * MICROS)
    return fleet
