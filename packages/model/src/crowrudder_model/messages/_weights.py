"""Messages between agents about chunks of weights."""

from __future__ import annotations

from attrs import frozen


@frozen(kw_only=True)
class StockAsk:
    """Ask which chunks of a version an agent holds, verified."""

    host: str
    version: str
    manifest: str


@frozen(kw_only=True)
class StockReply:
    """Bit i of ``chunks`` (little-endian) is set when chunk i is held.

    ``loaded`` is the version with which the engine answers; ``busy`` tells
    how many upload slots are taken.
    """

    host: str
    version: str
    chunks: bytes
    loaded: str
    busy: int
    slots: int
    changing: bool = False


@frozen(kw_only=True)
class ManifestAsk:
    """Ask for a version's manifest."""

    version: str
    manifest: str


@frozen(kw_only=True)
class ManifestReply:
    """The manifest's bytes; empty where the agent has none."""

    payload: bytes


@frozen(kw_only=True)
class ChunkAsk:
    """Ask for one chunk."""

    host: str
    version: str
    manifest: str
    index: int


@frozen(kw_only=True)
class ChunkReply:
    """The chunk's bytes; empty with ``busy`` when no slot is free."""

    payload: bytes
    busy: bool = False
