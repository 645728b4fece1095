"""A version whose origin leaves before the first copy is out, and returns.

Hosts on slow links tell what they hold to a few others at a time. What is cut
off as the origin leaves counts as sent, and is lost.
"""

from __future__ import annotations

import random
from functools import partial
from statistics import fmean
from typing import TYPE_CHECKING, Any

from _weights_fleet import Host, Links, Scene
from _weights_links import MICROS
from weights_window import NOTICE_US, _Window

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
    news_us=80_000,
    slots=3,
    regions=3,
    domains=1,
)
"""Chunks of 32 KiB on 3.8 Mbit/s, an origin of 5.9 Mbit/s: a copy takes 4.4 s
on a host's link, and 2.8 s to leave the origin."""

LEAVES_S = 2.5
RETURNS_S = 8.5
WINDOW_S = 10.3
"""Time after which nothing may begin on the version before."""

TELL_US = 2000


class Returns(_Window):
    """A fleet whose origin goes away for a while."""

    def leave(self) -> None:
        """Cut all reads of the origin off."""
        self.origin_up = False
        self.origin.drop_all()
        for host in self.hosts.values():
            for read in list(host.transfer.in_flight):
                if isinstance(read, FromOrigin):
                    self._failed(host, read)

    def come_back(self) -> None:
        """Let the origin answer again."""
        self.origin_up = True

    def _tell(self, host: Host) -> None:
        """Let a host tell as many others as an agent does."""
        if not host.frozen:
            stock = host.stock()
            for other in self._told_by(host):
                self._after(TELL_US, partial(self._heard, other, stock))
        next_at = self.clock.now + self.scene.links.news_us
        self.clock.at(next_at, partial(self._tell, host))

    def _told_by(self, host: Host) -> list[Host]:
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

    def _arrive(
        self,
        host: Host,
        read: Read,
        began: int,
        way: int,
        stock: PeerInventory | None,
    ) -> None:
        is_cut = isinstance(read, FromOrigin) and not self.origin_up
        if not is_cut:
            super()._arrive(host, read, began, way, stock)


def play(seed: int, hosts: int, **changes: Any) -> Returns:
    """Spread a version whose origin goes away and returns."""
    scene = Scene(
        hosts=hosts,
        chunks=64,
        seed=seed,
        changes={**TRANSFER_PACING, **changes},
        links=LINKS,
    )
    fleet = Returns(scene)
    fleet.want_parts()
    rng = random.Random(seed)
    for host in fleet.hosts.values():
        fleet.hold_back(host, rng.randint(*NOTICE_US))
    fleet.look()
    fleet.clock.at(int(LEAVES_S * MICROS), fleet.leave)
    fleet.clock.at(int(RETURNS_S * MICROS), fleet.come_back)
    fleet.run(until_us=25 * MICROS)
    return fleet


def run(show: Show) -> None:
    """Show the times by the number of hosts, the mean of the seeds."""
    for hosts in SIZES:
        fleets = [play(seed, hosts) for seed in SEEDS]
        start = f'returns.{hosts}'
        show(f'{start}.out_s', fmean(each.out_s for each in fleets))
        for part, at in (('first', 0), ('half', hosts // 2), ('last', -1)):
            held = fmean(each.held_at()[at] for each in fleets)
            show(f'{start}.{part}_s', held)
        show(f'{start}.copies', fmean(each.origin_copies for each in fleets))
