"""Reads from the origin by a host whose turn it isn't. Pure but for a mark.

The turns at the origin keep its bytes near one copy. Two things go wrong with
turns alone. The one whose turn it is reads its last chunk slowly, over a link
that other chunks share, and the origin leaves before it has it: seen as a
version that every host lacks by one chunk for six seconds, of a window of
eight. And one that has spent its share, or believes that it is another's
turn, never reads it at all.
"""

from __future__ import annotations

from functools import reduce
from operator import or_
from typing import TYPE_CHECKING

from attrs import define, frozen

from crowrudder_core.transfer._chunk_sets import full, pick, rarest
from crowrudder_core.transfer._planner import FromOrigin, OriginReason

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from crowrudder_core.transfer._pacing import Pace
    from crowrudder_core.transfer._planner import Source


LONG_WAITS = 2
"""Waits after which a host reads what others are to read first."""


@frozen(kw_only=True)
class Holdings:
    """What a host sees of a version: its own chunks and those of others.

    ``held`` are chunks (bits) that it holds, ``missing`` those that it neither
    holds nor reads, ``own`` those for which it is the first reader of the
    origin that takes part; ``lacking`` counts the other hosts that said that
    they want the version and lack some of it, ``readers`` those that may ask
    the origin.
    """

    count: int
    held: int
    missing: int
    own: int
    sources: Sequence[Source]
    lacking: int
    readers: int

    @property
    def at_origin_only(self) -> int:
        """Chunks that no host is known to hold."""
        known = reduce(or_, (each.chunks for each in self.sources), self.held)
        return full(self.count) & ~known

    @property
    def lacks_uplinks(self) -> bool:
        """Whether fewer hosts hold the version than still read it.

        Those who hold it feed as many others over their links; a host that
        comes alone gets nothing sooner from the origin. One whose word is on
        its way, or never comes, is counted on neither side.
        """
        whole = sum(
            bool(each.host) and each.chunks == full(self.count)
            for each in self.sources
        )
        return whole < self.lacking + 1


@define
class OutOfTurn:
    """Decides on reads out of turn; remembers when a read was last under way."""

    _fed_at: float | None = None

    def on_fed(self, now: float) -> None:
        """Note that chunks are on their way."""
        self._fed_at = now

    def next_read(
        self,
        seen: Holdings,
        pace: Pace,
        random: Random,
        *,
        now: float,
        may_help: bool,
    ) -> FromOrigin | None:
        """Give a chunk to read now, if any.

        Parameters
        ----------
        may_help
            Whether this host reads nothing else at the origin, and has some
            of its share left.
        """
        if self._fed_at is None:
            self._fed_at = now
        if may_help:
            read = self._helping(seen, pace, random)
            if read is not None:
                return read
        return self._starved(seen, pace, random, now)

    def _helping(
        self, seen: Holdings, pace: Pace, random: Random
    ) -> FromOrigin | None:
        """Give a chunk to read beside those from other hosts.

        A gap that is left of the first copy goes first; once all is out, the
        rarest chunk, as long as the hosts' links carry too little.
        """
        gaps = seen.at_origin_only
        if gaps:
            few = gaps.bit_count() <= pace.gap_share * seen.readers
            wanted = seen.missing & seen.own & gaps if few else 0
            return _read(wanted, random, OriginReason.GAP)
        if not (pace.spare_origin and seen.missing and seen.lacks_uplinks):
            return None
        held = [each.chunks for each in seen.sources]
        wanted = rarest(seen.missing, held)
        return _read(wanted, random, OriginReason.SPARE)

    def _starved(
        self, seen: Holdings, pace: Pace, random: Random, now: float
    ) -> FromOrigin | None:
        """Give a chunk that nobody holds, when none comes by turns.

        Each host waits for another time, so that the first to get the chunk
        feeds the others.
        """
        if not pace.starved_s or self._fed_at is None:
            return None
        if now - self._fed_at < pace.starved_s * random.uniform(1, 3):
            return None
        wanted = seen.missing & seen.at_origin_only
        if now - self._fed_at < LONG_WAITS * pace.starved_s:
            wanted &= seen.own
        if not wanted:
            return None
        self._fed_at = now
        return _read(wanted, random, OriginReason.STARVED)


def _read(
    wanted: int, random: Random, reason: OriginReason
) -> FromOrigin | None:
    return FromOrigin(pick(wanted, random), reason) if wanted else None
