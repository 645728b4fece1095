"""Output of the commands: text or JSON."""

from __future__ import annotations

import sys
from typing import Any

import msgspec
from attrs import frozen

from crowrudder_client._errors import ExitCode


@frozen(kw_only=True)
class Outcome:
    """The exit code and the output of a command."""

    exit_code: ExitCode
    text: str
    answer: Any
    notes: tuple[str, ...] = ()
    # Output for another program, written in place of `text` and `answer`.
    raw: str = ''


def write_outcome(outcome: Outcome, *, as_json: bool) -> None:
    """Write an outcome to standard output, its notes to standard error."""
    for note in outcome.notes:
        sys.stderr.write(f'crowrudder: {note}\n')
    if outcome.raw:
        sys.stdout.write(outcome.raw)
    elif as_json:
        encoded = msgspec.json.encode(outcome.answer)
        sys.stdout.write(f'{msgspec.json.format(encoded).decode()}\n')
    elif outcome.text:
        sys.stdout.write(f'{outcome.text}\n')
