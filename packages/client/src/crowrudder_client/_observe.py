"""The commands about running processes: status, audit, explain."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Mapping
from typing import Any

from attrs import frozen

from crowrudder_client._admin import AdminClient
from crowrudder_client._errors import ClientError, ExitCode, UnreachableError
from crowrudder_client._output import Outcome
from crowrudder_client._status_text import answer_of, text_of
from crowrudder_client._tables import facts, moment, records
from crowrudder_client._verdict import (
    Answer,
    Unreached,
    Verdict,
    has,
    judge,
    newest,
)
from crowrudder_model._member import Member
from crowrudder_model.declared import Bundle

POLL_S = 0.5
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
class Waiting:
    """For which bundle `status` waits, and how long (seconds)."""

    digest: str = ''
    timeout_s: float = 0.0


async def status(admins: list[str], waiting: Waiting) -> Outcome:
    """Ask the whole fleet; wait until it is in the declared state."""
    client = AdminClient()
    end = time.monotonic() + waiting.timeout_s
    try:
        verdict = await _verdict(client, admins, waiting.digest)
        while not verdict.is_declared and time.monotonic() < end:
            await asyncio.sleep(POLL_S)
            verdict = await _verdict(client, admins, waiting.digest)
    finally:
        client.close()
    return Outcome(
        exit_code=ExitCode.ok if verdict.is_declared else ExitCode.differs,
        text=text_of(verdict),
        answer=answer_of(verdict),
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
        text=records(_timed(events)) if events else 'no events',
        answer={'events': events, 'last': last},
        notes=tuple(notes),
    )


async def explain(admin: str, *, customer: str, model: str) -> Outcome:
    """Ask an entry where a request would go, and why."""
    client = AdminClient()
    try:
        answer = await client.explain(admin, customer=customer, model=model)
    finally:
        client.close()
    return Outcome(exit_code=ExitCode.ok, text=facts(answer), answer=answer)


def _timed(events: list[dict[str, Any]]) -> list[dict[str, Any]]:
    timed = ({**event, 'at': moment(event.get('at'))} for event in events)
    return [
        {key: event[key] for key in sorted(event, key=_place)}
        for event in timed
    ]


def _place(key: str) -> tuple[int, str]:
    """Put the columns that tell a story in its order, others behind."""
    if key in AUDIT_COLUMNS:
        return AUDIT_COLUMNS.index(key), ''
    return len(AUDIT_COLUMNS), key


async def _verdict(
    client: AdminClient,
    admins: list[str],
    wanted: str,
) -> Verdict:
    members = await _members(client, admins)
    answers = await _answers(client, members)
    digest = wanted or newest(answers.values())
    bundle = await _bundle(client, members, answers, digest)
    return judge(digest, members=members, answers=answers, bundle=bundle)


async def _members(
    client: AdminClient,
    admins: list[str],
) -> tuple[Member, ...]:
    """Ask one address after the other until one knows the members."""
    missed: list[str] = []
    for admin in admins:
        try:
            members = await client.members(admin)
        except ClientError as exc:
            missed.append(str(exc))
            continue
        if members:
            return members
        missed.append(f'{admin}: it knows no members yet')
    raise UnreachableError(', '.join(admins), 'members', '; '.join(missed))


async def _answers(
    client: AdminClient,
    members: tuple[Member, ...],
) -> dict[str, Answer]:
    found = await asyncio.gather(
        *(_answer(client, member) for member in members),
    )
    return {
        member.host: answer
        for member, answer in zip(members, found, strict=True)
    }


async def _answer(client: AdminClient, member: Member) -> Answer:
    try:
        found = await client.status(member.admin_address)
    except ClientError as exc:
        return Unreached(str(exc))
    if found.host != member.host:
        # A port that went to another process: its words aren't this host's.
        return Unreached(f'{member.admin_address}: host {found.host} answers')
    return found


async def _bundle(
    client: AdminClient,
    members: tuple[Member, ...],
    answers: Mapping[str, Answer],
    digest: str,
) -> Bundle | None:
    """Get the wanted bundle from any process that has it in force."""
    for member in members:
        if not has(digest, answers[member.host]):
            continue
        try:
            found = await client.bundle(member.admin_address)
        except ClientError:
            # The next one may answer; its own row says what is wrong.
            continue
        if found is not None and found.digest.startswith(digest):
            return found
    return None
