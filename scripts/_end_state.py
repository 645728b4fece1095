"""Checks of a fleet after all faults have ended."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from _declare import Declared
    from _fleet import Fleet
    from _process import Host

_VIOLATION_METRIC = re.compile(
    r'crowrudder_invariant_violations_total\{[^}]*\} ([0-9.]+)'
)
_FAULT_MARKS = ('"unhandled fault"', 'Uncaught exception', 'never retrieved')


async def differing(fleet: Fleet, declared: Declared) -> list[str]:
    """Return what is not in the declared state yet."""
    found = []
    for host in fleet.hosts:
        status = await fleet.status(host) or {}
        order = (status.get('generation'), status.get('digest'))
        if order != (declared.generation, declared.digest):
            found.append(f'{host.name} has bundle {order}')
        loaded = status.get('loaded_version')
        if host.is_engine and loaded != declared.version:
            hinders = status.get('hinders')
            found.append(f'{host.name} has {loaded!r} loaded: {hinders}')
    for host in fleet.engine_agents:
        state = await _engine_state(fleet, host)
        served = (state.get('model'), state.get('version'))
        if served != (declared.model, declared.version):
            found.append(f'the engine of {host.name} has {served}')
    return found


async def end_state_faults(
    fleet: Fleet, declared: Declared, generations: Mapping[str, int]
) -> list[str]:
    """Return the faults that the processes themselves report.

    Parameters
    ----------
    generations
        The generation of each published bundle, by digest.
    """
    faults = await differing(fleet, declared)
    for host in fleet.hosts:
        faults.extend(await _audit_faults(fleet, host, generations))
        faults.extend(await _violations(fleet, host))
        faults.extend(logged_faults(host))
    return faults


def went_back(
    events: Iterable[Mapping[str, Any]], generations: Mapping[str, int]
) -> list[str]:
    """Return the steps of an audit trail to an older or unknown bundle.

    >>> step = {'kind': 'configuration', 'subject': 'bundle'}
    >>> went_back([{**step, 'before': 'b', 'after': 'a'}], {'a': 1, 'b': 2})
    ['2 b to 1 a']
    >>> went_back([{**step, 'before': '', 'after': 'a'}], {'a': 1})
    []
    """
    steps = [
        (
            _bundle_order(each['before'], generations),
            _bundle_order(each['after'], generations),
        )
        for each in events
        if each['kind'] == 'configuration' and each['subject'] == 'bundle'
    ]
    return [
        f'{before[0]} {before[1]} to {after[0]} {after[1]}'
        for before, after in steps
        if before >= after
    ]


def _bundle_order(
    digest: str, generations: Mapping[str, int]
) -> tuple[int, str]:
    return (generations.get(digest, -1) if digest else -1, digest)


async def _audit_faults(
    fleet: Fleet, host: Host, generations: Mapping[str, int]
) -> list[str]:
    url = f'{host.admin_url}/audit?after=0'
    audit = await fleet.web.json('GET', url)
    steps = went_back(audit['events'], generations)
    return [f'{host.name}: bundle went back: {step}' for step in steps]


async def _violations(fleet: Fleet, host: Host) -> list[str]:
    answer = await fleet.web.fetch('GET', f'{host.admin_url}/metrics')
    return [
        f'{host.name}: {each.group()}'
        for each in _VIOLATION_METRIC.finditer(answer.body.decode())
        if float(each.group(1))
    ]


def logged_faults(host: Host) -> list[str]:
    """Return unhandled faults logged by any incarnation of a process."""
    lines = host.process.log_path.read_text(errors='replace').splitlines()
    return [
        f'{host.name}: {line[:2000]}'
        for line in lines
        if any(mark in line for mark in _FAULT_MARKS)
    ]


async def _engine_state(fleet: Fleet, host: Host) -> dict[str, Any]:
    if host.upstream is None:
        return {}
    url = f'{host.upstream.url}/v1/state'
    return await fleet.web.tried_json(url) or {}
