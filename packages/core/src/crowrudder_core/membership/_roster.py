"""The entries of the fleet, known by their status messages."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field
from msgspec.structs import replace

from crowrudder_core.membership._partners import hops
from crowrudder_model.messages import (
    ForwardedStatus,
    LastSeen,
    MemberStatus,
    incarnation_hash,
)

if TYPE_CHECKING:
    from random import Random

LIVENESS_TIMEOUT_S = 1.6
"""A process without a status for this long isn't offered to callers any more.

Heartbeats are sent every 0.4 s; three may be lost, as happens to datagrams on
a full link.
"""

HOP_DELAY_S = 0.8
"""Added to the timeout for each extra hop in a fleet too large to send to
every entry: two heartbeats, because the next partner is sampled at random."""

RETENTION_S = 12.0
"""A process without a status for this long is dropped.

This covers the window of the retry budget (10 s), in which the arrivals of a
dead process still count.
"""

MAX_FORWARDED = 8
"""Statuses of others in one heartbeat, which must fit into one datagram."""

MAX_LAST_SEEN = 48
"""Last-seen entries in one heartbeat; each takes about 24 bytes."""

MAX_ENTRIES = 2048
"""Other entries that are kept; a fleet has a few hundred. Without a bound, one
faulty process could name new ones without end."""

_MS = 1000


@define
class _StatusRecord:
    status: MemberStatus
    last_seen_at: float


@define
class Roster:
    """Entries known to this process, directly or through others.

    No list of the fleet's own processes exists: they discover each other
    through a few seeds and forward each other's statuses. A status carries its
    age, so that the status of a dead process expires everywhere, however often
    it is forwarded.

    Attributes
    ----------
    has_met_others
        Whether another entry has ever been known.
    """

    own: MemberStatus
    has_met_others: bool = field(default=False, init=False)
    _others: dict[str, _StatusRecord] = field(factory=dict)

    def on_status(
        self, status: MemberStatus, age_s: float, *, now: float
    ) -> bool:
        """Apply a status; return whether the process was unknown."""
        if status.ip == self.own.ip and status.role == self.own.role:
            return False
        if status.role != 'entry' or age_s > RETENTION_S:
            return False
        last_seen_at = now - max(age_s, 0)
        known = self._others.get(status.ip)
        if known is not None and not _supersedes(status, last_seen_at, known):
            return False
        if known is None and len(self._others) >= MAX_ENTRIES:
            # Those that have expired make room at the next heartbeat.
            return False
        self._others[status.ip] = _StatusRecord(status, last_seen_at)
        self.has_met_others = True
        return known is None

    def on_last_seen(self, last_seen: LastSeen, *, now: float) -> bool:
        """Apply a last-seen entry; return whether to request the full status.

        The status is unknown here if the entry is new or has restarted.
        """
        if last_seen.ip == self.own.ip and self.own.role == 'entry':
            return False
        last_seen_at = now - max(last_seen.age_ms, 0) / _MS
        known = self._others.get(last_seen.ip)
        if (
            known is None
            or incarnation_hash(known.status) != last_seen.incarnation_hash
        ):
            is_later = known is None or last_seen_at > known.last_seen_at
            return is_later and now - last_seen_at <= self._liveness_timeout_s
        if last_seen_at > known.last_seen_at:
            status = replace(
                known.status, ready=last_seen.ready, leaving=last_seen.leaving
            )
            self._others[last_seen.ip] = _StatusRecord(status, last_seen_at)
        return False

    def last_seen_entries(
        self, random: Random, *, now: float, region: str | None = None
    ) -> tuple[LastSeen, ...]:
        """Return a random sample of last-seen entries of live processes.

        ``region`` restricts it to the processes of a region.
        """
        live = [
            record
            for record in self._live(now)
            if region is None or record.status.region == region
        ]
        sampled = random.sample(live, min(len(live), MAX_LAST_SEEN))
        return tuple(_last_seen_entry(record, now) for record in sampled)

    def entries(self, *, now: float) -> list[MemberStatus]:
        """Return the live entries, including the own process."""
        live = [record.status for record in self._live(now)]
        return [self.own, *live] if self.own.role == 'entry' else live

    def known(self, *, now: float) -> list[MemberStatus]:
        """Return all other entries that haven't expired, live or not."""
        self._others = {
            ip: record
            for ip, record in self._others.items()
            if now - record.last_seen_at <= RETENTION_S
        }
        return [record.status for record in self._others.values()]

    def knows(self, ip: str, *, now: float) -> bool:
        """Return whether a host is another entry that hasn't expired."""
        return any(status.ip == ip for status in self.known(now=now))

    def budget_share(self, *, now: float) -> float:
        """Return this entry's share of the budget of all entries.

        Entries that died recently count as well, because their requests are
        still in the window.
        """
        return 1 / (len(self.known(now=now)) + 1)

    def statuses_to_forward(
        self, random: Random, *, now: float
    ) -> tuple[ForwardedStatus, ...]:
        """Return a random sample of live statuses for a heartbeat."""
        live = self._live(now)
        sampled = random.sample(live, min(len(live), MAX_FORWARDED))
        return tuple(
            ForwardedStatus(record.status, now - record.last_seen_at)
            for record in sampled
        )

    @property
    def _liveness_timeout_s(self) -> float:
        return LIVENESS_TIMEOUT_S + HOP_DELAY_S * hops(len(self._others))

    def _live(self, now: float) -> list[_StatusRecord]:
        timeout_s = self._liveness_timeout_s
        return [
            record
            for record in self._others.values()
            if now - record.last_seen_at <= timeout_s
        ]

    def set_own(self, *, ready: bool, leaving: bool) -> bool:
        """Set the own status; return whether it changed."""
        before = self.own
        self.own = replace(before, ready=ready, leaving=leaving)
        return self.own != before


def _last_seen_entry(record: _StatusRecord, now: float) -> LastSeen:
    status = record.status
    return LastSeen(
        ip=status.ip,
        incarnation_hash=incarnation_hash(status),
        age_ms=int(max(now - record.last_seen_at, 0) * _MS),
        ready=status.ready,
        leaving=status.leaving,
    )


def _supersedes(
    status: MemberStatus, last_seen_at: float, known: _StatusRecord
) -> bool:
    if status.incarnation != known.status.incarnation:
        return status.started_at > known.status.started_at
    return last_seen_at > known.last_seen_at
