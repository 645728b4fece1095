"""Encode bundles and member lists as message parts, and decode them."""

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
    MAX_BUNDLE_BYTES,
    BundleDelta,
    BundleError,
    apply_delta,
    delta_between,
)
from crowrudder_model.messages import (
    BundleUpdate,
    MemberListDelta,
    MemberListEdition,
    MemberListUpdate,
)

if TYPE_CHECKING:
    from crowrudder_core.config import ActiveConfig
    from crowrudder_core.membership import MemberList
    from crowrudder_model import Member
    from crowrudder_model.declared import Bundle

MAX_INFLATED_BYTES = 16 * MAX_BUNDLE_BYTES


class PartError(CrowrudderError):
    """A part from a peer that is damaged or doesn't match its base."""


def bundle_part(
    active_config: ActiveConfig,
    *,
    known: Bundle | None,
) -> BundleUpdate | None:
    """Return the bundle in force, as a delta from the peer's if possible.

    Parameters
    ----------
    known
        The bundle that the peer has, if known here; None for a complete
        bundle.
    """
    if active_config.bundle is None:
        return None
    body = active_config.payload
    if known is not None:
        body = encode_message(delta_between(known, active_config.bundle))
    return BundleUpdate(
        digest=active_config.bundle.digest,
        revision=active_config.revision,
        base='' if known is None else known.digest,
        body=zlib.compress(body),
    )


def offer_of(part: BundleUpdate, base: Bundle | None, teller: str) -> Offer:
    """Return the offer in a part.

    Raises
    ------
    PartError
        If its base is another bundle than ``base``, or it is damaged.
    """
    payload = _inflated(part.body, teller)
    if part.base:
        if base is None or base.digest != part.base:
            raise PartError('delta from another bundle', step='take bundle')
        delta = decode_message(payload, BundleDelta, peer=teller)
        try:
            payload = apply_delta(base, delta, digest=part.digest)
        except BundleError as exc:
            raise PartError(str(exc), step='take bundle', peer=teller) from exc
    return Offer(payload=payload, revision=part.revision, teller=teller)


def members_part(
    listed: MemberList, edition: MemberListEdition
) -> MemberListUpdate:
    """Return the member list, as a delta from the peer's edition if possible."""
    delta = listed.delta_from(edition.digest)
    return MemberListUpdate(
        edition=listed.edition,
        base='' if delta is None else edition.digest,
        body=zlib.compress(encode_message(delta or listed.whole())),
    )


def members_of(
    part: MemberListUpdate,
    listed: MemberList,
    teller: str,
) -> tuple[Member, ...]:
    """Return the member list in a part.

    Raises
    ------
    CrowrudderError
        If it is damaged, or its base is a list that isn't known here.
    """
    delta = decode_message(
        _inflated(part.body, teller),
        MemberListDelta,
        peer=teller,
    )
    return listed.applied(delta, base=part.base, edition=part.edition)


def _inflated(body: bytes, peer: str) -> bytes:
    try:
        return inflate(body, max_bytes=MAX_INFLATED_BYTES, peer=peer)
    except MalformedMessageError as exc:
        raise PartError(exc.message, step=exc.step, peer=peer) from exc
