"""Execute the reads that a transfer decides on until it is complete."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from crowrudder_core.transfer import FromOrigin, FromPeer
from crowrudder_daemon.chunks._read_bound import ReadBound
from crowrudder_daemon.chunks._sources import (
    NoSourceError,
    PeerAnswer,
    VersionRef,
)
from crowrudder_daemon.chunks._stock import apply_inventory
from crowrudder_model import CrowrudderError, InvariantError, PeerLostError
from crowrudder_model.messages import ChunkRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from crowrudder_core.transfer import LinkShare, Read, Transfer
    from crowrudder_daemon.chunks._metrics import TransferMetrics
    from crowrudder_daemon.chunks._sources import (
        ChunkOrigin,
        PeerSource,
    )
    from crowrudder_model.messages import InventoryReply

TICK_S = 0.05
"""Interval at which a transfer is advanced if no call ends, seconds."""


ORIGIN_READS = 2
"""Reads of one chunk that a call to the origin may make: of the store and of the
origin itself."""


class Collector:
    """Runs the concurrent calls of one transfer.

    Parameters
    ----------
    address_of
        Returns the address of a host's agent, None for a host that is gone.
    own_inventory
        Returns this host's inventory of the version.
    """

    def __init__(
        self,
        transfer: Transfer,
        *,
        peers: PeerSource,
        origin: ChunkOrigin,
        downlink: LinkShare,
        address_of: Callable[[str], str | None],
        watch: TransferMetrics,
        own_inventory: Callable[[], InventoryReply],
    ) -> None:
        self._own_inventory = own_inventory
        self._transfer = transfer
        self._peers = peers
        self._origin = origin
        self._downlink = downlink
        self._address_of = address_of
        self._watch = watch
        self._version_ref = VersionRef(
            transfer.host,
            transfer.manifest.version,
            transfer.manifest_digest,
        )
        self._is_narrow = False
        self._jobs: set[asyncio.Task[None]] = set()
        self._reads: dict[Read, asyncio.Task[None]] = {}
        self._wakeup = asyncio.Event()

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
            self._cancel_stalled(read)
        for host in self._transfer.peers_to_query(now=now):
            self._spawn(self._query_inventory(host))
        self._transfer.inbound_link.limit = self._downlink.weights_rate
        for read in self._transfer.next_reads(now=now):
            self._reads[read] = self._spawn(self._read(read))
        self._check_link(now)

    def _check_link(self, now: float) -> None:
        """Log when the inbound link becomes narrow or wide again."""
        link = self._transfer.inbound_link
        is_narrow = link.is_narrow(now)
        if is_narrow != self._is_narrow:
            self._is_narrow = is_narrow
            self._watch.link_changed(
                self._transfer.manifest.version,
                is_narrow=is_narrow,
                bytes_per_s=link.rate(now),
                reads=len(self._transfer.in_flight),
            )

    async def _wait(self) -> None:
        """Wait for the end of a call or the next tick.

        `asyncio.wait_for` loses a cancellation that arrives in the same
        iteration of the event loop as the wakeup, so the process would not
        end. `asyncio.timeout` waits in this task and keeps the cancellation.
        """
        self._wakeup.clear()
        try:
            async with asyncio.timeout(TICK_S):
                await self._wakeup.wait()
        except TimeoutError:
            return

    def _cancel_stalled(self, read: Read) -> None:
        """Cancel a stalled read and count a failure against its source."""
        self._watch.stalled(self._version_ref.version, read)
        self._transfer.on_failed(read, now=self._now())
        job = self._reads.pop(read, None)
        if job is not None:
            job.cancel()

    async def _query_inventory(self, host: str) -> None:
        address = self._address_of(host)
        try:
            if address is None:
                raise PeerLostError('not a member', step='stock', peer=host)
            reply = await self._peers.stock(address, self._version_ref)
        except CrowrudderError:
            self._transfer.on_no_answer(host, now=self._now())
            return
        self._apply_inventory(reply)

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
            self._watch.failed(self._version_ref.version, read, exc)
            self._transfer.on_failed(read, now=self._now())
            return
        if answer.stock is not None:
            self._apply_inventory(answer.stock)
        if answer.refused:
            self._transfer.on_busy(read, now=self._now())
            return
        self._accept(read, answer.payload)

    async def _peer_answer(self, read: FromPeer) -> PeerAnswer:
        address = self._address_of(read.host)
        if address is None:
            raise PeerLostError('not a member', step='chunk', peer=read.host)
        request = ChunkRequest(
            host=self._version_ref.host,
            version=self._version_ref.version,
            manifest=self._version_ref.manifest,
            index=read.index,
            stock=self._own_inventory(),
            bytes_per_s=self._max_read_rate(),
        )

        bound = self._bound(read, address)

        async def on_piece(size: int) -> None:
            bound.on_piece(size)
            wait_s = self._reserve_link(read, size)
            if wait_s > 0:
                await asyncio.sleep(wait_s)

        return await self._peers.chunk(address, request, on_piece)

    def _max_read_rate(self) -> int:
        """Return the rate of one read in bytes per second; 0 for no limit."""
        if not self._downlink.adaptive.is_limited:
            return 0
        reads = max(len(self._transfer.in_flight), 1)
        return max(int(self._downlink.weights_rate / reads), 1)

    async def _from_origin(self, read: FromOrigin) -> None:
        self._watch.asked_origin(read)
        bound = self._bound(read, 'origin', reads=ORIGIN_READS)

        def on_piece(size: int) -> None:
            bound.on_piece(size)
            # Without waiting: the origin limits its own rate.
            self._reserve_link(read, size)

        try:
            payload = await self._origin.chunk(
                self._version_ref.version, read.index, on_piece
            )
        except CrowrudderError as exc:
            self._watch.failed(self._version_ref.version, read, exc)
            self._transfer.on_failed(
                read,
                now=self._now(),
                was_sent=not isinstance(exc, NoSourceError),
            )
            return
        if not self._accept(read, payload):
            self._origin.on_bad_store_chunk()

    def _bound(self, read: Read, source: str, *, reads: int = 1) -> ReadBound:
        size = self._transfer.manifest.chunk_size(read.index)
        return ReadBound(source, reads * size)

    def _reserve_link(self, read: Read, size: int) -> float:
        """Record received bytes; return how long the link is busy, in seconds."""
        self._transfer.on_bytes_received(read, now=self._now(), size=size)
        self._downlink.adaptive.on_carried(size, now=self._now())
        return self._downlink.reserve(size, now=self._now())

    def _accept(self, read: Read, payload: bytes) -> bool:
        try:
            is_verified = self._transfer.on_chunk(
                read, payload, now=self._now()
            )
        except InvariantError as exc:
            self._watch.refused(exc)
            return False
        if is_verified:
            self._watch.read(read, len(payload))
        elif not self._transfer.dropped:
            self._watch.corrupted(self._version_ref.version, read)
        return is_verified

    def _apply_inventory(self, reply: InventoryReply) -> None:
        apply_inventory(self._transfer, reply, now=self._now())

    def _spawn(self, call: Any) -> asyncio.Task[None]:
        job = asyncio.ensure_future(call)
        self._jobs.add(job)
        job.add_done_callback(self._on_done)
        return job

    def _on_done(self, job: asyncio.Task[None]) -> None:
        self._jobs.discard(job)
        self._wakeup.set()

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
