"""The requests that an entry suspects, and those it saw run whole."""

from __future__ import annotations

from collections import OrderedDict

from attrs import define, field

from crowrudder_core.quarantine._suspect import Suspect

MOST_SUSPECTS = 2048
"""Requests that are remembered; a domain that loses power implicates
hundreds, which must not push out those that are convicted."""

MOST_WHOLE = 4096
"""Requests that are remembered as having run whole."""


@define
class SuspectLedger:
    """Suspects by digest, bounded in number and in time."""

    _suspects: OrderedDict[int, Suspect] = field(factory=OrderedDict)
    _whole: OrderedDict[int, float] = field(factory=OrderedDict)

    def get(self, digest: int, *, now: float) -> Suspect | None:
        """Give what is known of a request; None for nothing that counts."""
        suspect = self._suspects.get(digest)
        if suspect is not None and suspect.is_over(now):
            self._suspects.pop(digest)
            return None
        return suspect

    def take(self, digest: int, *, now: float) -> Suspect:
        """Give what is known of a request, to add to it."""
        suspect = self.get(digest, now=now)
        if suspect is None:
            suspect = Suspect()
            self._suspects[digest] = suspect
        self._suspects.move_to_end(digest)
        suspect.on_whole(self._whole.get(digest, suspect.whole_at))
        if len(self._suspects) > MOST_SUSPECTS:
            self._suspects.pop(self._least())
        return suspect

    def on_whole(self, digest: int, *, now: float) -> Suspect | None:
        """Note that a run ended whole; give the suspect whom that clears."""
        self._whole[digest] = now
        self._whole.move_to_end(digest)
        if len(self._whole) > MOST_WHOLE:
            self._whole.popitem(last=False)
        suspect = self.get(digest, now=now)
        if suspect is not None:
            suspect.on_whole(now)
        return suspect

    def suspects(self, *, now: float) -> dict[int, Suspect]:
        """Give all of whom something counts."""
        over = [
            digest
            for digest, suspect in self._suspects.items()
            if suspect.is_over(now)
        ]
        for digest in over:
            self._suspects.pop(digest)
        return dict(self._suspects)

    def _least(self) -> int:
        """Give the one to forget: the oldest, convicted ones last."""
        return next(
            (
                digest
                for digest, suspect in self._suspects.items()
                if not suspect.is_convicted
            ),
            next(iter(self._suspects)),
        )
