"""Messages with which agents transfer chunks of weights."""

from __future__ import annotations

from attrs import frozen


@frozen(kw_only=True)
class InventoryRequest:
    """Request which verified chunks of a version an agent holds."""

    host: str
    version: str
    manifest: str


@frozen(kw_only=True)
class InventoryReply:
    """Bit i of ``chunks`` (little-endian) is set when chunk i is held.

    ``passes`` are, as bits, the chunks that the agent tried to read from the
    origin and leaves to the next agent in order; ``wants`` is false if it
    doesn't know that it should hold the version. ``loaded`` is the version
    with which the engine answers; ``busy`` is the number of upload slots in
    use, out of ``slots``.
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
class ManifestRequest:
    """Request a version's manifest."""

    version: str
    manifest: str


@frozen(kw_only=True)
class ManifestReply:
    """The manifest's bytes; empty if the agent has none."""

    payload: bytes


@frozen(kw_only=True)
class ChunkRequest:
    """Request one chunk; ``stock`` is the inventory of the requesting agent.

    ``bytes_per_s`` limits the rate at which it is sent; 0 for no limit.
    """

    host: str
    version: str
    manifest: str
    index: int
    stock: InventoryReply | None = None
    bytes_per_s: int = 0


@frozen(kw_only=True)
class ChunkPiece:
    """Some bytes of a chunk, in order.

    The first piece carries the sender's inventory as ``stock``. It sets
    ``busy`` if no upload slot is free and ``absent`` if the sender doesn't
    hold the chunk; in both cases no piece follows.
    """

    payload: bytes = b''
    stock: InventoryReply | None = None
    busy: bool = False
    absent: bool = False
