"""Commands on running processes: status, audit and explain."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Mapping
from typing import Any

from attrs import frozen

from crowrudder_client._admin import AdminClient
from crowrudder_client._errors import ClientError, ExitCode, UnreachableError
from crowrudder_client._fleet_state import (
    Answer,
    FleetState,
    MissingStatus,
    evaluate,
    has_bundle,
    newest_digest,
)
from crowrudder_client._output import Outcome
from crowrudder_client._status_text import json_values, render_text
from crowrudder_client._tables import (
    format_mapping,
    format_records,
    format_time,
)
from crowrudder_model._member import Member
from crowrudder_model.declared import Bundle

POLL_INTERVAL_S = 0.5
AUDIT_COLUMNS = (
    'admin',
    'seq',
    'at',
    'kind',
    'teller',
    'subject',
    'before',
    'after',
)


@frozen
class WaitOptions:
    """The bundle that `status` waits for, and the timeout in seconds."""

    digest: str = ''
    timeout_s: float = 0.0


async def status(admins: list[str], wait_options: WaitOptions) -> Outcome:
    """Query every member; poll until the fleet is in the declared state."""
    client = AdminClient()
    deadline = time.monotonic() + wait_options.timeout_s
    try:
        state = await _read_fleet_state(client, admins, wait_options.digest)
        while not state.is_declared and time.monotonic() < deadline:
            await asyncio.sleep(POLL_INTERVAL_S)
            state = await _read_fleet_state(client, admins, wait_options.digest)
    finally:
        client.close()
    return Outcome(
        exit_code=ExitCode.ok if state.is_declared else ExitCode.differs,
        text=render_text(state),
        answer=json_values(state),
    )


async def audit(admins: list[str], after: int) -> Outcome:
    """Read the audit trail of each process."""
    client = AdminClient()
    events: list[dict[str, Any]] = []
    last: dict[str, int] = {}
    notes: list[str] = []
    try:
        for admin in admins:
            try:
                found = await client.audit(admin, after)
            except ClientError as exc:
                notes.append(str(exc))
                continue
            last[admin] = found.last
            events.extend({'admin': admin, **event} for event in found.events)
    finally:
        client.close()
    return Outcome(
        exit_code=ExitCode.unreachable if notes else ExitCode.ok,
        text=format_records(_format_events(events)) if events else 'no events',
        answer={'events': events, 'last': last},
        notes=tuple(notes),
    )


async def explain(admin: str, *, customer: str, model: str) -> Outcome:
    """Query an entry where a request would go, and why."""
    client = AdminClient()
    try:
        answer = await client.explain(admin, customer=customer, model=model)
    finally:
        client.close()
    return Outcome(
        exit_code=ExitCode.ok, text=format_mapping(answer), answer=answer
    )


def _format_events(events: list[dict[str, Any]]) -> list[dict[str, Any]]:
    events_with_time = (
        {**event, 'at': format_time(event.get('at'))} for event in events
    )
    return [
        {key: event[key] for key in sorted(event, key=_column_rank)}
        for event in events_with_time
    ]


def _column_rank(key: str) -> tuple[int, str]:
    """Return the sort key: known columns in their order, then the others."""
    if key in AUDIT_COLUMNS:
        return AUDIT_COLUMNS.index(key), ''
    return len(AUDIT_COLUMNS), key


async def _read_fleet_state(
    client: AdminClient,
    admins: list[str],
    expected_digest: str,
) -> FleetState:
    members = await _read_members(client, admins)
    statuses = await _read_statuses(client, members)
    digest = expected_digest or newest_digest(statuses.values())
    bundle = await _find_bundle(client, members, statuses, digest)
    return evaluate(digest, members=members, statuses=statuses, bundle=bundle)


async def _read_members(
    client: AdminClient,
    admins: list[str],
) -> tuple[Member, ...]:
    """Query the addresses in turn until one returns the members."""
    errors: list[str] = []
    for admin in admins:
        try:
            members = await client.members(admin)
        except ClientError as exc:
            errors.append(str(exc))
            continue
        if members:
            return members
        errors.append(f'{admin}: it knows no members yet')
    raise UnreachableError(', '.join(admins), 'members', '; '.join(errors))


async def _read_statuses(
    client: AdminClient,
    members: tuple[Member, ...],
) -> dict[str, Answer]:
    found = await asyncio.gather(
        *(_read_status(client, member) for member in members),
    )
    return {
        member.host: answer
        for member, answer in zip(members, found, strict=True)
    }


async def _read_status(client: AdminClient, member: Member) -> Answer:
    try:
        found = await client.status(member.admin_address)
    except ClientError as exc:
        return MissingStatus(str(exc))
    if found.host != member.host:
        # The port belongs to another process now, so its status is of
        # another host.
        return MissingStatus(
            f'{member.admin_address}: host {found.host} answers'
        )
    return found


async def _find_bundle(
    client: AdminClient,
    members: tuple[Member, ...],
    statuses: Mapping[str, Answer],
    digest: str,
) -> Bundle | None:
    """Read the expected bundle from any process that has it in force."""
    for member in members:
        if not has_bundle(digest, statuses[member.host]):
            continue
        try:
            found = await client.bundle(member.admin_address)
        except ClientError:
            # Another member may answer; the row of this one has the error.
            continue
        if found is not None and found.digest.startswith(digest):
            return found
    return None
