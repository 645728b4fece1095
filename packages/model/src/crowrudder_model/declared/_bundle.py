"""The bundle: a declaration in its one canonical form, with its digest."""

from __future__ import annotations

import hashlib

import msgspec
from attrs import evolve, frozen

from crowrudder_model.declared._checks import faults_of
from crowrudder_model.declared._declaration import Declaration
from crowrudder_model.declared._sections import in_order

MOST_BUNDLE_BYTES = 1_000_000
SHOWN_FAULTS = 5


class BundleError(ValueError):
    """A value that can't be a bundle; the text says why.

    The bundle in force stays as it is.
    """


@frozen
class Bundle:
    """A declaration and the digest that names it.

    >>> len(bundle_of(Declaration(1)).digest)
    64
    """

    declaration: Declaration
    digest: str


def bundle_of(declaration: Declaration) -> Bundle:
    """Bring a declaration into its canonical order, and name it."""
    ordered = in_order(declaration)
    return Bundle(ordered, digest_of(ordered))


def digest_of(declaration: Declaration) -> str:
    """Give the SHA-256 of the canonical declaration."""
    canonical = msgspec.json.encode(in_order(declaration), order='sorted')
    return hashlib.sha256(canonical).hexdigest()


def encode_bundle(declaration: Declaration) -> bytes:
    """Write the value that is published.

    Raises
    ------
    BundleError
        when the value is over a megabyte.
    """
    encoded = msgspec.json.encode(bundle_of(declaration), order='sorted')
    _refuse_oversize(encoded)
    return encoded


def decode_bundle(encoded: bytes) -> Bundle:
    """Read a published value as a whole, or refuse it as a whole.

    Raises
    ------
    BundleError
        when the value is garbage, half, too large, or against the rules.
    """
    _refuse_oversize(encoded)
    try:
        bundle = msgspec.json.decode(encoded, type=Bundle)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        raise BundleError(f'not a bundle: {exc}') from exc
    # A half value that is still JSON, and a key that this release doesn't
    # know, both show here: the digest is taken over what was understood.
    digest = digest_of(bundle.declaration)
    if digest != bundle.digest:
        raise BundleError(
            f'wrong digest: the value says {bundle.digest[:64]!r}, '
            f'its content has {digest!r}',
        )
    _refuse_faults(bundle.declaration)
    return evolve(bundle, declaration=in_order(bundle.declaration))


def _refuse_oversize(encoded: bytes) -> None:
    if len(encoded) > MOST_BUNDLE_BYTES:
        raise BundleError(
            f'too large: {len(encoded)} bytes, '
            f'allowed: {MOST_BUNDLE_BYTES} at most',
        )


def _refuse_faults(declaration: Declaration) -> None:
    faults = faults_of(declaration)
    if faults:
        shown = '; '.join(str(fault) for fault in faults[:SHOWN_FAULTS])
        raise BundleError(f'{len(faults)} faults: {shown}')
