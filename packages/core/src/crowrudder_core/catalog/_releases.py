"""Which versions of a model's weights a request may begin on."""

from __future__ import annotations

import math

from attrs import define, field, frozen


@frozen
class Release:
    """A named version and when it was published, on the own clock."""

    version: int
    published_at: float


@define
class Releases:
    """The versions of each model that were named, newest last.

    What goes wrong without the bound: a host that is late with its transfer
    goes on answering with weights that were replaced, seen as requests on an
    old version long after the new one is everywhere else. Such a host gets no
    request rather than one on old weights.

    Parameters
    ----------
    window_s
        Time from the publication of a version until nothing may begin on an
        older one.
    free_until
        Time on the own clock from which on this process is held to the window.
    """

    window_s: float
    free_until: float = -math.inf
    _named: dict[str, list[Release]] = field(factory=dict)

    def on_named(
        self,
        model: str,
        version: int,
        *,
        age_s: float | None,
        now: float,
    ) -> None:
        """Take a named version; an unknown age counts as a long one.

        A process that starts finds versions without their ages. What goes
        wrong when it counts them as old at once: all processes are killed
        while a version is spread, nobody is left who knows its age, and no
        engine may be used before it has loaded that version, seen as five
        seconds of refusals. Old ones may be used until the process is held to
        the window; a peer that knows the age tells it long before.
        """
        known = self._named.setdefault(model, [])
        if known and version < known[-1].version:
            return
        if age_s is None:
            age_s = self.window_s - max(self.free_until - now, 0)
        release = Release(version, now - age_s)
        if known and version == known[-1].version:
            # Told again: by a process that knows its age.
            known.pop()
        known.append(release)

    def newest(self, model: str) -> Release | None:
        """Give the version that a model is to have."""
        known = self._named.get(model)
        return known[-1] if known else None

    def before(self, model: str, version: int) -> Release | None:
        """Give the version that was named before another one."""
        older = [
            release
            for release in self._named.get(model, ())
            if release.version < version
        ]
        return older[-1] if older else None

    def after(self, model: str, version: int) -> list[Release]:
        """Give the versions that were named after another one, newest first."""
        return [
            release
            for release in reversed(self._named.get(model, []))
            if release.version > version
        ]

    def ends_at(self, model: str, version: int) -> float:
        """Give from when nothing may begin on a version; infinity for never."""
        return min(
            (
                release.published_at + self.window_s
                for release in self.after(model, version)
            ),
            default=math.inf,
        )
