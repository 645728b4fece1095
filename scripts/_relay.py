"""TCP relay whose links can be cut, paused, delayed and restored.

Every target listens on its own port, and the relay on the advertised port. The
process that opened a connection is found in the system's socket tables, so that
one port of a target serves the links to all of its peers.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import struct
from pathlib import Path
from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from asyncio.trsock import TransportSocket
    from collections.abc import Callable, Iterable, Iterator, Mapping

_READ_BYTES = 65_536
# Some libraries connect to IPv4 addresses from IPv6 sockets.
_TABLES = (Path('/proc/net/tcp'), Path('/proc/net/tcp6'))
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
_LOCAL, _INODE = 1, 9


def owners_of(ports: Iterable[int], pids: Mapping[str, int]) -> dict[int, str]:
    """Return the names of the processes that own these local ports.

    A port that none of them owns is omitted.
    """
    port_by_suffix = {f':{port:04X}': port for port in ports}
    sockets = {}
    lines = [
        line for table in _TABLES for line in table.read_text().splitlines()
    ]
    for row in map(str.split, lines):
        port = port_by_suffix.get(row[_LOCAL][-len(':0000') :])
        if port is not None:
            sockets[f'socket:[{row[_INODE]}]'] = port
    owners: dict[int, str] = {}
    for name, pid in pids.items():
        for open_file in _open_files(pid):
            if open_file in sockets:
                owners[sockets.pop(open_file)] = name
        if not sockets:
            break
    return owners


def _open_files(pid: int) -> Iterator[str]:
    # A process may end or close a file during the listing.
    with contextlib.suppress(OSError):
        for each in os.listdir(f'/proc/{pid}/fd'):
            with contextlib.suppress(OSError):
                yield os.readlink(f'/proc/{pid}/fd/{each}')


@define(eq=False)
class _ConnectionOwners:
    """Finds the process that opened a connection.

    The system's socket tables are slow to read, so one read serves all the
    connections that arrived during the previous read.
    """

    _pids: Callable[[], Mapping[str, int]]
    _waiting: dict[int, asyncio.Future[str]] = field(factory=dict)
    _reading: asyncio.Task[None] | None = None

    async def name(self, port: int) -> str:
        """Return the process that owns this outgoing port; empty for none."""
        owner = asyncio.get_running_loop().create_future()
        self._waiting[port] = owner
        if self._reading is None or self._reading.done():
            self._reading = asyncio.create_task(self._read())
        return await owner

    async def _read(self) -> None:
        while self._waiting:
            waiting, self._waiting = self._waiting, {}
            owners = await asyncio.to_thread(
                owners_of, list(waiting), self._pids()
            )
            for port, owner in waiting.items():
                if not owner.done():
                    owner.set_result(owners.get(port, ''))


@define(eq=False)
class Link:
    """One direction between two processes, whichever opened the connection.

    ``delay_s`` is its latency; ``queue_s`` is the further delay by a queue.
    """

    delay_s: float = 0
    queue_s: float = 0
    unpaused: asyncio.Event = field(factory=asyncio.Event)

    def __attrs_post_init__(self) -> None:
        self.unpaused.set()


@define(eq=False)
class _ConnectionPair:
    """The two sockets of one relayed connection between two processes.

    The second one is that of ``target``, which accepted the connection.
    """

    pair: frozenset[str]
    target: str
    writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter]
    target_reader: asyncio.StreamReader

    def abort(self, *, is_reset: bool = False) -> None:
        """Close both sockets at once, with a reset if asked for."""
        for writer in self.writers:
            sock = writer.get_extra_info('socket')
            if is_reset and sock.fileno() >= 0:
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
                )
            writer.transport.abort()

    def end_target(self) -> None:
        """Close the target's socket after what the target has sent.

        An orderly end, unless the target has reset the connection already:
        the event loop may not have read its last bytes and the reset yet.
        """
        writer = self.writers[1]
        if not writer.transport.is_closing():
            _read_rest(writer.get_extra_info('socket'), self.target_reader)
        writer.transport.abort()


@define(eq=False)
class _Target:
    """A process behind the relay, with its own and its advertised port."""

    address: str
    listed_port: int
    own_port: int
    server: asyncio.Server | None = None


@define(eq=False)
class Relay:
    """The links between processes.

    Parameters
    ----------
    pids
        Returns the pids of the running processes by name.
    """

    _pids: Callable[[], Mapping[str, int]]
    _owners: _ConnectionOwners = field(init=False)
    _targets: dict[str, _Target] = field(factory=dict)
    _links: dict[tuple[str, str], Link] = field(factory=dict)
    _cuts: list[frozenset[str]] = field(factory=list)
    _connections: set[_ConnectionPair] = field(factory=set)
    _jobs: set[asyncio.Task[None]] = field(factory=set)

    def __attrs_post_init__(self) -> None:
        self._owners = _ConnectionOwners(self._pids)

    def add(
        self, name: str, address: str, *, listed_port: int, own_port: int
    ) -> None:
        """Register a process behind the relay; `listen` opens the port."""
        self._targets[name] = _Target(address, listed_port, own_port)

    async def listen(self, name: str) -> None:
        """Accept connections for a process that has started.

        Does nothing for a process that is not registered.
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
        """Refuse connections, like the port of an ended process."""
        target = self._targets.get(name)
        if target is not None and target.server is not None:
            target.server.close()
            target.server = None

    def end(self, name: str, *, is_reset: bool = False) -> None:
        """Close all connections to a process, as its end would.

        Without a reset, the bytes that it had sent arrive before the end.
        """
        for connection in list(self._connections):
            if connection.target != name:
                continue
            if is_reset:
                connection.abort(is_reset=True)
            else:
                connection.end_target()

    def close_all(self) -> None:
        """Close all listeners and cancel all connections."""
        for name in self._targets:
            self.close(name)
        for job in self._jobs:
            job.cancel()

    def link(self, source: str, target: str) -> Link:
        """Return the link from one process to another."""
        return self._links.setdefault((source, target), Link())

    def freeze(self, source: str, target: str) -> None:
        """Hold all bytes of one direction without closing connections."""
        self.link(source, target).unpaused.clear()

    def thaw(self, source: str, target: str) -> None:
        """Release the held bytes."""
        self.link(source, target).unpaused.set()

    def cut(self, pairs: Iterable[frozenset[str]]) -> None:
        """Reset the connections of pairs, and close each new one at once."""
        broken = list(pairs)
        self._cuts.extend(broken)
        for connection in list(self._connections):
            if connection.pair in broken:
                connection.abort(is_reset=True)

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
        caller = await self._owners.name(port)
        pair = frozenset((caller, name))
        if not caller or pair in self._cuts:
            writer.transport.abort()
            return
        target = self._targets[name]
        try:
            target_reader, target_writer = await asyncio.open_connection(
                target.address, target.own_port
            )
        except OSError:
            writer.transport.abort()
            return
        connection = _ConnectionPair(
            pair, name, (writer, target_writer), target_reader
        )
        self._connections.add(connection)
        try:
            await asyncio.gather(
                _pump(reader, target_writer, self.link(caller, name)),
                _pump(target_reader, writer, self.link(name, caller)),
            )
        except OSError:
            # A reset on one side must be passed on to the other.
            connection.abort(is_reset=True)
        finally:
            self._connections.discard(connection)
            connection.abort()


def _read_rest(
    connected: TransportSocket, reader: asyncio.StreamReader
) -> None:
    """Pass on what has arrived at a socket, without waiting for more."""
    with connected.dup() as sock:
        try:
            while data := sock.recv(_READ_BYTES):
                reader.feed_data(data)
        except BlockingIOError:
            return
        except OSError as exc:
            reader.set_exception(exc)


async def _pump(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, link: Link
) -> None:
    """Copy one direction until end of file."""
    while data := await reader.read(_READ_BYTES):
        await link.unpaused.wait()
        await asyncio.sleep(link.delay_s + link.queue_s)
        writer.write(data)
        await writer.drain()
    await link.unpaused.wait()
    if writer.can_write_eof():
        writer.write_eof()
