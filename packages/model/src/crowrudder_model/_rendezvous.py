"""Rendezvous hashing: all processes choose alike, and few choices move."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def score(key: str, node: str) -> int:
    """Compute the score of a node for a key; the highest ranks first."""
    # Names can't contain the bar, so different pairs have different bytes.
    return xxhash.xxh3_64_intdigest(f'{key}|{node}'.encode())


def ranked(key: str, nodes: Iterable[str]) -> list[str]:
    """Return the nodes by descending score for a key, ties by name."""
    return sorted(nodes, key=lambda node: (-score(key, node), node))
