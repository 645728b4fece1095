"""How a key is declared, and for which processes it stands."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Any

from attrs import NOTHING, field, fields, frozen

if TYPE_CHECKING:
    from collections.abc import Iterator

    from crowrudder_daemon.settings._kinds import Kind

_META = 'crowrudder'


class Scope(enum.Enum):
    """The processes for which a section or key may be written."""

    BOTH = 'both'
    ENTRY = 'entry'
    AGENT = 'agent'
    ENGINE = 'agent (engine only)'
    PLAIN = 'agent (plain only)'
    # May be written for every agent, must be for the agent of an engine.
    ENGINE_NEEDS = 'agent (must be given for engine)'

    def covers(self, *, role: str, upstream: str) -> bool:
        """Whether it may be written for this role and kind of upstream.

        An empty `role` or `upstream` is one that isn't known, as its own key
        is at fault; then all that some process may write passes, so that one
        fault isn't reported as many.
        """
        match self:
            case Scope.BOTH:
                return True
            case Scope.ENTRY:
                return role in {'', 'entry'}
            case Scope.ENGINE:
                return role != 'entry' and upstream in {'', 'engine'}
            case Scope.PLAIN:
                return role != 'entry' and upstream in {'', 'plain'}
            case _:
                return role != 'entry'

    def demands(self, *, role: str, upstream: str) -> bool:
        """Whether a section, or a key without default, must be written."""
        match self:
            case Scope.BOTH:
                return True
            case Scope.ENTRY | Scope.AGENT:
                return role == self.value
            case Scope.PLAIN:
                return upstream == 'plain'
            case _:
                return upstream == 'engine'


@frozen
class Row:
    """One key of the reference table."""

    section: str
    key: str
    scope: Scope
    kind: Kind
    default: object
    absent: object

    @property
    def optional(self) -> bool:
        """Whether it may be left out where it stands."""
        return self.default is not NOTHING


def key(
    kind: Kind,
    *,
    scope: Scope = Scope.BOTH,
    default: Any = NOTHING,
    absent: Any = NOTHING,
) -> Any:
    """Declare a key.

    Parameters
    ----------
    kind
        How its text is read.
    scope
        The processes for which it may be written.
    default
        Its value when left out; none when it has to be written.
    absent
        Its value in processes outside of its scope, if it has no default.
    """
    return field(
        default=absent if default is NOTHING else default,
        metadata={_META: (kind, scope, default, absent)},
    )


def rows_of(section: str, declared: type) -> Iterator[Row]:
    """List the keys that a section's class declares."""
    for attribute in fields(declared):
        kind, scope, default, absent = attribute.metadata[_META]
        yield Row(section, attribute.name, scope, kind, default, absent)
