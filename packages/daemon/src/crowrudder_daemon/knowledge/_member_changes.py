"""Summarize changes of the members for the audit log."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from crowrudder_daemon.knowledge._snapshot import Snapshot

MAX_NAMED_HOSTS = 20
"""Hosts that one event lists. Without a limit, the loss of a failure domain
would fill the memory of the audit log."""


@frozen(kw_only=True)
class MemberChanges:
    """The changed hosts with their states before and after."""

    subject: str
    before: str
    after: str


def compare_members(before: Snapshot, after: Snapshot) -> MemberChanges:
    """Compare the members of two snapshots."""
    old, new = _states(before), _states(after)
    changed = [
        host for host in sorted({*old, *new}) if old.get(host) != new.get(host)
    ]
    named = changed[:MAX_NAMED_HOSTS]
    omitted = len(changed) - len(named)
    return MemberChanges(
        subject=f'{len(new)} members',
        before=_format_states(named, old, omitted),
        after=_format_states(named, new, omitted),
    )


def _states(snapshot: Snapshot) -> dict[str, str]:
    return {
        member.host: (
            'suspect' if member.host in snapshot.suspects else member.state
        )
        for member in snapshot.members
    }


def _format_states(
    hosts: list[str], states: dict[str, str], omitted: int
) -> str:
    texts = [f'{host}:{states.get(host, "absent")}' for host in hosts]
    if omitted:
        texts.append(f'and {omitted} more')
    return ' '.join(texts)
