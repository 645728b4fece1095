"""Rendezvous order: the same choice everywhere, with few moves."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def score(key: str, node: str) -> int:
    """Weigh a node for a key; the highest score goes first."""
    # The bar can't stand in a name, so no two pairs share their bytes.
    return xxhash.xxh3_64_intdigest(f'{key}|{node}'.encode())


def ranked(key: str, nodes: Iterable[str]) -> list[str]:
    """Order the nodes for a key, best first; equal scores by name."""
    return sorted(nodes, key=lambda node: (-score(key, node), node))
