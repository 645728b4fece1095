"""Commands on the declared files: check, bundle and diff."""

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
from crowrudder_client._tables import format_table
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
class Baseline:
    """The parent bundle or running fleet to check the declared files against."""

    parent_file: str = ''
    admin: str = ''


@frozen
class CheckResult:
    """The parsed declaration and the faults found in it."""

    declaration: Declaration
    faults: tuple[Fault, ...]


async def check(directory: str, baseline: Baseline) -> Outcome:
    """Check the declared files."""
    checked = await _check_files(directory, baseline)
    if checked.faults:
        return _fault_outcome(checked.faults)
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


async def bundle(directory: str, baseline: Baseline, file: str) -> Outcome:
    """Write the bundle to publish to `file` or to standard output."""
    checked = await _check_files(directory, baseline)
    if checked.faults:
        return _fault_outcome(checked.faults)
    encoded = encode_bundle(checked.declaration)
    # Decode the encoded bytes, as every process will, to verify them.
    written = decode_bundle(encoded)
    summary = (
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
        return Outcome(exit_code=ExitCode.ok, text=summary, answer=answer)
    return Outcome(
        exit_code=ExitCode.ok,
        text='',
        answer=answer,
        notes=(summary,),
        raw=encoded.decode(),
    )


async def diff(directory: str, *, admin: str, other: str) -> Outcome:
    """Compare the declared files with the bundle in force or `other`."""
    after = _declaration(directory)
    before = _declaration(other) if other else await _in_force(admin)
    changes = difference(before, after)
    return Outcome(
        exit_code=ExitCode.differs if changes else ExitCode.ok,
        text=_change_table(changes) if changes else 'no difference',
        answer=changes,
    )


async def _check_files(directory: str, baseline: Baseline) -> CheckResult:
    reading = read_directory(directory)
    if reading.faults:
        return CheckResult(reading.declaration, reading.faults)
    previous, members = await _read_baseline(baseline)
    faults = publishing_faults(
        reading.declaration,
        previous=previous,
        members=members,
    )
    return CheckResult(reading.declaration, faults)


async def _read_baseline(
    baseline: Baseline,
) -> tuple[Bundle | None, tuple[Member, ...]]:
    if baseline.parent_file:
        return read_bundle(baseline.parent_file), ()
    if not baseline.admin:
        return None, ()
    client = AdminClient()
    try:
        return (
            await client.bundle(baseline.admin),
            await client.members(baseline.admin),
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
        reason = '\n'.join(str(fault) for fault in reading.faults)
        raise BadInputError(f'read {directory}', f'faults\n{reason}')
    return reading.declaration


def _fault_outcome(faults: tuple[Fault, ...]) -> Outcome:
    count = len(faults)
    lines = [str(fault) for fault in faults]
    lines.append('1 fault' if count == 1 else f'{count} faults')
    return Outcome(
        exit_code=ExitCode.bad_input,
        text='\n'.join(lines),
        answer={'faults': faults},
    )


def _change_table(changes: tuple[Change, ...]) -> str:
    return format_table(
        ('section', 'key', 'before', 'after'),
        (
            (change.section, change.key, change.before, change.after)
            for change in changes
        ),
    )
