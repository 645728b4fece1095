"""A version whose origin fails before the first copy is read, and recovers.

Hosts on slow links send their inventories to a few others at a time. Chunks in
flight when the origin fails count as sent, but are lost.
"""

from __future__ import annotations

import random
from functools import partial
from statistics import fmean
from typing import TYPE_CHECKING, Any

from _weights_fleet import Host, Links, Scene
from _weights_links import MICROS
from weights_window import MANIFEST_DELAY_US, WindowFleet

from crowrudder_core.membership import sample_ips
from crowrudder_core.transfer import FromOrigin
from crowrudder_daemon.fleet_agent._library import (
    MAX_NEIGHBOURS,
    MAX_REMOTE_NEIGHBOURS,
    TRANSFER_PACING,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from crowrudder_core.transfer import PeerInventory, Read

    Show = Callable[[str, float | str], None]

SEEDS = range(6)
SIZES = (9, 15, 27, 46)
LINKS = Links(
    chunk_us=69_000,
    sent_us=86_000,
    origin_us=44_000,
    tick_us=50_000,
    inventory_interval_us=80_000,
    slots=3,
    regions=3,
    domains=1,
)
"""Chunks of 32 KiB on 3.8 Mbit/s, an origin of 5.9 Mbit/s: a copy takes 4.4 s
on a host's link, and 2.8 s on the origin's."""

ORIGIN_FAILS_S = 2.5
ORIGIN_RECOVERS_S = 8.5
WINDOW_S = 10.3
"""Time after which no request may start on the previous version."""

INVENTORY_DELAY_US = 2000


class OriginOutageFleet(WindowFleet):
    """A fleet whose origin fails and recovers."""

    def stop_origin(self) -> None:
        """Stop the origin and fail all reads in flight from it."""
        self.origin_up = False
        self.origin.drop_all()
        for host in self.hosts.values():
            for read in list(host.transfer.in_flight):
                if isinstance(read, FromOrigin):
                    self._on_failed(host, read)

    def restart_origin(self) -> None:
        """Make the origin answer again."""
        self.origin_up = True

    def _send_inventory(self, host: Host) -> None:
        """Send a host's inventory to as many peers as an agent does."""
        if not host.frozen:
            inventory = host.inventory()
            for other in self._receivers_of(host):
                self._after(
                    INVENTORY_DELAY_US,
                    partial(self._on_inventory, other, inventory),
                )
        next_at = self.clock.now + self.scene.links.inventory_interval_us
        self.clock.at(next_at, partial(self._send_inventory, host))

    def _receivers_of(self, host: Host) -> list[Host]:
        others = [each for each in self.hosts.values() if each is not host]
        region = host.place.region
        near = [each.name for each in others if each.place.region == region]
        far = [each.name for each in others if each.place.region != region]
        chosen = sample_ips(
            near, MAX_NEIGHBOURS - MAX_REMOTE_NEIGHBOURS, self.random
        )
        chosen = chosen + sample_ips(
            far, MAX_NEIGHBOURS - len(chosen), self.random
        )
        return [self.hosts[name] for name in chosen]

    def _schedule_arrival(
        self,
        host: Host,
        read: Read,
        began: int,
        latency_us: int,
        inventory: PeerInventory | None,
    ) -> None:
        is_aborted = isinstance(read, FromOrigin) and not self.origin_up
        if not is_aborted:
            super()._schedule_arrival(host, read, began, latency_us, inventory)


def play(seed: int, hosts: int, **changes: Any) -> OriginOutageFleet:
    """Distribute a version whose origin fails and recovers."""
    scene = Scene(
        hosts=hosts,
        chunks=64,
        seed=seed,
        changes={**TRANSFER_PACING, **changes},
        links=LINKS,
    )
    fleet = OriginOutageFleet(scene)
    fleet.prefer_layer_ranges()
    rng = random.Random(seed)
    for host in fleet.hosts.values():
        fleet.pause_until(host, rng.randint(*MANIFEST_DELAY_US))
    fleet.record_progress()
    fleet.clock.at(int(ORIGIN_FAILS_S * MICROS), fleet.stop_origin)
    fleet.clock.at(int(ORIGIN_RECOVERS_S * MICROS), fleet.restart_origin)
    fleet.run(until_us=25 * MICROS)
    return fleet


def run(show: Show) -> None:
    """Print the mean times over the seeds for each number of hosts."""
    for hosts in SIZES:
        fleets = [play(seed, hosts) for seed in SEEDS]
        prefix = f'returns.{hosts}'
        show(f'{prefix}.out_s', fmean(each.out_s for each in fleets))
        for part, at in (('first', 0), ('half', hosts // 2), ('last', -1)):
            held = fmean(each.completion_times()[at] for each in fleets)
            show(f'{prefix}.{part}_s', held)
        show(f'{prefix}.copies', fmean(each.origin_copies for each in fleets))
