"""Several processes' knowledge in one, with real sockets, for large fleets.

Usage: _config_worker.py PLATFORM POLL_S < one line of JSON members

Each member of the line gets a `KnowledgeTask` of the daemon with a server and
channels of its own; only the interpreter is shared. Prints a line of JSON for
each bundle that comes into force. Commands on standard input: ``stop HOST``.
"""

from __future__ import annotations

import asyncio
import json
import logging
import sys
import time
from functools import partial
from typing import TYPE_CHECKING, Any

from crowrudder_daemon.knowledge import KnowledgeTask
from crowrudder_daemon.process import Runtime
from crowrudder_daemon.rpc import PeerServer
from crowrudder_daemon.settings import (
    PlatformSection,
    ProcessSection,
    Settings,
)

if TYPE_CHECKING:
    from crowrudder_daemon.knowledge import Snapshot

LINE_BYTES = 1 << 22


class Known:
    """One member's knowledge, and what it was last."""

    def __init__(self, member: dict[str, Any], platform: str, poll_s: float):
        keys = ('host', 'role', 'address', 'rpc_port', 'admin_port')
        places = ('http_port', 'region', 'failure_domain')
        process = ProcessSection(
            **{key: member[key] for key in (*keys, *places)},
        )
        self.host = member['host']
        self.runtime = Runtime(
            cfg=Settings(
                process=process,
                platform=PlatformSection(address=platform, poll_s=poll_s),
            ),
            log=logging.getLogger(self.host),
        )
        self.task = KnowledgeTask(self.runtime, self.on_change)
        self.server = PeerServer(f'{process.address}:{process.rpc_port}')
        self.order: tuple[int, str] = (0, '')

    def on_change(self, snapshot: Snapshot) -> None:
        """Tell of a bundle that came into force."""
        if snapshot.order == self.order:
            return
        self.order = snapshot.order
        say(
            host=self.host,
            life=self.runtime.incarnation,
            generation=snapshot.order[0],
            digest=snapshot.order[1],
            at=time.monotonic(),
        )

    async def start(self) -> None:
        """Listen and learn."""
        self.task.serve(self.server)
        await self.server.start()
        self.task.start()

    async def stop(self) -> None:
        """Be gone, without a word."""
        await self.server.stop(0)
        await self.task.stop()


def say(**facts: Any) -> None:
    """Write a line."""
    print(json.dumps(facts), flush=True)


async def main() -> None:
    """Run until the input ends."""
    logging.disable(logging.CRITICAL)
    platform, poll_s = sys.argv[1], float(sys.argv[2])
    reader = asyncio.StreamReader(limit=LINE_BYTES)
    await asyncio.get_running_loop().connect_read_pipe(
        partial(asyncio.StreamReaderProtocol, reader),
        sys.stdin,
    )
    members = json.loads(await reader.readline())
    by_host = {member['host']: member for member in members}
    known = {
        host: Known(member, platform, poll_s)
        for host, member in by_host.items()
    }
    for started in known.values():
        await started.start()
    say(ready=len(known))
    while line := (await reader.readline()).decode().split():
        command, host = line
        if command == 'stop':
            await known.pop(host).stop()
        if command == 'start':
            known[host] = Known(by_host[host], platform, poll_s)
            await known[host].start()


if __name__ == '__main__':
    asyncio.run(main())
