"""What a command says: text for people, JSON for programs."""

from __future__ import annotations

import sys
from typing import Any

import msgspec
from attrs import frozen

from crowrudder_client._errors import ExitCode


@frozen(kw_only=True)
class Outcome:
    """The end of a command."""

    exit_code: ExitCode
    text: str
    answer: Any
    notes: tuple[str, ...] = ()
    # A value for another program, in place of the text and the answer.
    raw: str = ''


def show(outcome: Outcome, *, as_json: bool) -> None:
    """Write an outcome to the standard streams."""
    for note in outcome.notes:
        sys.stderr.write(f'crowrudder: {note}\n')
    if outcome.raw:
        sys.stdout.write(outcome.raw)
    elif as_json:
        encoded = msgspec.json.encode(outcome.answer)
        sys.stdout.write(f'{msgspec.json.format(encoded).decode()}\n')
    elif outcome.text:
        sys.stdout.write(f'{outcome.text}\n')
