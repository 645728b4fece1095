"""The bundle: a declaration in its canonical form, with its digest."""

from __future__ import annotations

import hashlib

import msgspec
from attrs import evolve, frozen

from crowrudder_model.declared._checks import faults_of
from crowrudder_model.declared._declaration import Declaration
from crowrudder_model.declared._sections import canonical_order

MAX_BUNDLE_BYTES = 1_000_000
MAX_REPORTED_FAULTS = 5


class BundleError(ValueError):
    """A value that isn't a valid bundle; the message says why.

    The bundle in force stays in force.
    """


@frozen
class Bundle:
    """A declaration and the digest that identifies it.

    >>> len(bundle_of(Declaration(1)).digest)
    64
    """

    declaration: Declaration
    digest: str


def bundle_of(declaration: Declaration) -> Bundle:
    """Return the bundle of a declaration: canonical order and digest."""
    ordered = canonical_order(declaration)
    return Bundle(ordered, digest_of(ordered))


def digest_of(declaration: Declaration) -> str:
    """Return the SHA-256 of the canonical form of a declaration."""
    canonical = msgspec.json.encode(
        canonical_order(declaration), order='sorted'
    )
    return hashlib.sha256(canonical).hexdigest()


def encode_bundle(declaration: Declaration) -> bytes:
    """Encode a declaration as the value to publish.

    Raises
    ------
    BundleError
        When the value is larger than a megabyte.
    """
    encoded = msgspec.json.encode(bundle_of(declaration), order='sorted')
    _refuse_oversize(encoded)
    return encoded


def decode_bundle(encoded: bytes) -> Bundle:
    """Decode and check a published value; reject it if any part is invalid.

    Raises
    ------
    BundleError
        When the value is malformed, truncated, too large, or breaks a rule.
    """
    _refuse_oversize(encoded)
    try:
        bundle = msgspec.json.decode(encoded, type=Bundle)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        raise BundleError(f'not a bundle: {exc}') from exc
    # The digest covers only what was decoded, so that this check also finds a
    # truncated value that is still JSON, and a key unknown to this release.
    digest = digest_of(bundle.declaration)
    if digest != bundle.digest:
        raise BundleError(
            f'wrong digest: the value says {bundle.digest[:64]!r}, '
            f'its content has {digest!r}',
        )
    _refuse_faults(bundle.declaration)
    return evolve(bundle, declaration=canonical_order(bundle.declaration))


def _refuse_oversize(encoded: bytes) -> None:
    if len(encoded) > MAX_BUNDLE_BYTES:
        raise BundleError(
            f'too large: {len(encoded)} bytes, '
            f'allowed: {MAX_BUNDLE_BYTES} at most',
        )


def _refuse_faults(declaration: Declaration) -> None:
    faults = faults_of(declaration)
    if faults:
        reported = '; '.join(
            str(fault) for fault in faults[:MAX_REPORTED_FAULTS]
        )
        raise BundleError(f'{len(faults)} faults: {reported}')
