"""The aggregate that decides which bundle is in force."""

from __future__ import annotations

from typing import NamedTuple

from attrs import define, field, frozen

from crowrudder_model import InvariantError
from crowrudder_model.declared import Bundle, BundleError, decode_bundle

MAX_REMEMBERED = 64
"""Superseded bundles and held offers that are remembered, so that each lost
bundle is reported once."""

MAX_RECENT_BUNDLES = 3
"""Bundles kept, so that a peer can be sent the delta from its own."""


class ConfigOrder(NamedTuple):
    """The position of a bundle in the total order.

    It depends on the content alone, so that it is the same on every host,
    whatever the order of arrival and the platform's revisions. The platform's
    revision isn't part of it: a rebuilt platform restarts its count, and hosts
    that had seen the old count would permanently keep another bundle than
    hosts that start later.

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
    """The offer has no effect: in force, older, or reported before."""


@frozen
class Held:
    """The bundle is kept until the startup is complete."""


@frozen(kw_only=True)
class Lost:
    """A published bundle that lost against a concurrent one.

    Either both have the same generation, and the higher digest is in force,
    or the winner was made without knowledge of the loser.
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
    """Bytes received from the platform or a peer, and their sender."""

    payload: bytes
    revision: int
    teller: str


Verdict = Accepted | Ignored | Held | Lost | Refused


@define
class ActiveConfig:
    """Keep the newest bundle in force; its order never decreases.

    A new process accepts offers only after it has asked its peers. Otherwise,
    a host that starts while the platform is stale would put an old bundle in
    force until it receives the newer one, and a replaced host would serve
    customers by withdrawn rules.

    Parameters
    ----------
    is_open
        Whether offers come into force at once. Until then they are held.
    """

    is_open: bool = False
    bundle: Bundle | None = None
    payload: bytes = b''
    revision: int = 0
    in_force_since: float = 0
    refused: Refused | None = None
    lost: Lost | None = None
    _held: list[Offer] = field(factory=list)
    _reported: dict[str, None] = field(factory=dict)
    _recent: dict[str, Bundle] = field(factory=dict)

    @property
    def order(self) -> ConfigOrder:
        """The position of the bundle in force in the total order."""
        return order_of(self.bundle)

    def recent(self, digest: str) -> Bundle | None:
        """Return a bundle that is or recently was in force here."""
        return self._recent.get(digest)

    def open(self, *, now: float) -> tuple[Verdict, ...]:
        """End the startup: the newest held offer comes into force."""
        self.is_open = True
        held, self._held = self._held, []
        # In descending order, so that the newest is accepted first and no
        # older bundle is in force in between.
        held.sort(key=_order_of_offer, reverse=True)
        return tuple(self.offer(offer, now=now) for offer in held)

    def offer(self, offer: Offer, *, now: float) -> Verdict:
        """Decide on bytes received from the platform or a peer.

        Parameters
        ----------
        now
            Wall time in seconds, recorded as the time of coming into force.
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
        return self._accept_or_ignore(bundle, offer, now)

    def _hold(self, offer: Offer) -> None:
        if offer not in self._held:
            self._held.append(offer)
            del self._held[:-MAX_REMEMBERED]

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

    def _accept_or_ignore(
        self, bundle: Bundle, offer: Offer, now: float
    ) -> Verdict:
        offered = order_of(bundle)
        if offered == self.order:
            return Ignored()
        if offered < self.order:
            return self._reject_lower(bundle)
        before = self.bundle
        self._activate(bundle, offer, now)
        if before is not None and _is_race(before, bundle):
            self._record_lost(before)
        return Accepted(bundle=bundle, before=order_of(before))

    def _reject_lower(self, bundle: Bundle) -> Lost | Ignored:
        if self.bundle is None or not _is_race(bundle, self.bundle):
            return Ignored()
        if bundle.digest in self._reported:
            return Ignored()
        return self._record_lost(bundle)

    def _activate(self, bundle: Bundle, offer: Offer, now: float) -> None:
        before = self.order
        if order_of(bundle) <= before:
            raise InvariantError('configuration order decreased', step='accept')
        self.bundle = bundle
        self.payload = offer.payload
        self.revision = offer.revision
        self.in_force_since = now
        self.refused = None
        self._recent[bundle.digest] = bundle
        while len(self._recent) > MAX_RECENT_BUNDLES:
            del self._recent[next(iter(self._recent))]
        if self.lost is not None and self.lost.generation < before.generation:
            self.lost = None

    def _record_lost(self, bundle: Bundle) -> Lost:
        self._reported[bundle.digest] = None
        while len(self._reported) > MAX_REMEMBERED:
            del self._reported[next(iter(self._reported))]
        self.lost = Lost(
            digest=bundle.digest,
            generation=bundle.declaration.generation,
            parent=bundle.declaration.parent,
            winner=self.order.digest,
        )
        return self.lost


def order_of(bundle: Bundle | None) -> ConfigOrder:
    """Return the order of a bundle; the lowest if there is none."""
    if bundle is None:
        return ConfigOrder()
    return ConfigOrder(bundle.declaration.generation, bundle.digest)


def _is_race(lower: Bundle, higher: Bundle) -> bool:
    """Return whether two operators published concurrently.

    The next generation after `lower` that doesn't name it as its parent was
    made from an older state. If generations in between are missing, this can't
    be determined, and the result is false.
    """
    low, high = lower.declaration, higher.declaration
    if low.generation == high.generation:
        return True
    is_successor = high.generation == low.generation + 1
    return is_successor and high.parent != lower.digest


def _order_of_offer(offer: Offer) -> ConfigOrder:
    try:
        return order_of(decode_bundle(offer.payload))
    except BundleError:
        return ConfigOrder()
