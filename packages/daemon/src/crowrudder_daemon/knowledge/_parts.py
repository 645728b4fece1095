"""Put knowledge into messages, and take it out of them again."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

from crowrudder_core.config import Offer
from crowrudder_model import (
    CrowrudderError,
    MalformedMessageError,
    decode_message,
    encode_message,
    inflate,
)
from crowrudder_model.declared import (
    MOST_BUNDLE_BYTES,
    BundleDelta,
    BundleError,
    apply_delta,
    delta_between,
)
from crowrudder_model.messages import (
    BundlePart,
    ListEdition,
    MembersDelta,
    MembersPart,
)

if TYPE_CHECKING:
    from crowrudder_core.config import ConfigBook
    from crowrudder_core.membership import MemberList
    from crowrudder_model import Member
    from crowrudder_model.declared import Bundle

MOST_INFLATED_BYTES = 16 * MOST_BUNDLE_BYTES


class PartError(CrowrudderError):
    """A part from a peer that doesn't lead to what it says."""


def bundle_part(
    book: ConfigBook,
    *,
    known: Bundle | None,
) -> BundlePart | None:
    """Give the bundle in force, as a change of one that the peer has.

    Parameters
    ----------
    known
        what the peer has, where this process knows it; None for the whole.
    """
    if book.bundle is None:
        return None
    body = book.payload
    if known is not None:
        body = encode_message(delta_between(known, book.bundle))
    return BundlePart(
        digest=book.bundle.digest,
        revision=book.revision,
        base='' if known is None else known.digest,
        body=zlib.compress(body),
    )


def offer_of(part: BundlePart, base: Bundle | None, teller: str) -> Offer:
    """Take the bundle out of a part.

    Raises
    ------
    PartError
        when it starts from another bundle than ``base``, or is damaged.
    """
    payload = _inflated(part.body, teller)
    if part.base:
        if base is None or base.digest != part.base:
            raise PartError('a change of another bundle', step='take bundle')
        delta = decode_message(payload, BundleDelta, peer=teller)
        try:
            payload = apply_delta(base, delta, digest=part.digest)
        except BundleError as exc:
            raise PartError(str(exc), step='take bundle', peer=teller) from exc
    return Offer(payload=payload, revision=part.revision, teller=teller)


def members_part(listed: MemberList, edition: ListEdition) -> MembersPart:
    """Give the member list, as a change of the peer's edition if it can."""
    delta = listed.delta_from(edition.digest)
    return MembersPart(
        edition=listed.edition,
        base='' if delta is None else edition.digest,
        body=zlib.compress(encode_message(delta or listed.whole())),
    )


def members_of(
    part: MembersPart,
    listed: MemberList,
    teller: str,
) -> tuple[Member, ...]:
    """Take the member list out of a part.

    Raises
    ------
    CrowrudderError
        when it is damaged, or starts from a list that isn't known here.
    """
    delta = decode_message(
        _inflated(part.body, teller),
        MembersDelta,
        peer=teller,
    )
    return listed.applied(delta, base=part.base, edition=part.edition)


def _inflated(body: bytes, peer: str) -> bytes:
    try:
        return inflate(body, most_bytes=MOST_INFLATED_BYTES, peer=peer)
    except MalformedMessageError as exc:
        raise PartError(exc.message, step=exc.step, peer=peer) from exc
