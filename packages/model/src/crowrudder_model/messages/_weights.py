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

    ``passes`` are, as bits, the chunks that the agent tried to read from the
    origin and leaves to the next in order; ``wants`` is false when it doesn't
    know that it shall have the version. ``loaded`` is the version with which
    the engine answers; ``busy`` tells how many upload slots are taken.
    """

    host: str
    version: str
    chunks: bytes
    loaded: str
    busy: int
    slots: int
    changing: bool = False
    passes: bytes = b''
    wants: bool = False


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
    """Ask for one chunk; ``stock`` is what the asking agent holds."""

    host: str
    version: str
    manifest: str
    index: int
    stock: StockReply | None = None


@frozen(kw_only=True)
class ChunkPiece:
    """Some bytes of a chunk, in order.

    The first piece tells what the agent holds; ``busy`` when no upload slot
    is free, ``absent`` when it doesn't hold the chunk. Then nothing follows.
    """

    payload: bytes = b''
    stock: StockReply | None = None
    busy: bool = False
    absent: bool = False
