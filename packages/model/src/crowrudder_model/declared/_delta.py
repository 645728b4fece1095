"""Deltas between bundles, small enough to send for each change."""

from __future__ import annotations

from attrs import evolve, frozen

from crowrudder_model.declared._bundle import (
    Bundle,
    BundleError,
    bundle_of,
    encode_bundle,
)
from crowrudder_model.declared._checks import section_of
from crowrudder_model.declared._declaration import Declaration, PartT
from crowrudder_model.declared._parts import Part


@frozen(kw_only=True)
class BundleDelta:
    """The delta from one bundle to another.

    ``put`` carries the generation, the parent and the parts that are new or
    changed; ``dropped`` names the sections that were removed.
    """

    put: Declaration
    dropped: tuple[str, ...] = ()


def delta_between(before: Bundle, after: Bundle) -> BundleDelta:
    """Compute the delta that turns one bundle into the other.

    >>> old, new = bundle_of(Declaration(1)), bundle_of(Declaration(2))
    >>> delta_between(old, new).put.generation
    2
    """
    old, new = before.declaration, after.declaration
    present = {section_of(part) for part in new.parts()}
    return BundleDelta(
        put=evolve(
            new,
            services=_changed(old.services, new.services),
            models=_changed(old.models, new.models),
            versions=_changed(old.versions, new.versions),
            adapters=_changed(old.adapters, new.adapters),
            customers=_changed(old.customers, new.customers),
        ),
        dropped=tuple(
            section_of(part)
            for part in old.parts()
            if section_of(part) not in present
        ),
    )


def apply_delta(before: Bundle, delta: BundleDelta, *, digest: str) -> bytes:
    """Return the encoded bundle that results from a delta.

    Raises
    ------
    BundleError
        When the result doesn't have that digest.
    """
    put, old = delta.put, before.declaration
    dropped_sections = frozenset(delta.dropped)
    after = evolve(
        put,
        services=_merged(old.services, put.services, dropped_sections),
        models=_merged(old.models, put.models, dropped_sections),
        versions=_merged(old.versions, put.versions, dropped_sections),
        adapters=_merged(old.adapters, put.adapters, dropped_sections),
        customers=_merged(old.customers, put.customers, dropped_sections),
    )
    found = bundle_of(after).digest
    if found != digest:
        raise BundleError(
            f'a delta led to {found[:64]!r} in place of {digest[:64]!r}',
        )
    return encode_bundle(after)


def _changed(
    before: tuple[PartT, ...],
    after: tuple[PartT, ...],
) -> tuple[PartT, ...]:
    known = frozenset(before)
    return tuple(part for part in after if part not in known)


def _merged(
    before: tuple[PartT, ...],
    put: tuple[PartT, ...],
    dropped_sections: frozenset[str],
) -> tuple[PartT, ...]:
    merged = {
        part.name: part
        for part in before
        if not _is_dropped(part, dropped_sections)
    }
    merged.update({part.name: part for part in put})
    return tuple(merged.values())


def _is_dropped(part: Part, sections: frozenset[str]) -> bool:
    return section_of(part) in sections
