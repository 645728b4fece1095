"""How long upstreams are cold, by their records, starts and evacuations."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import define, field

from crowrudder_daemon._clock import clock_s

if TYPE_CHECKING:
    from collections.abc import Iterable

    from crowrudder_core.catalog import FleetView
    from crowrudder_daemon.fleet_entry._statements import EntryStatements
    from crowrudder_model.fleet import Upstream


@define(eq=False)
class WarmUps:
    """Tells the statements of upstreams for how long each of them is cold.

    Only services with a limit for cold upstreams are considered. Records are
    written about every second, so that the first requests after a start or an
    evacuation would come before the record that says that it is cold.
    """

    _view: FleetView
    _statements: EntryStatements
    _returned_at: dict[str, float] = field(factory=dict)
    _ended_ms: dict[str, int] = field(factory=dict)
    """Start time of the incarnation that a load report has shown to have ended,
    by upstream."""

    def on_record(self, upstream: Upstream) -> None:
        """Apply a record; after an evacuation it doesn't end the cold time.

        Nor does one of the incarnation before, which may arrive after the load
        report of the new one.
        """
        left_s = max(upstream.warm_up_s, self._after_return_s(upstream))
        ended_ms = self._ended_ms.get(upstream.id, 0)
        if ended_ms and upstream.started_ms == ended_ms:
            cold_left_s = self._statements.cold_left_s(upstream.id)
            left_s = max(left_s, cold_left_s)
        self._set(upstream, left_s)

    def on_started(self, upstream: Upstream) -> None:
        """Apply a start that only a load report has told, not yet a record."""
        self._ended_ms[upstream.id] = upstream.started_ms
        self._set(upstream, self._warm_up_s(upstream))

    def on_returned(self, upstreams: Iterable[Upstream]) -> None:
        """Apply evacuations that have ended since the last call."""
        for upstream in upstreams:
            at = self._view.evacuations.returned_at(upstream.failure_domain)
            if at > self._returned_at.get(upstream.id, -math.inf):
                self._returned_at[upstream.id] = at
                self.on_record(upstream)

    def on_unlisted(self, upstream_id: str) -> None:
        """Remove what is known of an upstream without a record."""
        self._returned_at.pop(upstream_id, None)
        self._ended_ms.pop(upstream_id, None)

    def on_config(self, upstreams: Iterable[Upstream]) -> None:
        """Apply the limits of a new configuration."""
        for upstream in upstreams:
            per_s = self._per_s(upstream)
            self._statements.on_cold_rate(upstream.id, per_s)

    def _after_return_s(self, upstream: Upstream) -> float:
        at = self._view.evacuations.returned_at(upstream.failure_domain)
        return max(at + self._warm_up_s(upstream) - clock_s(), 0)

    def _warm_up_s(self, upstream: Upstream) -> float:
        config = self._view.config
        service = config.service(upstream.service) if config else None
        return service.warm_up_s if service else 0

    def _per_s(self, upstream: Upstream) -> float:
        config = self._view.config
        service = config.service(upstream.service) if config else None
        return service.cold_requests_per_s if service else 0

    def _set(self, upstream: Upstream, left_s: float) -> None:
        per_s = self._per_s(upstream)
        self._statements.on_cold(upstream.id, left_s=left_s, per_s=per_s)
