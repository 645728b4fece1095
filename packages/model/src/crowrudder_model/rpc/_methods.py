"""Name, message classes and streaming kind of each RPC method."""

from __future__ import annotations

import enum
from typing import Generic, TypeVar

from attrs import frozen

from crowrudder_model import messages

SERVICE_NAME = 'crowrudder.Peer'

_Request = TypeVar('_Request')
_Reply = TypeVar('_Reply')


class CallKind(enum.Enum):
    """Which sides of a call send a stream of messages."""

    UNARY = 'unary'
    DOWN_STREAM = 'down_stream'
    BOTH_STREAM = 'both_stream'


@frozen
class Method(Generic[_Request, _Reply]):
    """One RPC method.

    Example
    -------
    >>> STOCK.path
    '/crowrudder.Peer/Stock'
    """

    name: str
    request_class: type[_Request]
    reply_class: type[_Reply]
    kind: CallKind = CallKind.UNARY

    @property
    def path(self) -> str:
        """The gRPC path of the method."""
        return f'/{SERVICE_NAME}/{self.name}'


RUN = Method(
    'Run',
    messages.RunClientMessage,
    messages.RunServerMessage,
    CallKind.BOTH_STREAM,
)
SETTLE = Method(
    'Settle',
    messages.SettleRequest,
    messages.RunServerMessage,
    CallKind.DOWN_STREAM,
)
ROOM = Method('Room', messages.CapacityRequest, messages.CapacityReply)
CANCEL = Method('Cancel', messages.Cancel, messages.AcceptedCount)
REPORTS = Method(
    'Reports',
    messages.ReportRequest,
    messages.Report,
    CallKind.DOWN_STREAM,
)
EXCHANGE = Method('Exchange', messages.Hello, messages.Hello)
TAKE = Method('Take', messages.SnapshotRequest, messages.Knowledge)
GIVE = Method('Give', messages.Knowledge, messages.Hello)
STOCK = Method('Stock', messages.InventoryRequest, messages.InventoryReply)
MANIFEST = Method('Manifest', messages.ManifestRequest, messages.ManifestReply)
CHUNK = Method(
    'Chunk',
    messages.ChunkRequest,
    messages.ChunkPiece,
    CallKind.DOWN_STREAM,
)
CLAIM = Method('Claim', messages.ClaimRequest, messages.ClaimReply)
RELEASE = Method('Release', messages.ReleaseRequest, messages.AcceptedCount)
HAND_OVER = Method('HandOver', messages.HandOver, messages.AcceptedCount)
CHANGES = Method('Changes', messages.ChangesRequest, messages.Changes)
PROBE = Method('Probe', messages.ProbeRequest, messages.ProbeReply)
AGES = Method('Ages', messages.AgesRequest, messages.Ages)
