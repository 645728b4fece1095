"""Links between processes that can be cut, frozen, slowed and healed.

Every target listens on its own port, and the relay on the port that others
are told. Whose connection came in follows from the system's table of sockets,
so that one port of a target serves links to all of its peers.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
from pathlib import Path
from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator, Mapping

_PIECE_BYTES = 65_536
# Some libraries call IPv4 addresses from sockets of IPv6.
_TABLES = (Path('/proc/net/tcp'), Path('/proc/net/tcp6'))
_LOCAL, _INODE = 1, 9


def owners_of(ports: Iterable[int], pids: Mapping[str, int]) -> dict[int, str]:
    """Name the processes whose outgoing connections have these local ports.

    A port that none of them has is left out.
    """
    by_mark = {f':{port:04X}': port for port in ports}
    sockets = {}
    lines = [
        line for table in _TABLES for line in table.read_text().splitlines()
    ]
    for row in map(str.split, lines):
        port = by_mark.get(row[_LOCAL][-len(':0000') :])
        if port is not None:
            sockets[f'socket:[{row[_INODE]}]'] = port
    owners: dict[int, str] = {}
    for name, pid in pids.items():
        for opened in _opened(pid):
            if opened in sockets:
                owners[sockets.pop(opened)] = name
        if not sockets:
            break
    return owners


def _opened(pid: int) -> Iterator[str]:
    # A process may end, and a file be closed, while they are listed.
    with contextlib.suppress(OSError):
        for each in os.listdir(f'/proc/{pid}/fd'):
            with contextlib.suppress(OSError):
                yield os.readlink(f'/proc/{pid}/fd/{each}')


@define(eq=False)
class _Callers:
    """Tells who opened a connection.

    The system's tables are slow to read, so that one reading serves all the
    connections that came in during the last one.
    """

    _pids: Callable[[], Mapping[str, int]]
    _waiting: dict[int, asyncio.Future[str]] = field(factory=dict)
    _reading: asyncio.Task[None] | None = None

    async def name(self, port: int) -> str:
        """Name the process with this outgoing port, or nothing."""
        named = asyncio.get_running_loop().create_future()
        self._waiting[port] = named
        if self._reading is None or self._reading.done():
            self._reading = asyncio.create_task(self._read())
        return await named

    async def _read(self) -> None:
        while self._waiting:
            waiting, self._waiting = self._waiting, {}
            owners = await asyncio.to_thread(
                owners_of, list(waiting), self._pids()
            )
            for port, named in waiting.items():
                if not named.done():
                    named.set_result(owners.get(port, ''))


@define(eq=False)
class Link:
    """Bytes from one process to another, whoever opened the connection."""

    delay_s: float = 0
    passes: asyncio.Event = field(factory=asyncio.Event)

    def __attrs_post_init__(self) -> None:
        self.passes.set()


@define(eq=False)
class _Joined:
    """Two sockets that belong together, between two processes."""

    pair: frozenset[str]
    writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter]

    def abort(self) -> None:
        for writer in self.writers:
            writer.transport.abort()


@define(eq=False)
class _Target:
    """A process behind the relay: where it listens, and where others call."""

    address: str
    listed_port: int
    own_port: int
    server: asyncio.Server | None = None


@define(eq=False)
class Relay:
    """The links between named processes.

    Parameters
    ----------
    pids
        Gives the running processes by name.
    """

    _pids: Callable[[], Mapping[str, int]]
    _callers: _Callers = field(init=False)
    _targets: dict[str, _Target] = field(factory=dict)
    _links: dict[tuple[str, str], Link] = field(factory=dict)
    _cuts: list[frozenset[str]] = field(factory=list)
    _joined: set[_Joined] = field(factory=set)
    _jobs: set[asyncio.Task[None]] = field(factory=set)

    def __attrs_post_init__(self) -> None:
        self._callers = _Callers(self._pids)

    def add(
        self, name: str, address: str, *, listed_port: int, own_port: int
    ) -> None:
        """Stand before a process; `listen` opens the port."""
        self._targets[name] = _Target(address, listed_port, own_port)

    async def listen(self, name: str) -> None:
        """Accept connections for a process that has started.

        One that the relay doesn't stand before is left alone.
        """
        target = self._targets.get(name)
        if target is None or target.server is not None:
            return

        def on_connection(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            job = asyncio.create_task(self._serve(name, reader, writer))
            self._jobs.add(job)
            job.add_done_callback(self._jobs.discard)

        target.server = await asyncio.start_server(
            on_connection, target.address, target.listed_port
        )

    def close(self, name: str) -> None:
        """Refuse connections, as the port of an ended process does."""
        target = self._targets.get(name)
        if target is not None and target.server is not None:
            target.server.close()
            target.server = None

    def reset(self, name: str) -> None:
        """Break all connections to a process, as its end does."""
        for joined in list(self._joined):
            if name in joined.pair:
                joined.abort()

    def close_all(self) -> None:
        """End all links."""
        for name in self._targets:
            self.close(name)
        for job in self._jobs:
            job.cancel()

    def link(self, source: str, target: str) -> Link:
        """Give the bytes from one process to another."""
        return self._links.setdefault((source, target), Link())

    def freeze(self, source: str, target: str) -> None:
        """Hold all bytes in one direction; nobody is told."""
        self.link(source, target).passes.clear()

    def thaw(self, source: str, target: str) -> None:
        """Let the held bytes go on."""
        self.link(source, target).passes.set()

    def cut(self, pairs: Iterable[frozenset[str]]) -> None:
        """Break the connections of pairs and close each new one at once."""
        broken = list(pairs)
        self._cuts.extend(broken)
        for joined in list(self._joined):
            if joined.pair in broken:
                joined.abort()

    def heal(self, pairs: Iterable[frozenset[str]]) -> None:
        """Undo one `cut` of the same pairs."""
        for pair in pairs:
            self._cuts.remove(pair)

    async def _serve(
        self,
        name: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        port = writer.get_extra_info('peername')[1]
        caller = await self._callers.name(port)
        pair = frozenset((caller, name))
        if not caller or pair in self._cuts:
            writer.transport.abort()
            return
        target = self._targets[name]
        try:
            onward, back = await asyncio.open_connection(
                target.address, target.own_port
            )
        except OSError:
            writer.transport.abort()
            return
        joined = _Joined(pair, (writer, back))
        self._joined.add(joined)
        try:
            await asyncio.gather(
                _pump(reader, back, self.link(caller, name)),
                _pump(onward, writer, self.link(name, caller)),
            )
        except OSError:
            # A reset on one side has to be one on the other.
            pass
        finally:
            self._joined.discard(joined)
            joined.abort()


async def _pump(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, link: Link
) -> None:
    """Copy one direction up to its end."""
    while piece := await reader.read(_PIECE_BYTES):
        await link.passes.wait()
        await asyncio.sleep(link.delay_s)
        writer.write(piece)
        await writer.drain()
    await link.passes.wait()
    if writer.can_write_eof():
        writer.write_eof()
