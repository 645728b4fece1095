"""Which versions of a model's weights may serve a new request."""

from __future__ import annotations

import math

from attrs import define, field, frozen


@frozen
class Release:
    """A named version and its publication time on the local clock."""

    version: int
    published_at: float


@define
class Releases:
    """The named versions of each model, newest last.

    Without a time limit, a host whose transfer is late would go on answering
    with replaced weights long after all other hosts have the new version.
    Such a host gets no request instead of one on old weights.

    Parameters
    ----------
    window_s
        Time from the publication of a version until no request may begin on
        an older one.
    enforced_from
        Time on the local clock from which this process enforces the window.
    known_since
        Time on the local clock since which this process sees each publication.
    """

    window_s: float
    enforced_from: float = -math.inf
    known_since: float = -math.inf
    _named: dict[str, list[Release]] = field(factory=dict)

    def on_named(
        self,
        model: str,
        version: int,
        *,
        age_s: float | None,
        now: float,
    ) -> None:
        """Add a named version; an unknown age counts as a long one.

        A process that starts finds versions without their ages. If it counted
        them as old at once, then after a kill of all processes during a
        rollout no process would know the version's age, and no engine could
        be used before it has loaded that version: requests were refused for
        five seconds. Older versions may therefore be used until the process
        enforces the window; a peer that knows the age usually sends it long
        before.
        """
        known = self._named.setdefault(model, [])
        if known and version < known[-1].version:
            return
        if age_s is None:
            age_s = self.window_s - max(self.enforced_from - now, 0)
        release = Release(version, now - age_s)
        if known and version == known[-1].version:
            # Received again, from a process that knows its age.
            known.pop()
        known.append(release)

    def newest(self, model: str) -> Release | None:
        """Return the newest version of a model."""
        known = self._named.get(model)
        return known[-1] if known else None

    def before(self, model: str, version: int) -> Release | None:
        """Return the newest version lower than another one."""
        older = [
            release
            for release in self._named.get(model, ())
            if release.version < version
        ]
        return older[-1] if older else None

    def after(self, model: str, version: int) -> list[Release]:
        """Return the versions higher than another one, newest first."""
        return [
            release
            for release in reversed(self._named.get(model, []))
            if release.version > version
        ]

    def ends_at(self, model: str, version: int) -> float:
        """Return the time from which no request may begin on a version.

        Infinity means that the version has no end.

        A process that starts finds only the newest version. Another one that
        it has never seen may have been published before, and ended the still
        older ones earlier than the newest does. These count as ended from the
        time at which the process enforces the window; otherwise a restarted
        process would send requests to them after their end.
        """
        ends_at = min(
            (
                release.published_at + self.window_s
                for release in self.after(model, version)
            ),
            default=math.inf,
        )
        if self._may_miss_successor(model, version):
            return min(ends_at, self.enforced_from)
        return ends_at

    def _may_miss_successor(self, model: str, version: int) -> bool:
        """Return whether a version may have an unknown immediate successor."""
        known = self._named.get(model)
        if not known:
            return False
        first = known[0]
        is_found = first.published_at < self.known_since
        return is_found and version < first.version - 1
