"""A stand-in that is served for the time of a check."""

from __future__ import annotations

from crowrudder_daemon.http import ConnectionPool
from crowrudder_standins._serving import application


async def served(standin, check):
    """Run a check with a stand-in's address."""
    server = application(standin).listen(0, '127.0.0.1')
    port = next(iter(server._sockets.values())).getsockname()[1]
    pool = ConnectionPool()
    try:
        await check(f'127.0.0.1:{port}', pool)
    finally:
        pool.close()
        server.stop()
