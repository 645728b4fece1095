"""Fetches newer published records from other processes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from crowrudder_core.catalog import FetchPolicy
from crowrudder_daemon._clock import clock_s
from crowrudder_daemon.fleet._records import PeerAhead, peer_records
from crowrudder_model import PeerLostError
from crowrudder_model.messages import ChangesRequest
from crowrudder_model.rpc import CHANGES

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from crowrudder_core.catalog import Catalog
    from crowrudder_daemon.fleet._records import RecordsReceived
    from crowrudder_daemon.process import Runtime
    from crowrudder_daemon.rpc import PeerClient
    from crowrudder_model import StorePosition
    from crowrudder_model.messages import Changes

HEDGE_MARGIN_S = 0.005
"""Seconds added to the wait for a slow fetch, so that it ends after it."""


class RecordFetches:
    """Calls the peers that `FetchPolicy` chooses, and passes on their records.

    Parameters
    ----------
    catalog
        The own records.
    spawn
        Runs a coroutine until the process stops.
    on_records
        Receives the records of a peer.
    """

    def __init__(
        self,
        runtime: Runtime,
        catalog: Catalog,
        client: PeerClient,
        *,
        spawn: Callable[[Coroutine[object, object, None]], object],
        on_records: Callable[[RecordsReceived], None],
    ) -> None:
        self._log = runtime.log
        self._catalog = catalog
        self._client = client
        self._spawn = spawn
        self._on_records = on_records
        self._policy = FetchPolicy()
        self._record_age = runtime.metrics.histogram(
            'record_age_seconds',
            'Age of a record from a peer when it was taken.',
        )

    def on_peer_ahead(self, message: PeerAhead) -> None:
        """Fetch the missing changes from a peer."""
        self._policy.on_ahead(message.address, message.position)
        self._fetch_if_due()

    def _fetch_if_due(self) -> None:
        now = clock_s()
        address = self._policy.next_peer(self._catalog.position, now=now)
        if address is None:
            return
        self._policy.on_begun(address, now=now)
        self._spawn(self._fetch(address, now))
        self._spawn(self._hedge(self._policy.hedge_s + HEDGE_MARGIN_S))

    async def _hedge(self, after_s: float) -> None:
        await asyncio.sleep(after_s)
        self._fetch_if_due()

    async def _fetch(self, address: str, asked_at: float) -> None:
        after = self._catalog.position
        request = ChangesRequest(
            after.revision, takes_deflated=True, era=after.era
        )
        timeout_s = self._policy.timeout.seconds
        try:
            changes = await self._client.call(
                address, CHANGES, request, timeout_s=timeout_s
            )
        except PeerLostError as exc:
            now = clock_s()
            self._policy.on_failure(address, now=now)
            self._log.info(
                'changes not read: %s',
                exc,
                extra={
                    'step': 'fetch',
                    'peer': address,
                    'after': str(after),
                    'duration_s': round(now - asked_at, 3),
                },
            )
        else:
            self._policy.on_answer(address, now=clock_s())
            self._record_answer(changes, address, after, asked_at)
            self._on_records(peer_records(changes, address, as_of=asked_at))
        self._fetch_if_due()

    def _record_answer(
        self,
        changes: Changes,
        address: str,
        after: StorePosition,
        asked_at: float,
    ) -> None:
        self._log.info(
            'changes read',
            extra={
                'step': 'fetch',
                'peer': address,
                'after': str(after),
                'era': changes.era,
                'revision': changes.through,
                'changes': len(changes.items),
                'is_whole': changes.is_whole,
                'confirmed_s': round(changes.confirmed_s, 3),
                'duration_s': round(clock_s() - asked_at, 3),
            },
        )
        for item in changes.items:
            if item.age_s >= 0:
                self._record_age.record(item.age_s)
