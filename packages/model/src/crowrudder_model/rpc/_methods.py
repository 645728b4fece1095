"""Name, message classes and streaming kind of each RPC method."""

from __future__ import annotations

import enum
from typing import Generic, TypeVar

from attrs import frozen

from crowrudder_model import messages

SERVICE_NAME = 'crowrudder.Peer'

_Ask = TypeVar('_Ask')
_Reply = TypeVar('_Reply')


class CallKind(enum.Enum):
    """Which sides of a call send a stream of messages."""

    UNARY = 'unary'
    DOWN_STREAM = 'down_stream'
    BOTH_STREAM = 'both_stream'


@frozen
class Method(Generic[_Ask, _Reply]):
    """One RPC method.

    Example
    -------
    >>> STOCK.path
    '/crowrudder.Peer/Stock'
    """

    name: str
    ask: type[_Ask]
    reply: type[_Reply]
    kind: CallKind = CallKind.UNARY

    @property
    def path(self) -> str:
        """The gRPC path of the method."""
        return f'/{SERVICE_NAME}/{self.name}'


RUN = Method('Run', messages.RunUp, messages.RunDown, CallKind.BOTH_STREAM)
SETTLE = Method(
    'Settle',
    messages.SettleAsk,
    messages.RunDown,
    CallKind.DOWN_STREAM,
)
ROOM = Method('Room', messages.RoomAsk, messages.RoomReply)
CANCEL = Method('Cancel', messages.Cancel, messages.Taken)
REPORTS = Method(
    'Reports',
    messages.ReportAsk,
    messages.Report,
    CallKind.DOWN_STREAM,
)
EXCHANGE = Method('Exchange', messages.Hello, messages.Hello)
TAKE = Method('Take', messages.TakeAsk, messages.Knowledge)
GIVE = Method('Give', messages.Knowledge, messages.Hello)
STOCK = Method('Stock', messages.StockAsk, messages.StockReply)
MANIFEST = Method('Manifest', messages.ManifestAsk, messages.ManifestReply)
CHUNK = Method(
    'Chunk',
    messages.ChunkAsk,
    messages.ChunkPiece,
    CallKind.DOWN_STREAM,
)
CLAIM = Method('Claim', messages.ClaimAsk, messages.ClaimReply)
RELEASE = Method('Release', messages.ReleaseAsk, messages.Taken)
HAND_OVER = Method('HandOver', messages.HandOver, messages.Taken)
CHANGES = Method('Changes', messages.ChangesAsk, messages.Changes)
AGES = Method('Ages', messages.AgesAsk, messages.Ages)
