"""The aggregate that decides which bundle is in force."""

from __future__ import annotations

from attrs import define, frozen

from crowrudder_model import InvariantError
from crowrudder_model.declared import Bundle, BundleError, decode_bundle


@frozen(kw_only=True)
class Accepted:
    """A bundle came into force."""

    bundle: Bundle
    before: str


@frozen
class Ignored:
    """The offered bundle is the one in force, or older."""


@frozen(kw_only=True)
class Lost:
    """Of two bundles with one generation, this one lost."""

    digest: str
    generation: int


@frozen(kw_only=True)
class Refused:
    """The offered bytes are not a valid bundle."""

    reason: str
    revision: int
    teller: str


@define
class ConfigBook:
    """Keep the newest bundle by (generation, digest).

    The order depends on the contents alone, so that every host ends on the
    same bundle whatever the order of arrival, and also after the platform
    was rebuilt and counts its revisions anew.
    """

    bundle: Bundle | None = None
    payload: bytes = b''
    revision: int = 0
    in_force_since: float = 0
    refused: Refused | None = None
    lost: Lost | None = None

    @property
    def order(self) -> tuple[int, str]:
        """The place of the bundle in force in the total order."""
        if self.bundle is None:
            return (0, '')
        return (self.bundle.declaration.generation, self.bundle.digest)

    def offer(
        self,
        payload: bytes,
        *,
        revision: int,
        teller: str,
        now: float,
    ) -> Accepted | Ignored | Lost | Refused:
        """Decide on bytes that the platform or a peer gave."""
        if payload == self.payload:
            return Ignored()
        try:
            bundle = decode_bundle(payload)
        except BundleError as exc:
            self.refused = Refused(
                reason=str(exc),
                revision=revision,
                teller=teller,
            )
            return self.refused
        return self._order(bundle, payload, revision, now)

    def _order(
        self,
        bundle: Bundle,
        payload: bytes,
        revision: int,
        now: float,
    ) -> Accepted | Ignored | Lost:
        generation = bundle.declaration.generation
        offered = (generation, bundle.digest)
        if offered <= self.order:
            if generation == self.order[0] and offered != self.order:
                self.lost = Lost(digest=bundle.digest, generation=generation)
                return self.lost
            return Ignored()
        before = self.order
        self._note_loser(generation)
        self.bundle = bundle
        self.payload = payload
        self.revision = revision
        self.in_force_since = now
        self.refused = None
        if self.order <= before:
            raise InvariantError('configuration went back', step='accept')
        return Accepted(bundle=bundle, before=before[1])

    def _note_loser(self, generation: int) -> None:
        if self.bundle is not None and self.order[0] == generation:
            self.lost = Lost(digest=self.order[1], generation=generation)
