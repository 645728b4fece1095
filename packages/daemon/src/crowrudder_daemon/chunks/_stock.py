"""Chunk inventories that agents exchange."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

from crowrudder_core.transfer import PeerInventory, pack, unpack
from crowrudder_model import InvariantError
from crowrudder_model.messages import InventoryReply

if TYPE_CHECKING:
    from crowrudder_core.transfer import Transfer


@define
class UploadSlots:
    """Limits the number of chunks that are sent concurrently."""

    total: int
    taken: int = 0

    def take(self) -> bool:
        """Acquire a slot; return whether one was free."""
        if self.taken >= self.total:
            return False
        self.taken += 1
        return True

    def release(self) -> None:
        """Release a slot."""
        if self.taken <= 0:
            raise InvariantError('a slot that nobody holds', step='upload')
        self.taken -= 1


@define
class EngineStatus:
    """State of this host's engine that is reported to other agents."""

    loaded: str = ''
    changing: bool = False
    wanted: frozenset[str] = frozenset()


def apply_inventory(
    transfer: Transfer, reply: InventoryReply, *, now: float
) -> None:
    """Apply another agent's inventory to a transfer of the same version."""
    if reply.version != transfer.manifest.version:
        return
    inventory = PeerInventory(
        host=reply.host,
        chunks=unpack(reply.chunks, transfer.count),
        passes=unpack(reply.passes, transfer.count),
        busy=reply.busy,
        slots=reply.slots,
        wants=reply.wants,
    )
    transfer.on_inventory(inventory, now=now)


def build_inventory(
    host: str,
    version: str,
    transfer: Transfer | None,
    *,
    slots: UploadSlots,
    engine_status: EngineStatus,
) -> InventoryReply:
    """Return this host's inventory of a version."""
    held = passes = b''
    if transfer is not None:
        held = pack(transfer.servable_chunks, transfer.count)
        passes = pack(transfer.origin.passes, transfer.count)
    return InventoryReply(
        host=host,
        version=version,
        chunks=held,
        loaded=engine_status.loaded,
        busy=slots.taken,
        slots=slots.total,
        changing=engine_status.changing,
        passes=passes,
        wants=version in engine_status.wanted,
    )
