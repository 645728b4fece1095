"""gRPC between crowrudder processes, with the library's extras switched off."""

from crowrudder_daemon.rpc._client import PeerClient, PeerStream
from crowrudder_daemon.rpc._server import PeerServer

__all__ = ('PeerClient', 'PeerServer', 'PeerStream')
