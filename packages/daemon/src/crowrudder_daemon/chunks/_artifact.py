"""Weights by the name and the digest under which agents ask for them."""

from __future__ import annotations

from attrs import frozen


@frozen
class Artifact:
    """Weights at the origin: a version or an adapter, and its manifest."""

    name: str
    manifest: str
