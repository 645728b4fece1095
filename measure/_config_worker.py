"""Run the knowledge tasks of several fleet members in one process.

Usage: _config_worker.py PLATFORM POLL_S < one line of JSON members

Each member gets a `KnowledgeTask` of the daemon with its own server, channels
and real sockets; only the interpreter is shared, so that large fleets fit one
machine. Prints a line of JSON for each bundle that comes into force. Commands
on standard input: ``stop HOST`` and ``start HOST``.
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


class WorkerMember:
    """A member's knowledge task and the order of its last bundle."""

    def __init__(self, member: dict[str, Any], platform: str, poll_s: float):
        keys = ('host', 'role', 'address', 'rpc_port', 'admin_port')
        location_keys = ('http_port', 'region', 'failure_domain')
        process = ProcessSection(
            **{key: member[key] for key in (*keys, *location_keys)},
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
        """Report a bundle that came into force."""
        if snapshot.order == self.order:
            return
        self.order = snapshot.order
        write_line(
            host=self.host,
            incarnation=self.runtime.incarnation,
            generation=snapshot.order[0],
            digest=snapshot.order[1],
            at=time.monotonic(),
        )

    async def start(self) -> None:
        """Start the server and the knowledge task."""
        self.task.serve(self.server)
        await self.server.start()
        self.task.start()

    async def stop(self) -> None:
        """Stop without a notice to other members."""
        await self.server.stop(0)
        await self.task.stop()


def write_line(**facts: Any) -> None:
    """Write the facts as one line of JSON."""
    print(json.dumps(facts), flush=True)


async def main() -> None:
    """Run all members and execute commands until the input ends."""
    logging.disable(logging.CRITICAL)
    platform, poll_s = sys.argv[1], float(sys.argv[2])
    reader = asyncio.StreamReader(limit=LINE_BYTES)
    await asyncio.get_running_loop().connect_read_pipe(
        partial(asyncio.StreamReaderProtocol, reader),
        sys.stdin,
    )
    members = json.loads(await reader.readline())
    by_host = {member['host']: member for member in members}
    running = {
        host: WorkerMember(member, platform, poll_s)
        for host, member in by_host.items()
    }
    for started in running.values():
        await started.start()
    write_line(ready=len(running))
    while line := (await reader.readline()).decode().split():
        command, host = line
        if command == 'stop':
            await running.pop(host).stop()
        if command == 'start':
            running[host] = WorkerMember(by_host[host], platform, poll_s)
            await running[host].start()


if __name__ == '__main__':
    asyncio.run(main())
