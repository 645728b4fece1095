"""The aggregate that decides which bundle is in force."""

from __future__ import annotations

from typing import NamedTuple

from attrs import define, field, frozen

from crowrudder_model import InvariantError
from crowrudder_model.declared import Bundle, BundleError, decode_bundle

MOST_KNOWN = 64
"""Bundles that lost, remembered so that each is told once."""

MOST_RECENT = 3
"""Bundles kept, so that a peer can be sent what changed since its own."""


class ConfigOrder(NamedTuple):
    """The place of a bundle in the one total order.

    It follows from the content alone, so that it is the same on every host,
    whatever the order of arrival and whatever the platform counts. The
    platform's revision is no part of it: a platform that was rebuilt counts
    anew, and hosts that had seen the old count would keep another bundle for
    ever than hosts that start later.

    >>> ConfigOrder(2, 'aa') > ConfigOrder(1, 'ff')
    True
    """

    generation: int = 0
    digest: str = ''


@frozen(kw_only=True)
class Accepted:
    """A bundle came into force."""

    bundle: Bundle
    before: ConfigOrder


@frozen
class Ignored:
    """Nothing new: in force, older, or told before."""


@frozen
class Held:
    """The bundle is kept until the start is over."""


@frozen(kw_only=True)
class Lost:
    """A bundle that an operator published and another one beat.

    Either both have one generation, and the higher digest is in force, or the
    winner was made without knowing of it.
    """

    digest: str
    generation: int
    parent: str
    winner: str


@frozen(kw_only=True)
class Refused:
    """The offered bytes are not a valid bundle."""

    reason: str
    revision: int
    teller: str


@frozen(kw_only=True)
class Offer:
    """Bytes that the platform or a peer gave, and who that was."""

    payload: bytes
    revision: int
    teller: str


Verdict = Accepted | Ignored | Held | Lost | Refused


@define
class ConfigBook:
    """Keep the newest bundle; what is in force never goes back.

    A fresh process opens its book only when its peers were asked. Without
    that, a host that starts beside a stale platform would put an old bundle
    in force for as long as it takes to hear of the newer one; it would be
    seen as a replaced host that serves customers by withdrawn rules.

    Parameters
    ----------
    is_open
        Whether offers come into force at once.
    """

    is_open: bool = False
    bundle: Bundle | None = None
    payload: bytes = b''
    revision: int = 0
    in_force_since: float = 0
    refused: Refused | None = None
    lost: Lost | None = None
    _held: list[Offer] = field(factory=list)
    _known: dict[str, None] = field(factory=dict)
    _recent: dict[str, Bundle] = field(factory=dict)

    @property
    def order(self) -> ConfigOrder:
        """The place of the bundle in force in the total order."""
        return order_of(self.bundle)

    def recent(self, digest: str) -> Bundle | None:
        """Give a bundle that is or was in force here a short while ago."""
        return self._recent.get(digest)

    def open(self, *, now: float) -> tuple[Verdict, ...]:
        """End the start: the newest of what was held comes into force."""
        self.is_open = True
        held, self._held = self._held, []
        # Backwards, so that the newest is accepted first and no older one
        # is in force in between.
        held.sort(key=_order_of_offer, reverse=True)
        return tuple(self.offer(offer, now=now) for offer in held)

    def offer(self, offer: Offer, *, now: float) -> Verdict:
        """Decide on bytes that the platform or a peer gave.

        Parameters
        ----------
        now
            Wall time in seconds, noted as the time it came into force.
        """
        if self.payload and offer.payload == self.payload:
            return Ignored()
        try:
            bundle = decode_bundle(offer.payload)
        except BundleError as exc:
            return self._refuse(str(exc), offer)
        if not self.is_open:
            self._hold(offer)
            return Held()
        return self._place(bundle, offer, now)

    def _hold(self, offer: Offer) -> None:
        if offer not in self._held:
            self._held.append(offer)
            del self._held[:-MOST_KNOWN]

    def _refuse(self, reason: str, offer: Offer) -> Refused | Ignored:
        refused = Refused(
            reason=reason,
            revision=offer.revision,
            teller=offer.teller,
        )
        before, self.refused = self.refused, refused
        if before is not None and before.reason == reason:
            return Ignored()
        return refused

    def _place(self, bundle: Bundle, offer: Offer, now: float) -> Verdict:
        offered = order_of(bundle)
        if offered == self.order:
            return Ignored()
        if offered < self.order:
            return self._below(bundle)
        before = self.bundle
        self._set(bundle, offer, now)
        if before is not None and _is_race(before, bundle):
            self._note_lost(before)
        return Accepted(bundle=bundle, before=order_of(before))

    def _below(self, bundle: Bundle) -> Lost | Ignored:
        if self.bundle is None or not _is_race(bundle, self.bundle):
            return Ignored()
        if bundle.digest in self._known:
            return Ignored()
        return self._note_lost(bundle)

    def _set(self, bundle: Bundle, offer: Offer, now: float) -> None:
        before = self.order
        if order_of(bundle) <= before:
            raise InvariantError('configuration went back', step='accept')
        self.bundle = bundle
        self.payload = offer.payload
        self.revision = offer.revision
        self.in_force_since = now
        self.refused = None
        self._recent[bundle.digest] = bundle
        while len(self._recent) > MOST_RECENT:
            del self._recent[next(iter(self._recent))]
        if self.lost is not None and self.lost.generation < before.generation:
            self.lost = None

    def _note_lost(self, bundle: Bundle) -> Lost:
        self._known[bundle.digest] = None
        while len(self._known) > MOST_KNOWN:
            del self._known[next(iter(self._known))]
        self.lost = Lost(
            digest=bundle.digest,
            generation=bundle.declaration.generation,
            parent=bundle.declaration.parent,
            winner=self.order.digest,
        )
        return self.lost


def order_of(bundle: Bundle | None) -> ConfigOrder:
    """Give the place of a bundle; the lowest where there is none."""
    if bundle is None:
        return ConfigOrder()
    return ConfigOrder(bundle.declaration.generation, bundle.digest)


def _is_race(lower: Bundle, higher: Bundle) -> bool:
    """Tell whether two operators published without knowing of each other.

    The next generation after `lower` that doesn't name it as its parent was
    made from an older state. Where generations were missed in between nobody
    can tell, and nothing is claimed.
    """
    low, high = lower.declaration, higher.declaration
    if low.generation == high.generation:
        return True
    follows = high.generation == low.generation + 1
    return follows and high.parent != lower.digest


def _order_of_offer(offer: Offer) -> ConfigOrder:
    try:
        return order_of(decode_bundle(offer.payload))
    except BundleError:
        return ConfigOrder()
