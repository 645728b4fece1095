"""Pass words on the load of a region's engines on to other regions."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field, frozen
from msgspec.structs import replace

from crowrudder_core.membership import relays
from crowrudder_daemon._clock import clock_s
from crowrudder_daemon._ticks import sleep_to_tick
from crowrudder_model.messages import EngineLoad, LoadBatch

if TYPE_CHECKING:
    from crowrudder_daemon.fleet import PeersTask
    from crowrudder_model.fleet import Node

EVERY_S = 0.6
"""Between two batches of one relay to a region; there are two relays.

Its entries send here where their own region is full; bytes between regions
are few and paid for. What decides whether they may send at all the agents
tell them at once.
"""

YOUNG_S = 0.6
"""Age up to which a word is passed on: agents repeat theirs every 0.4 s, and
the word of one that died must not be kept alive."""

MOST_LOADS = 24
"""Words in one batch, which must fit into one datagram."""

_MS = 1000


@frozen
class _Word:
    load: EngineLoad
    heard_at: float


@define(eq=False)
class LoadRelay:
    """Tells other regions what the agents of the own one say.

    What goes wrong when each agent tells every entry of every region: its
    words grow with the whole fleet, seen as links between regions that carry
    little else. Two entries of a region, which all work out alike, send its
    words in batches to two of each other region, and these tell their own.
    """

    _node: Node
    _peers: PeersTask
    _words: dict[str, _Word] = field(factory=dict)

    def on_load(self, load: EngineLoad) -> None:
        """Take the word of an agent of the own region."""
        load = replace(load, is_close=False)
        self._words[load.address] = _Word(load, clock_s())

    def pass_on(self, batch: LoadBatch) -> None:
        """Tell the entries of the own region what came from another one."""
        near, _ = self._peers.entry_ips()
        self._peers.tell(
            replace(batch, pass_on=False),
            [ip for ip in near if ip != self._node.ip],
        )

    async def tell_for_ever(self) -> None:
        """Tell the other regions, while it is this entry's part."""
        while True:
            await sleep_to_tick(EVERY_S)
            self._tell()

    def _tell(self) -> None:
        targets = self._targets()
        if not targets:
            return
        now = clock_s()
        words = self._young(now)
        for first in range(0, len(words), MOST_LOADS):
            part = words[first : first + MOST_LOADS]
            self._peers.tell(_batch(part, now), targets)

    def _targets(self) -> list[str]:
        """Give the relays of the other regions; none unless this is one.

        The first of a region tells the first of each other one, and so on:
        each word crosses twice, so that one of the four may be dead.
        """
        words = self._peers.entries()
        region = self._node.place.region
        own = relays(words, region)
        if self._node.ip not in own:
            return []
        rank = own.index(self._node.ip)
        others = {word.region for word in words} - {region}
        found = (relays(words, other) for other in sorted(others))
        return [ips[rank % len(ips)] for ips in found if ips]

    def _young(self, now: float) -> list[_Word]:
        self._words = {
            address: word
            for address, word in self._words.items()
            if now - word.heard_at <= YOUNG_S
        }
        return list(self._words.values())


def _batch(words: list[_Word], now: float) -> LoadBatch:
    return LoadBatch(
        loads=tuple(word.load for word in words),
        ages_ms=tuple(int((now - word.heard_at) * _MS) for word in words),
        pass_on=True,
    )
