"""Begin a transfer with the times that follow from sizes and link."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from attrs import evolve

from crowrudder_core.transfer._pacing import pace_for
from crowrudder_core.transfer._transfer import Transfer

if TYPE_CHECKING:
    from collections.abc import Mapping
    from random import Random

    from crowrudder_core.transfer._manifest import Manifest
    from crowrudder_core.transfer._peers import Place
    from crowrudder_core.transfer._store import ChunkStore


def transfer_of(
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
    """Begin a transfer with the times that follow from sizes and link.

    ``changes`` are those of the pace that a deployment wants otherwise.
    """
    pace = evolve(
        pace_for(
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
