"""The entries of the fleet, known by their status messages."""

from __future__ import annotations

import math
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
"""A process without a status for this long is dropped."""

BUDGET_RETENTION_S = 300.0
"""Time for which a process without a status counts for the shared budgets. It
may be cut off and still send requests; the arrivals of a dead one count on."""

MAX_PROOF_DELAY_S = 0.6
PROOF_DELAY_WEIGHT = 0.1
"""The delay that proofs show is added to the timeout, up to a limit: if all
processes read late, a live one would look dead otherwise."""

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
    heard_at: float

    @property
    def known_at(self) -> float:
        return max(self.last_seen_at, self.heard_at)


@define
class Roster:
    """Entries known to this process, directly or through others.

    No list of the fleet's own processes exists: they discover each other
    through a few seeds and forward each other's statuses. A status carries its
    age, so that the status of a dead process expires everywhere, however often
    it is forwarded.

    What a peer says of others counts from a time at which its message is
    proved to have been sent at the earliest, see `Exchanges`. If it counted
    from when the message was read, each late reader would make a dead process
    younger for all others.

    Attributes
    ----------
    has_met_others
        Whether another entry has ever been known.
    """

    own: MemberStatus
    has_met_others: bool = field(default=False, init=False)
    _proof_delay_s: float = field(default=0, init=False)
    _others: dict[str, _StatusRecord] = field(factory=dict)
    _shared_at: dict[str, float] = field(factory=dict, init=False)

    def on_heard(
        self, status: MemberStatus, *, as_of: float | None, now: float
    ) -> bool:
        """Apply a process's own status; return whether it was unknown.

        Parameters
        ----------
        as_of
            A time at or before the one at which the status was sent. With
            None, the process is known, and live only once this is proved.
        """
        record = self._others.get(status.ip)
        if record is None or record.status.incarnation != status.incarnation:
            age_s = RETENTION_S if as_of is None else now - as_of
            is_new = self.on_status(status, age_s, now=now)
            record = self._others.get(status.ip)
            if record is not None and record.status is status:
                record.heard_at = now
            return is_new
        record.status = _merged(status, record.status)
        record.heard_at = now
        if as_of is not None:
            record.last_seen_at = max(record.last_seen_at, min(as_of, now))
            delay_s = min(max(now - as_of, 0), MAX_PROOF_DELAY_S)
            change_s = delay_s - self._proof_delay_s
            self._proof_delay_s += change_s * PROOF_DELAY_WEIGHT
        return False

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
        heard_at = -math.inf
        if known is not None and known.status.incarnation == status.incarnation:
            status = _merged(status, known.status)
            heard_at = known.heard_at
        self._others[status.ip] = _StatusRecord(status, last_seen_at, heard_at)
        self.has_met_others = True
        return known is None

    def on_last_seen(
        self, last_seen: LastSeen, *, now: float, as_of: float | None
    ) -> bool:
        """Apply a last-seen entry; return whether to request the full status.

        The status is unknown here if the entry is new or has restarted.

        Parameters
        ----------
        as_of
            A time at or before the one at which the entry was sent. With None
            it shows only that there may be such a process.
        """
        if last_seen.ip == self.own.ip and self.own.role == 'entry':
            return False
        age_s = max(last_seen.age_ms, 0) / _MS
        last_seen_at = (now if as_of is None else min(as_of, now)) - age_s
        known = self._others.get(last_seen.ip)
        if (
            known is None
            or incarnation_hash(known.status) != last_seen.incarnation_hash
        ):
            is_later = known is None or last_seen_at > known.last_seen_at
            return is_later and now - last_seen_at <= self._liveness_timeout_s
        if as_of is not None and last_seen_at > known.last_seen_at:
            status = replace(
                known.status, ready=last_seen.ready, leaving=last_seen.leaving
            )
            known.status = _merged(status, known.status)
            known.last_seen_at = last_seen_at
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
            if now - record.known_at <= RETENTION_S
        }
        return [record.status for record in self._others.values()]

    def knows(self, ip: str, *, now: float) -> bool:
        """Return whether a host is another entry that hasn't expired."""
        return any(status.ip == ip for status in self.known(now=now))

    def budget_share(self, *, now: float) -> float:
        """Return this entry's share of the budget of all entries.

        Entries that were known within `BUDGET_RETENTION_S` count as well.
        """
        return 1 / (self.budget_sharers(now=now) + 1)

    def budget_sharers(self, *, now: float) -> int:
        """Return the number of other entries that share budgets with it."""
        for ip, record in self._others.items():
            self._shared_at[ip] = record.known_at
        if len(self._shared_at) > len(self._others):
            self._shared_at = {
                sharer: at
                for sharer, at in self._shared_at.items()
                if now - at <= BUDGET_RETENTION_S
            }
        return len(self._shared_at)

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
        hops_s = HOP_DELAY_S * hops(len(self._others))
        return LIVENESS_TIMEOUT_S + hops_s + self._proof_delay_s

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
        age_ms=math.ceil(max(now - record.last_seen_at, 0) * _MS),
        ready=status.ready,
        leaving=status.leaving,
    )


def _merged(status: MemberStatus, known: MemberStatus) -> MemberStatus:
    """Return a status of an incarnation that leaves once it has said so.

    Messages may overtake each other, and no incarnation stays after all.
    """
    if known.leaving and not status.leaving:
        return replace(status, ready=False, leaving=True)
    return status


def _supersedes(
    status: MemberStatus, last_seen_at: float, known: _StatusRecord
) -> bool:
    if status.incarnation != known.status.incarnation:
        return status.started_at > known.status.started_at
    return last_seen_at > known.last_seen_at
