"""Start a transfer with limits derived from the sizes and the link."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from attrs import evolve

from crowrudder_core.transfer._pacing import derive_pacing
from crowrudder_core.transfer._transfer import Transfer

if TYPE_CHECKING:
    from collections.abc import Mapping
    from random import Random

    from crowrudder_core.transfer._manifest import Manifest
    from crowrudder_core.transfer._peers import Place
    from crowrudder_core.transfer._store import ChunkStore


def start_transfer(
    manifest: Manifest,
    *,
    host: str,
    place: Place,
    store: ChunkStore,
    link_bytes_per_s: float,
    random: Random,
    copies: int = 1,
    manifest_digest: str = '',
    changes: Mapping[str, Any] | None = None,
) -> Transfer:
    """Start a transfer with limits derived from the sizes and the link.

    ``changes`` overrides fields of the derived `PacingConfig`.
    """
    pace = evolve(
        derive_pacing(
            size=manifest.size,
            chunk_bytes=manifest.chunk_bytes,
            link_bytes_per_s=link_bytes_per_s,
        ),
        **(changes or {}),
    )
    return Transfer(
        manifest=manifest,
        host=host,
        place=place,
        store=store,
        pace=pace,
        random=random,
        copies=copies,
        manifest_digest=manifest_digest,
    )
