"""Rules of the declared keys: allowed values and their description."""

from __future__ import annotations

import re
from typing import Any

from attrs import field, frozen

NAME = re.compile('[A-Za-z0-9][A-Za-z0-9._-]{0,63}')
DIGEST = re.compile('[0-9a-f]{64}')
RULE = 'crowrudder_rule'


@frozen
class Name:
    """A name of a declared part, as in files and headers."""

    allowed = 'a name of 1 to 64 letters, digits, `.`, `_` and `-`'


@frozen
class Names:
    """A list of different names, possibly empty."""

    allowed = 'different names, separated by commas'


@frozen
class Digest:
    """A SHA-256 in lower-case hexadecimal."""

    may_be_empty: bool = False

    @property
    def allowed(self) -> str:
        """Description of the allowed values."""
        text = '64 lower-case hexadecimal digits'
        return f'{text}, or nothing' if self.may_be_empty else text


@frozen
class Choice:
    """One of a fixed set of options."""

    options: tuple[str, ...]

    @property
    def allowed(self) -> str:
        """Description of the allowed values."""
        return ' or '.join(f'`{option}`' for option in self.options)


@frozen
class WholeNumber:
    """An integer within inclusive bounds."""

    low: int
    high: int

    @property
    def allowed(self) -> str:
        """Description of the allowed values."""
        return f'a whole number from {self.low} to {self.high}'


@frozen
class Decimal:
    """A decimal number within inclusive bounds."""

    low: float
    high: float

    @property
    def allowed(self) -> str:
        """Description of the allowed values."""
        return f'a number from {self.low:g} to {self.high:g}'


Kind = Name | Names | Digest | Choice | WholeNumber | Decimal


@frozen
class Rule:
    """The allowed values of a key, and its meaning."""

    kind: Kind
    meaning: str
    only_for: str = field(default='', kw_only=True)

    def accepts(self, found: Any) -> bool:
        """Return whether `found`, of the field's type, is allowed."""
        match self.kind:
            case Name():
                return NAME.fullmatch(found) is not None
            case Names():
                return _are_names(found)
            case Digest(may_be_empty):
                return DIGEST.fullmatch(found) is not None or (
                    may_be_empty and not found
                )
            case Choice(options):
                return found in options
            case WholeNumber(low, high) | Decimal(low, high):
                return bool(low <= found <= high)


def rule(kind: Kind, meaning: str, *, only_for: str = '') -> dict[str, Rule]:
    """Return the metadata of a declared attribute."""
    return {RULE: Rule(kind, meaning, only_for=only_for)}


def _are_names(found: tuple[str, ...]) -> bool:
    return len(set(found)) == len(found) and all(
        NAME.fullmatch(name) for name in found
    )
