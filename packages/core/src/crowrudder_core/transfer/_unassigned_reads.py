"""Reads from the origin by a host that is not the assigned reader.

Assigned readers keep the origin's traffic close to one copy, but assignments
alone can leave a chunk unread in two ways. The assigned reader reads its last
chunk slowly, over a link shared with other chunks, and the origin becomes
unreachable before the read ends; in one case all hosts lacked one chunk for
six seconds of an eight-second window. Or the assigned reader has spent its
share, or believes that another host is assigned, and never reads the chunk.
"""

from __future__ import annotations

from functools import reduce
from operator import or_
from typing import TYPE_CHECKING

from attrs import define, frozen

from crowrudder_core.transfer._chunk_sets import full, pick_random, rarest
from crowrudder_core.transfer._planner import FromOrigin, OriginReason

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from crowrudder_core.transfer._pacing import PacingConfig
    from crowrudder_core.transfer._planner import Source


LONG_WAIT_PERIODS = 2
"""Multiple of ``starved_s`` after which a host also reads chunks for which it
is not the first reader."""


@frozen(kw_only=True)
class ChunkAvailability:
    """Chunks of a version that this host and its peers hold, as far as known.

    ``held`` chunks (bits) are held by this host, ``missing`` ones neither held
    nor in flight; for ``primary`` ones this host is the first participating
    reader of the origin. ``incomplete_hosts`` counts the peers that reported
    that they want the version and lack some of it, ``readers`` the hosts that
    may read from the origin.
    """

    count: int
    held: int
    missing: int
    primary: int
    sources: Sequence[Source]
    incomplete_hosts: int
    readers: int

    @property
    def at_origin_only(self) -> int:
        """Chunks (bits) that no host is known to hold."""
        known = reduce(or_, (each.chunks for each in self.sources), self.held)
        return full(self.count) & ~known

    @property
    def needs_uplinks(self) -> bool:
        """Whether hosts with the complete version are in the minority.

        Each complete host can supply one other host over its uplink, so a
        single host that joins gains nothing from the origin. Hosts that have
        not reported their inventory are counted on neither side.
        """
        complete = sum(
            bool(each.host) and each.chunks == full(self.count)
            for each in self.sources
        )
        return complete < self.incomplete_hosts + 1


@define
class UnassignedReads:
    """Plans unassigned reads; records when a read was last in flight."""

    _last_active_at: float | None = None

    def on_active(self, now: float) -> None:
        """Record that reads are in flight."""
        self._last_active_at = now

    def next_read(
        self,
        availability: ChunkAvailability,
        pace: PacingConfig,
        random: Random,
        *,
        now: float,
        has_origin_capacity: bool,
    ) -> FromOrigin | None:
        """Return a read to start now, if any.

        Parameters
        ----------
        has_origin_capacity
            Whether this host has no read in flight at the origin and some of
            its share left.
        """
        if self._last_active_at is None:
            self._last_active_at = now
        if has_origin_capacity:
            read = self._extra_read(availability, pace, random)
            if read is not None:
                return read
        return self._starved_read(availability, pace, random, now)

    def _extra_read(
        self,
        availability: ChunkAvailability,
        pace: PacingConfig,
        random: Random,
    ) -> FromOrigin | None:
        """Return a read from the origin in addition to those from peers.

        Chunks that only the origin holds come first. Once there are none, the
        rarest chunk is read, as long as the hosts' uplinks are the bottleneck.
        """
        gaps = availability.at_origin_only
        if gaps:
            few_gaps = gaps.bit_count() <= pace.gap_share * availability.readers
            wanted = (
                availability.missing & availability.primary & gaps
                if few_gaps
                else 0
            )
            return _origin_read(wanted, random, OriginReason.GAP)
        if not (
            pace.spare_origin
            and availability.missing
            and availability.needs_uplinks
        ):
            return None
        held = [each.chunks for each in availability.sources]
        wanted = rarest(availability.missing, held)
        return _origin_read(wanted, random, OriginReason.SPARE)

    def _starved_read(
        self,
        availability: ChunkAvailability,
        pace: PacingConfig,
        random: Random,
        now: float,
    ) -> FromOrigin | None:
        """Return a read of a chunk that no host holds, if starved.

        The wait is randomized, so that the first host to receive the chunk
        supplies it to the others.
        """
        if not pace.starved_s or self._last_active_at is None:
            return None
        if now - self._last_active_at < pace.starved_s * random.uniform(1, 3):
            return None
        wanted = availability.missing & availability.at_origin_only
        if now - self._last_active_at < LONG_WAIT_PERIODS * pace.starved_s:
            wanted &= availability.primary
        if not wanted:
            return None
        self._last_active_at = now
        return _origin_read(wanted, random, OriginReason.STARVED)


def _origin_read(
    wanted: int, random: Random, reason: OriginReason
) -> FromOrigin | None:
    return FromOrigin(pick_random(wanted, random), reason) if wanted else None
