"""Suspected requests of an entry, and the completed runs that it saw."""

from __future__ import annotations

import math
from collections import OrderedDict

from attrs import define, field

from crowrudder_core.quarantine._suspect import Suspect

MAX_SUSPECTS = 2048
"""Maximum number of suspects. A failure domain that loses power implicates
hundreds of requests, which must not evict quarantined ones."""

MAX_COMPLETED_RUNS = 4096
"""Maximum number of requests with a recorded completed run."""


@define
class SuspectLedger:
    """Suspects by digest, bounded in number and in age."""

    _suspects: OrderedDict[int, Suspect] = field(factory=OrderedDict)
    _completed_at: OrderedDict[int, float] = field(factory=OrderedDict)
    _quarantined: set[int] = field(factory=set)
    """Digests that were quarantined at their last change. A refusal looks at
    these alone, not at all suspects."""

    def get(self, digest: int, *, now: float) -> Suspect | None:
        """Return the suspect record of a request; None if absent or expired."""
        suspect = self._suspects.get(digest)
        if suspect is not None and suspect.is_expired(now):
            self._suspects.pop(digest)
            return None
        return suspect

    def get_or_create(self, digest: int, *, now: float) -> Suspect:
        """Return the suspect record of a request, created if absent."""
        suspect = self.get(digest, now=now)
        if suspect is None:
            suspect = Suspect()
            self._suspects[digest] = suspect
        self._suspects.move_to_end(digest)
        suspect.on_run_completed(
            self._completed_at.get(digest, suspect.completed_at)
        )
        if len(self._suspects) > MAX_SUSPECTS:
            self._suspects.pop(self._to_evict())
        return suspect

    def on_run_completed(self, digest: int, *, now: float) -> Suspect | None:
        """Record a completed run; return the suspect that it clears, if any."""
        self.remember_completed(digest, now)
        suspect = self.get(digest, now=now)
        if suspect is not None:
            suspect.on_run_completed(now)
        return suspect

    def remember_completed(self, digest: int, at: float) -> None:
        """Record a completed run that this or another entry has seen.

        It outlives the suspect that it clears: reports of the same ends may
        still arrive.
        """
        if math.isinf(at):
            return
        self._completed_at[digest] = max(at, self._completed_at.get(digest, at))
        self._completed_at.move_to_end(digest)
        if len(self._completed_at) > MAX_COMPLETED_RUNS:
            self._completed_at.popitem(last=False)

    def completed_at(self, digest: int) -> float:
        """Return when a run was last completed, as far as is known."""
        return self._completed_at.get(digest, -math.inf)

    def suspects(self, *, now: float) -> dict[int, Suspect]:
        """Return all suspects that have not expired."""
        expired = [
            digest
            for digest, suspect in self._suspects.items()
            if suspect.is_expired(now)
        ]
        for digest in expired:
            self._suspects.pop(digest)
        return dict(self._suspects)

    def on_changed(self, digest: int, suspect: Suspect) -> None:
        """Record whether a suspect is quarantined after a change."""
        if suspect.is_quarantined:
            self._quarantined.add(digest)
        else:
            self._quarantined.discard(digest)

    def quarantined(self, *, now: float) -> dict[int, Suspect]:
        """Return the suspects that are quarantined."""
        found = {each: self.get(each, now=now) for each in self._quarantined}
        suspects = {
            digest: suspect
            for digest, suspect in found.items()
            if suspect is not None and suspect.is_quarantined
        }
        self._quarantined = set(suspects)
        return suspects

    def _to_evict(self) -> int:
        """Return the digest to evict: the oldest, quarantined ones last."""
        return next(
            (
                digest
                for digest, suspect in self._suspects.items()
                if not suspect.is_quarantined
            ),
            next(iter(self._suspects)),
        )
