"""Soak runs whose failure CI passes over, as the list of known failures says."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

PROGRAM = 'scripts/platform_soak.py'


def is_known_failure(
    path: Path, *, duration: str, seed: int, checks: Iterable[str]
) -> bool:
    """Return whether a list names a run, and each check that it failed.

    A line is ``scripts/platform_soak.py --duration S --seed N | cause |
    issue``; the cause names the checks.
    """
    run = f'{PROGRAM} --duration {duration} --seed {seed}'
    for line in path.read_text().splitlines():
        listed, _, rest = line.partition('|')
        if listed.strip() == run:
            cause = rest.rpartition('|')[0]
            return all(check in cause for check in checks)
    return False
