"""Declaration of settings keys and the processes to which they apply."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Any

from attrs import NOTHING, field, fields, frozen

if TYPE_CHECKING:
    from collections.abc import Iterator

    from crowrudder_daemon.settings._kinds import Kind

_META = 'crowrudder'


class Scope(enum.Enum):
    """The processes to which a section or key applies."""

    BOTH = 'both'
    ENTRY = 'entry'
    AGENT = 'agent'
    ENGINE = 'agent (engine only)'
    PLAIN = 'agent (plain only)'
    # Optional for every agent, required for the agent of an engine.
    ENGINE_NEEDS = 'agent (must be given for engine)'

    def covers(self, *, role: str, upstream: str) -> bool:
        """Return whether it is allowed for this role and kind of upstream.

        An empty `role` or `upstream` is unknown because its own key is
        invalid. Then everything that some process may use is allowed, so that
        one fault isn't reported as many.
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

    def requires(self, *, role: str, upstream: str) -> bool:
        """Return whether a section or a key without default is required."""
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
        """Return whether it may be omitted where it applies."""
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
        How its text is parsed.
    scope
        The processes to which it applies.
    default
        Its value when omitted; without one the key is required.
    absent
        Its value in processes outside its scope, if it has no default.
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
