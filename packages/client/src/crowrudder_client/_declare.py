"""The commands about the declared files: check, bundle, diff."""

from __future__ import annotations

from attrs import frozen

from crowrudder_client._admin import AdminClient
from crowrudder_client._directory import (
    read_bundle,
    read_directory,
    write_bundle,
)
from crowrudder_client._errors import BadInputError, ExitCode
from crowrudder_client._output import Outcome
from crowrudder_client._tables import table
from crowrudder_model._member import Member
from crowrudder_model.declared import (
    Bundle,
    Change,
    Declaration,
    Fault,
    bundle_of,
    decode_bundle,
    difference,
    encode_bundle,
    publishing_faults,
)


@frozen(kw_only=True)
class Against:
    """What the declared files are checked against, beside themselves."""

    parent_file: str = ''
    admin: str = ''


@frozen
class Checked:
    """The declared files after all checks."""

    declaration: Declaration
    faults: tuple[Fault, ...]


async def check(directory: str, against: Against) -> Outcome:
    """Check the declared files."""
    checked = await _checked(directory, against)
    if checked.faults:
        return _faulty(checked.faults)
    bundle = bundle_of(checked.declaration)
    generation = checked.declaration.generation
    return Outcome(
        exit_code=ExitCode.ok,
        text=f'no faults: generation {generation}, digest {bundle.digest}',
        answer={
            'faults': [],
            'generation': generation,
            'digest': bundle.digest,
        },
    )


async def bundle(directory: str, against: Against, file: str) -> Outcome:
    """Write the value to publish, to `file` or to the standard output."""
    checked = await _checked(directory, against)
    if checked.faults:
        return _faulty(checked.faults)
    encoded = encode_bundle(checked.declaration)
    # The very bytes, read as every process will read them.
    written = decode_bundle(encoded)
    said = (
        f'generation {written.declaration.generation}, '
        f'digest {written.digest}, {len(encoded)} bytes'
    )
    answer = {
        'generation': written.declaration.generation,
        'digest': written.digest,
        'bytes': len(encoded),
    }
    if file:
        write_bundle(file, encoded)
        return Outcome(exit_code=ExitCode.ok, text=said, answer=answer)
    return Outcome(
        exit_code=ExitCode.ok,
        text='',
        answer=answer,
        notes=(said,),
        raw=encoded.decode(),
    )


async def diff(directory: str, *, admin: str, other: str) -> Outcome:
    """Compare the declared files with what is in force or with others."""
    after = _declaration(directory)
    before = _declaration(other) if other else await _in_force(admin)
    changes = difference(before, after)
    return Outcome(
        exit_code=ExitCode.differs if changes else ExitCode.ok,
        text=_change_table(changes) if changes else 'no difference',
        answer=changes,
    )


async def _checked(directory: str, against: Against) -> Checked:
    reading = read_directory(directory)
    if reading.faults:
        return Checked(reading.declaration, reading.faults)
    previous, members = await _before(against)
    faults = publishing_faults(
        reading.declaration,
        previous=previous,
        members=members,
    )
    return Checked(reading.declaration, faults)


async def _before(
    against: Against,
) -> tuple[Bundle | None, tuple[Member, ...]]:
    if against.parent_file:
        return read_bundle(against.parent_file), ()
    if not against.admin:
        return None, ()
    client = AdminClient()
    try:
        return (
            await client.bundle(against.admin),
            await client.members(against.admin),
        )
    finally:
        client.close()


async def _in_force(admin: str) -> Declaration:
    client = AdminClient()
    try:
        found = await client.bundle(admin)
    finally:
        client.close()
    if found is None:
        raise BadInputError(f'compare with {admin}', 'no bundle in force yet')
    return found.declaration


def _declaration(directory: str) -> Declaration:
    reading = read_directory(directory)
    if reading.faults:
        why = '\n'.join(str(fault) for fault in reading.faults)
        raise BadInputError(f'read {directory}', f'faults\n{why}')
    return reading.declaration


def _faulty(faults: tuple[Fault, ...]) -> Outcome:
    count = len(faults)
    lines = [str(fault) for fault in faults]
    lines.append('1 fault' if count == 1 else f'{count} faults')
    return Outcome(
        exit_code=ExitCode.bad_input,
        text='\n'.join(lines),
        answer={'faults': faults},
    )


def _change_table(changes: tuple[Change, ...]) -> str:
    return table(
        ('section', 'key', 'before', 'after'),
        (
            (change.section, change.key, change.before, change.after)
            for change in changes
        ),
    )
