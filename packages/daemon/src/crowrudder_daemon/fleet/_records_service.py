"""The service that answers other processes: published records and probes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from crowrudder_daemon._clock import clock_s
from crowrudder_daemon.fleet._records import inflate_changes
from crowrudder_model import StorePosition
from crowrudder_model.messages import (
    Ages,
    AgesRequest,
    Changes,
    ChangesRequest,
    ProbeReply,
    ProbeRequest,
)
from crowrudder_model.rpc import AGES, CHANGES, PROBE

if TYPE_CHECKING:
    from crowrudder_core.catalog import Catalog, StoreReadPolicy
    from crowrudder_daemon.rpc import PeerServer


@frozen
class RecordsService:
    """Returns records of the catalog; a request changes nothing in it."""

    _catalog: Catalog
    _reading: StoreReadPolicy

    def serve(self, server: PeerServer) -> None:
        """Register the handlers of requests for changes, ages and probes."""
        server.add(CHANGES, self._on_changes_request)
        server.add(AGES, self._on_ages_request)
        server.add(PROBE, self._on_probe_request)

    async def _on_changes_request(
        self, request: ChangesRequest, _context: object
    ) -> Changes:
        now = clock_s()
        # A release that knows no eras compares revisions alone.
        era = self._catalog.position.era if request.era is None else request.era
        changes = self._catalog.changes_after(
            StorePosition(era, request.after),
            now=now,
            confirmed_s=self._reading.confirmed_s(now),
        )
        return changes if request.takes_deflated else inflate_changes(changes)

    async def _on_ages_request(
        self, _request: AgesRequest, _context: object
    ) -> Ages:
        now = clock_s()
        return Ages(
            self._catalog.ages(now=now),
            era=self._catalog.position.era,
            kept=self._catalog.kept(now=now),
        )

    async def _on_probe_request(
        self, _request: ProbeRequest, _context: object
    ) -> ProbeReply:
        return ProbeReply()
