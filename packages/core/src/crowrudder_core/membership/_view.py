"""The published member list combined with status updates of processes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from attrs import define, field, frozen

from crowrudder_core.membership._list import MemberList
from crowrudder_model.messages import ProcessStatus

if TYPE_CHECKING:
    from crowrudder_core.membership._list import Members
    from crowrudder_core.membership._own_status import OwnStatus
    from crowrudder_model import Member

FAILURES_TO_SUSPECT = 2
"""Consecutive failed calls after which a peer is suspected."""

MAX_STATUSES = 4096
MAX_SENDS_PER_STATUS = 30
"""How often a process forwards a status; sufficient for thousands of hosts."""

MAX_STATUSES_PER_MESSAGE = 8
_SEVERITY = {'live': 0, 'suspect': 1, 'leaving': 2}


@frozen(kw_only=True)
class UpdateResult:
    """Effect of a status update on the view.

    ``has_changed`` is set if the view changed, ``is_urgent`` if others are to
    be notified at once: a leaving process must get no new work. Suspicions
    wait for the next exchange, because a broken link causes hundreds of them.
    """

    has_changed: bool = False
    is_urgent: bool = False


@define
class _StatusRecord:
    status: ProcessStatus
    send_count: int = 0


@define
class MembershipView:
    """Members of the fleet and their states, as known to this process.

    The published list defines the members; a host that isn't in it gets no
    work. A process's own status, streams and failed calls show sooner that a
    member leaves or may be dead. A suspicion names the incarnation and the
    sequence number that it refers to, so that the next status of the process
    itself ends it.
    """

    own: OwnStatus
    published: MemberList = field(factory=MemberList)
    _records: dict[str, _StatusRecord] = field(factory=dict)
    _failure_counts: dict[str, int] = field(factory=dict)

    def members(self) -> Members:
        """Return the members, with leaving ones marked as such."""
        return tuple(
            self._with_current_state(each) for each in self.published.members
        )

    def suspects(self) -> frozenset[str]:
        """Return the hosts that may be dead; others are preferred."""
        return frozenset(
            host
            for host, record in self._records.items()
            if record.status.state == 'suspect'
        )

    def on_list(self) -> bool:
        """Apply a new list to the own status; return whether that changed."""
        own = next(
            (
                member.rpc_address
                for member in self.published.members
                if member.host == self.own.host
            ),
            '',
        )
        return self.own.on_address_listed(own)

    def on_update(self, status: ProcessStatus) -> UpdateResult:
        """Apply a status of this process or of a peer."""
        if status.host == self.own.host:
            before = self.own.state
            changed = self.own.on_status_received(status)
            return UpdateResult(
                has_changed=changed, is_urgent=before != self.own.state
            )
        known = self._records.get(status.host)
        if known is not None and not _supersedes(status, known.status):
            return UpdateResult()
        states = {known.status.state if known else 'live', status.state}
        self._record(status)
        return UpdateResult(
            has_changed=len(states) > 1,
            is_urgent=len(states) > 1 and 'leaving' in states,
        )

    def on_call_answered(self, host: str) -> None:
        """Record that a host answered a call of this process."""
        self._failure_counts.pop(host, None)

    def on_call_failed(self, host: str) -> UpdateResult:
        """Record a failed call; consecutive failures raise a suspicion."""
        failures = self._failure_counts.get(host, 0) + 1
        self._failure_counts[host] = failures
        known = self._records.get(host)
        if failures < FAILURES_TO_SUSPECT or (
            known and known.status.state != 'live'
        ):
            return UpdateResult()
        known_status = known.status if known else None
        self._record(
            ProcessStatus(
                host=host,
                incarnation=known_status.incarnation if known_status else '',
                beat=known_status.beat if known_status else 0,
                state='suspect',
            )
        )
        return UpdateResult(has_changed=True)

    def updates_for(self, peer: str) -> tuple[ProcessStatus, ...]:
        """Return the statuses for a message to a peer, and count them as sent.

        A suspicion or leaving state of the peer itself is always included, so
        that the peer can refute it. The others are sent in order of how rarely
        they were sent, a bounded number of times each, so that the size of
        messages doesn't depend on the size of the fleet.
        """
        about_peer = self._records.get(peer)
        chosen = (
            [about_peer]
            if about_peer and about_peer.status.state != 'live'
            else []
        )
        for pending in self._least_sent(
            MAX_STATUSES_PER_MESSAGE - len(chosen), about_peer
        ):
            pending.send_count += 1
            chosen.append(pending)
        return tuple(record.status for record in chosen)

    def _least_sent(
        self, count: int, about_peer: _StatusRecord | None
    ) -> list[_StatusRecord]:
        pending = (
            record
            for record in self._records.values()
            if record.send_count < MAX_SENDS_PER_STATUS
            and record is not about_peer
        )
        return sorted(pending, key=lambda record: record.send_count)[:count]

    def _record(self, status: ProcessStatus) -> None:
        self._records.pop(status.host, None)
        self._records[status.host] = _StatusRecord(status)
        if len(self._records) > MAX_STATUSES:
            self._evict()

    def _evict(self) -> None:
        """Drop the oldest status, of unlisted hosts first."""
        listed = {member.host for member in self.published.members}
        unlisted = (host for host in self._records if host not in listed)
        del self._records[next(unlisted, next(iter(self._records)))]

    def _with_current_state(self, member: Member) -> Member:
        if member.host == self.own.host:
            is_leaving = self.own.state == 'leaving'
        else:
            record = self._records.get(member.host)
            is_leaving = record is not None and record.status.state == 'leaving'
        if not is_leaving or member.state == 'leaving':
            return member
        return attrs.evolve(member, state='leaving')


def _supersedes(status: ProcessStatus, known: ProcessStatus) -> bool:
    """Return whether a status is newer, or more severe with an equal number."""
    if status.beat != known.beat:
        return status.beat > known.beat
    return _SEVERITY[status.state] > _SEVERITY[known.state]
