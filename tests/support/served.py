"""A stand-in server that runs during a check."""

from __future__ import annotations

from crowrudder_daemon.http import ConnectionPool
from crowrudder_standins._serving import application


async def served(standin, check):
    """Serve a stand-in and run a check with its address."""
    server = application(standin).listen(0, '127.0.0.1')
    port = next(iter(server._sockets.values())).getsockname()[1]
    pool = ConnectionPool()
    try:
        await check(f'127.0.0.1:{port}', pool)
    finally:
        pool.close()
        server.stop()
