"""Name and manifest digest that identify weights in requests of agents."""

from __future__ import annotations

from attrs import frozen


@frozen
class Artifact:
    """Weights at the origin: a version or an adapter, and its manifest."""

    name: str
    manifest: str
