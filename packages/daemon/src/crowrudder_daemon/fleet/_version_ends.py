"""Logs the time at which a version ends, whenever this process changes it."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from logging import Logger

    from crowrudder_core.catalog import Releases
    from crowrudder_model.fleet import TargetVersion

END_TOLERANCE_S = 0.001
"""Ends that differ by less than this, in seconds, are equal: they are computed
from ages each time, and the log shows milliseconds."""


@frozen
class VersionEnds:
    """Logs the computed end of the versions before an announced one.

    If a request starts on a version after its end, these lines show which end
    the entry had computed. The age of the received record doesn't show it, as
    the end isn't derived from that age alone.
    """

    _log: Logger
    _releases: Releases

    def previous_end(self, named: TargetVersion) -> float:
        """Return the time from which nothing may start on earlier versions."""
        return self._releases.ends_at(named.model, named.version - 1)

    def log_change(
        self,
        named: TargetVersion,
        *,
        ended_at: float,
        teller: str,
        age_by: str,
        now: float,
    ) -> None:
        """Log the end of the earlier versions if it was ``ended_at`` before.

        ``age_by`` is the source of the age: ``teller`` for the sender of the
        record, ``guess`` for the highest age that the change can have,
        ``nobody`` if it is unknown: the version then counts as old as one that
        a new process finds in its first list.
        """
        ends_at = self.previous_end(named)
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
    return math.isclose(one, other, rel_tol=0, abs_tol=END_TOLERANCE_S)
