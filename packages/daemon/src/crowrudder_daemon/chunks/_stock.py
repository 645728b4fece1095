"""What agents tell each other of the chunks that they hold."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

from crowrudder_core.transfer import Stock, pack, unpack
from crowrudder_model import InvariantError
from crowrudder_model.messages import StockReply

if TYPE_CHECKING:
    from crowrudder_core.transfer import Transfer


@define
class UploadSlots:
    """Chunks that may be sent at the same time."""

    total: int
    taken: int = 0

    def take(self) -> bool:
        """Take a slot if one is free."""
        if self.taken >= self.total:
            return False
        self.taken += 1
        return True

    def release(self) -> None:
        """Free a slot."""
        if self.taken <= 0:
            raise InvariantError('a slot that nobody holds', step='upload')
        self.taken -= 1


@define
class EngineNote:
    """What other agents are told of this host's engine."""

    loaded: str = ''
    changing: bool = False
    wanted: frozenset[str] = frozenset()


def note_stock(transfer: Transfer, reply: StockReply, *, now: float) -> None:
    """Tell a transfer what another agent holds of its version."""
    if reply.version != transfer.manifest.version:
        return
    stock = Stock(
        host=reply.host,
        chunks=unpack(reply.chunks, transfer.count),
        passes=unpack(reply.passes, transfer.count),
        busy=reply.busy,
        slots=reply.slots,
        wants=reply.wants,
    )
    transfer.on_stock(stock, now=now)


def stock_of(
    host: str,
    version: str,
    transfer: Transfer | None,
    *,
    slots: UploadSlots,
    note: EngineNote,
) -> StockReply:
    """Tell what this host holds of a version."""
    held = passes = b''
    if transfer is not None:
        held = pack(transfer.at_hand, transfer.count)
        passes = pack(transfer.origin.passes, transfer.count)
    return StockReply(
        host=host,
        version=version,
        chunks=held,
        loaded=note.loaded,
        busy=slots.taken,
        slots=slots.total,
        changing=note.changing,
        passes=passes,
        wants=version in note.wanted,
    )
