"""What a process believes of the ends of versions, told when it changes."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from logging import Logger

    from crowrudder_core.catalog import Releases
    from crowrudder_model.fleet import NamedVersion

SAME_S = 0.001
"""Ends closer than this, in seconds, are the same one: they are worked out
anew from ages, and the log shows milliseconds."""


@frozen
class VersionEnds:
    """Tells when the versions before a named one end by what is believed.

    What can't be told without it: a request begins on a version after its end,
    and nothing shows which end the entry went by, since the age of a record as
    it came isn't what was concluded from it.
    """

    _log: Logger
    _releases: Releases

    def before(self, named: NamedVersion) -> float:
        """Give from when nothing may begin on what was named before."""
        return self._releases.ends_at(named.model, named.version - 1)

    def tell(
        self,
        named: NamedVersion,
        *,
        ended_at: float,
        teller: str,
        age_by: str,
        now: float,
    ) -> None:
        """Write a line if the end isn't what it was, ``ended_at``.

        ``age_by`` tells where the age comes from: ``teller``, ``guess`` where
        the oldest one counts that a change can have, ``nobody`` where the
        version counts as old as one that a new process finds.
        """
        ends_at = self.before(named)
        release = self._releases.newest(named.model)
        if release is None or _is_same(ends_at, ended_at):
            return
        older = self._releases.before(named.model, named.version)
        self._log.info(
            'end of a version concluded',
            extra={
                'step': 'record',
                'model': named.model,
                'version': named.version,
                'before': older.version if older else None,
                'teller': teller,
                'age_s': round(now - release.published_at, 3),
                'age_by': age_by,
                'ends_in_s': round(ends_at - now, 3),
                'was_in_s': (
                    round(ended_at - now, 3)
                    if math.isfinite(ended_at)
                    else None
                ),
            },
        )


def _is_same(one: float, other: float) -> bool:
    return math.isclose(one, other, rel_tol=0, abs_tol=SAME_S)
