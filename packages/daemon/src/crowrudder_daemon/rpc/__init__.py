"""gRPC between crowrudder processes; its retries and proxies are off."""

from crowrudder_daemon.rpc._client import PeerClient, PeerStream
from crowrudder_daemon.rpc._server import PeerServer

__all__ = ('PeerClient', 'PeerServer', 'PeerStream')
