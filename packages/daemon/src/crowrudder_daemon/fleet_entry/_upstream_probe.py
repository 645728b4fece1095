"""Probe whether an upstream that closed a connection still runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from crowrudder_daemon._clock import clock_s
from crowrudder_daemon.http import NotConnectedError

if TYPE_CHECKING:
    from crowrudder_core.catalog import Evacuations
    from crowrudder_core.forecast import UpstreamForecast
    from crowrudder_daemon.fleet_entry._quarantine import RequestQuarantine
    from crowrudder_daemon.http import ConnectionPool
    from crowrudder_daemon.process import Runtime
    from crowrudder_model.fleet import Upstream

PROBE_TIMEOUT_S = 0.5
"""Timeout for the connection of a probe."""


@define(eq=False)
class UpstreamProbe:
    """Reports upstreams that refuse connections to the quarantine.

    An agent reports the end of its engine. For a plain service there is no
    agent, and its record takes seconds to expire. Nothing is sent to an
    evacuated failure domain, so that no connection is opened to it either.
    """

    _runtime: Runtime
    _pool: ConnectionPool
    _quarantine: RequestQuarantine
    _evacuations: Evacuations
    _in_progress: set[str] = field(factory=set)

    def start(self, forecast: UpstreamForecast) -> None:
        """Start a probe, unless an agent reports or a probe is in progress."""
        incarnation_id = forecast.upstream.id
        if incarnation_id in self._in_progress or forecast.fresh_load(
            clock_s()
        ):
            return
        self._in_progress.add(incarnation_id)
        self._runtime.spawn(self._probe(forecast.upstream), step='probe')

    async def _probe(self, upstream: Upstream) -> None:
        try:
            await self._connect(upstream)
        finally:
            self._in_progress.discard(upstream.id)

    async def _connect(self, upstream: Upstream) -> None:
        # Asked right before the connection: the order may have come since.
        if self._evacuations.is_evacuated(upstream.failure_domain):
            return
        try:
            conn = await self._pool.acquire(
                upstream.address, timeout_s=PROBE_TIMEOUT_S, force_new=True
            )
        except NotConnectedError as exc:
            if exc.is_refused:
                self._quarantine.on_incarnation_ended(upstream.id)
        else:
            # A new incarnation may already listen there, so that a connection
            # does not prove that this one still runs.
            conn.close()
