"""Carry out what a transfer decides, until all its chunks are held."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from crowrudder_core.transfer import FromOrigin, FromPeer
from crowrudder_daemon.chunks._sources import (
    Asked,
    NoSourceError,
    PeerAnswer,
)
from crowrudder_daemon.chunks._stock import note_stock
from crowrudder_model import CrowrudderError, InvariantError, PeerLostError
from crowrudder_model.messages import ChunkAsk

if TYPE_CHECKING:
    from collections.abc import Callable

    from crowrudder_core.transfer import LinkShare, Read, Transfer
    from crowrudder_daemon.chunks._sources import (
        ChunkOrigin,
        PeerSource,
    )
    from crowrudder_daemon.chunks._watch import WeightsWatch
    from crowrudder_model.messages import StockReply

TICK_S = 0.05
"""Between two looks of a transfer at which no call has ended, seconds."""


class Collector:
    """The calls that one transfer has under way.

    Parameters
    ----------
    address_of
        Gives the address of a host's agent, None for one that is gone.
    own_stock
        Gives what this host tells others of the version.
    """

    def __init__(
        self,
        transfer: Transfer,
        *,
        peers: PeerSource,
        origin: ChunkOrigin,
        downlink: LinkShare,
        address_of: Callable[[str], str | None],
        watch: WeightsWatch,
        own_stock: Callable[[], StockReply],
    ) -> None:
        self._own_stock = own_stock
        self._transfer = transfer
        self._peers = peers
        self._origin = origin
        self._downlink = downlink
        self._address_of = address_of
        self._watch = watch
        self._asked = Asked(
            transfer.host,
            transfer.manifest.version,
            transfer.manifest_digest,
        )
        self._jobs: set[asyncio.Task[None]] = set()
        self._reads: dict[Read, asyncio.Task[None]] = {}
        self._woken = asyncio.Event()

    async def run(self) -> None:
        """Read until the transfer is complete or dropped."""
        transfer = self._transfer
        try:
            while not (transfer.complete or transfer.dropped):
                self._advance()
                await self._wait()
        finally:
            transfer.abandon_reads()
            for job in list(self._jobs):
                job.cancel()

    def _advance(self) -> None:
        now = self._now()
        for read in self._transfer.overdue(now=now):
            self._give_up(read)
        for host in self._transfer.peers_to_ask(now=now):
            self._spawn(self._ask(host))
        for read in self._transfer.next_reads(now=now):
            self._reads[read] = self._spawn(self._read(read))

    async def _wait(self) -> None:
        """Wait for the end of a call, or a tick.

        Not by `asyncio.wait_for`: woken in the turn of the loop in which it is
        cancelled, it forgets the cancellation, seen as a process that doesn't
        end. `asyncio.timeout` waits in this task, which keeps it.
        """
        self._woken.clear()
        try:
            async with asyncio.timeout(TICK_S):
                await self._woken.wait()
        except TimeoutError:
            return

    def _give_up(self, read: Read) -> None:
        """End a read that stalls; its source is believed the less."""
        self._watch.stalled(self._asked.version, read)
        self._transfer.on_failed(read, now=self._now())
        job = self._reads.pop(read, None)
        if job is not None:
            job.cancel()

    async def _ask(self, host: str) -> None:
        address = self._address_of(host)
        try:
            if address is None:
                raise PeerLostError('not a member', step='stock', peer=host)
            reply = await self._peers.stock(address, self._asked)
        except CrowrudderError:
            self._transfer.on_silence(host, now=self._now())
            return
        self._note_stock(reply)

    async def _read(self, read: Read) -> None:
        try:
            match read:
                case FromPeer():
                    await self._from_peer(read)
                case FromOrigin():
                    await self._from_origin(read)
        finally:
            if self._reads.get(read) is asyncio.current_task():
                self._reads.pop(read)

    async def _from_peer(self, read: FromPeer) -> None:
        try:
            answer = await self._peer_answer(read)
        except CrowrudderError as exc:
            self._watch.failed(self._asked.version, read, exc)
            self._transfer.on_failed(read, now=self._now())
            return
        if answer.stock is not None:
            self._note_stock(answer.stock)
        if answer.refused:
            self._transfer.on_busy(read, now=self._now())
            return
        self._take(read, answer.payload)

    async def _peer_answer(self, read: FromPeer) -> PeerAnswer:
        address = self._address_of(read.host)
        if address is None:
            raise PeerLostError('not a member', step='chunk', peer=read.host)
        ask = ChunkAsk(
            host=self._asked.host,
            version=self._asked.version,
            manifest=self._asked.manifest,
            index=read.index,
            stock=self._own_stock(),
        )

        async def on_piece(size: int) -> None:
            wait_s = self._take_link(read, size)
            if wait_s > 0:
                await asyncio.sleep(wait_s)

        return await self._peers.chunk(address, ask, on_piece)

    async def _from_origin(self, read: FromOrigin) -> None:
        self._watch.asked_origin(read)
        try:
            payload = await self._origin.chunk(
                self._asked.version,
                read.index,
                lambda size: self._note_bytes(read, size),
            )
        except CrowrudderError as exc:
            self._watch.failed(self._asked.version, read, exc)
            self._transfer.on_failed(
                read,
                now=self._now(),
                was_sent=not isinstance(exc, NoSourceError),
            )
            return
        if not self._take(read, payload):
            self._origin.distrust_store()

    def _note_bytes(self, read: Read, size: int) -> None:
        """Note bytes of the origin, whose own rate is the limit."""
        self._take_link(read, size)

    def _take_link(self, read: Read, size: int) -> float:
        """Note bytes that came; give how long the link is full."""
        self._transfer.on_moved(read, now=self._now(), size=size)
        return self._downlink.reserve(size, now=self._now())

    def _take(self, read: Read, payload: bytes) -> bool:
        try:
            good = self._transfer.on_chunk(read, payload, now=self._now())
        except InvariantError as exc:
            self._watch.refused(exc)
            return False
        if good:
            self._watch.read(read, len(payload))
        elif not self._transfer.dropped:
            self._watch.corrupted(self._asked.version, read)
        return good

    def _note_stock(self, reply: StockReply) -> None:
        note_stock(self._transfer, reply, now=self._now())

    def _spawn(self, call: Any) -> asyncio.Task[None]:
        job = asyncio.ensure_future(call)
        self._jobs.add(job)
        job.add_done_callback(self._on_done)
        return job

    def _on_done(self, job: asyncio.Task[None]) -> None:
        self._jobs.discard(job)
        self._woken.set()

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
