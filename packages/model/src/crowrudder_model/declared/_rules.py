"""Rules of the declared keys: the check and what a fault may say."""

from __future__ import annotations

import re
from typing import Any

from attrs import field, frozen

NAME = re.compile('[A-Za-z0-9][A-Za-z0-9._-]{0,63}')
DIGEST = re.compile('[0-9a-f]{64}')
RULE = 'crowrudder_rule'


@frozen
class Name:
    """A name as users, files and headers write it."""

    allowed = 'a name of 1 to 64 letters, digits, `.`, `_` and `-`'


@frozen
class Names:
    """Any number of different names."""

    allowed = 'different names, separated by commas'


@frozen
class Digest:
    """A SHA-256 in lower-case hexadecimal."""

    may_be_empty: bool = False

    @property
    def allowed(self) -> str:
        """Say which values are allowed."""
        text = '64 lower-case hexadecimal digits'
        return f'{text}, or nothing' if self.may_be_empty else text


@frozen
class Choice:
    """One of a few words."""

    words: tuple[str, ...]

    @property
    def allowed(self) -> str:
        """Say which values are allowed."""
        return ' or '.join(f'`{word}`' for word in self.words)


@frozen
class Whole:
    """A whole number within bounds, both included."""

    low: int
    high: int

    @property
    def allowed(self) -> str:
        """Say which values are allowed."""
        return f'a whole number from {self.low} to {self.high}'


@frozen
class Decimal:
    """A number within bounds, both included."""

    low: float
    high: float

    @property
    def allowed(self) -> str:
        """Say which values are allowed."""
        return f'a number from {self.low:g} to {self.high:g}'


Kind = Name | Names | Digest | Choice | Whole | Decimal


@frozen
class Rule:
    """What a key may hold, and what it is for."""

    kind: Kind
    meaning: str
    only_for: str = field(default='', kw_only=True)

    def accepts(self, found: Any) -> bool:
        """Tell whether `found`, of the field's type, keeps the rule."""
        match self.kind:
            case Name():
                return NAME.fullmatch(found) is not None
            case Names():
                return _are_names(found)
            case Digest(may_be_empty):
                return DIGEST.fullmatch(found) is not None or (
                    may_be_empty and not found
                )
            case Choice(words):
                return found in words
            case Whole(low, high) | Decimal(low, high):
                return bool(low <= found <= high)


def rule(kind: Kind, meaning: str, *, only_for: str = '') -> dict[str, Rule]:
    """Make the metadata of a declared attribute."""
    return {RULE: Rule(kind, meaning, only_for=only_for)}


def _are_names(found: tuple[str, ...]) -> bool:
    return len(set(found)) == len(found) and all(
        NAME.fullmatch(name) for name in found
    )
