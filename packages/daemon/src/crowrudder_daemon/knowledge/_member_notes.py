"""Tell in few words how the members changed, for the audit trail."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from crowrudder_daemon.knowledge._snapshot import Snapshot

MOST_NAMED = 20
"""Hosts that one event names: a failure domain that goes would fill the
trail's memory otherwise."""


@frozen(kw_only=True)
class MemberNote:
    """The changed hosts and their states before and after."""

    subject: str
    before: str
    after: str


def changes_of(before: Snapshot, after: Snapshot) -> MemberNote:
    """Compare the members of two snapshots."""
    old, new = _states(before), _states(after)
    changed = [
        host for host in sorted({*old, *new}) if old.get(host) != new.get(host)
    ]
    named = changed[:MOST_NAMED]
    more = len(changed) - len(named)
    return MemberNote(
        subject=f'{len(new)} members',
        before=_listed(named, old, more),
        after=_listed(named, new, more),
    )


def _states(snapshot: Snapshot) -> dict[str, str]:
    return {
        member.host: (
            'suspect' if member.host in snapshot.suspects else member.state
        )
        for member in snapshot.members
    }


def _listed(hosts: list[str], states: dict[str, str], more: int) -> str:
    texts = [f'{host}:{states.get(host, "absent")}' for host in hosts]
    if more:
        texts.append(f'and {more} more')
    return ' '.join(texts)
