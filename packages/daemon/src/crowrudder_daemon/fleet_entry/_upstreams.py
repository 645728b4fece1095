"""The state of the upstreams in an entry, and the connections to them."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

from crowrudder_core.forecast import (
    LOAD_REPORT_TTL_S,
    LOCAL_REPORT_AGE_S,
    REMOTE_REPORT_AGE_S,
    UpstreamForecast,
    has_memory_for,
    is_slow_to_reach,
    memory_in_use,
    memory_of,
)
from crowrudder_core.limits import ColdReturns
from crowrudder_core.routing import allowed_regions
from crowrudder_core.statements import Accepting
from crowrudder_daemon._clock import clock_s
from crowrudder_daemon.fleet_entry._choosing import UpstreamChooser
from crowrudder_daemon.fleet_entry._connection_limits import ConnectionLimits
from crowrudder_daemon.fleet_entry._delivery import DeliveryWatch
from crowrudder_daemon.fleet_entry._forecast_table import ForecastTable
from crowrudder_daemon.fleet_entry._host_links import HostLinks
from crowrudder_daemon.fleet_entry._retry_after import (
    EVACUATED_RETRY_AFTER_S,
    cold_terms,
    retry_after_s,
)
from crowrudder_daemon.fleet_entry._retry_spending import RetrySpending
from crowrudder_daemon.fleet_entry._silence_watch import SilenceWatch
from crowrudder_daemon.fleet_entry._statements import EntryStatements
from crowrudder_daemon.fleet_entry._upstream_capacity import UpstreamCapacity
from crowrudder_daemon.fleet_entry._upstream_probe import UpstreamProbe
from crowrudder_daemon.fleet_entry._warm_ups import WarmUps
from crowrudder_daemon.http import ConnectionPool

if TYPE_CHECKING:
    from crowrudder_core.catalog import FleetView
    from crowrudder_core.forecast import Choice
    from crowrudder_daemon.fleet import PeersTask
    from crowrudder_daemon.fleet_entry._choosing import UpstreamRequirements
    from crowrudder_daemon.fleet_entry._quarantine import RequestQuarantine
    from crowrudder_daemon.fleet_entry._version_end import PendingAttempt
    from crowrudder_daemon.process import Runtime
    from crowrudder_model.fleet import (
        CustomerKeys,
        FleetConfig,
        Node,
        Route,
        RouteTarget,
        Upstream,
    )
    from crowrudder_model.messages import EngineLoad, LoadBatch


_MS = 1000


class Upstreams:
    """Forecasts by upstream, kept in sync with the published records."""

    def __init__(
        self,
        runtime: Runtime,
        node: Node,
        view: FleetView,
        peers: PeersTask,
        quarantine: RequestQuarantine,
    ) -> None:
        self._quarantine = quarantine
        self._table = ForecastTable(node.place)
        self.statements = EntryStatements(runtime, peers, self._table)
        self._warm_ups = WarmUps(view, self.statements)
        self._view = view
        self._peers = peers
        self._random = random.Random(runtime.incarnation)
        self._config: FleetConfig | None = None
        self._connection_limits = ConnectionLimits(
            self._table, node.place, view, peers
        )
        self._opened = runtime.metrics.counter(
            'upstream_connections',
            'Connections to upstreams that were opened.',
        )
        self.pool = ConnectionPool(
            on_open=self._opened.add,
            limit_of=self._connection_limits.limit_of,
        )
        self.capacity = UpstreamCapacity(runtime, self.pool)
        self._chooser = UpstreamChooser(
            self._table,
            place=node.place,
            view=view,
            statements=self.statements,
            random=self._random,
            capacity=self.capacity,
        )
        self._cold_returns = ColdReturns()
        self.links = HostLinks()
        self._ticket = 0
        self._pending: dict[int, PendingAttempt] = {}
        self.retries = RetrySpending(runtime, node.bounds, peers)
        self.deliveries = DeliveryWatch()
        self.silences = SilenceWatch(runtime)
        self.probe = UpstreamProbe(
            runtime, self.pool, quarantine, view.evacuations
        )

    def add_pending(self, attempt: PendingAttempt) -> int:
        """Add an attempt that was sent; return its unique number."""
        self._ticket += 1
        self._pending[self._ticket] = attempt
        return self._ticket

    def remove_pending(self, ticket: int) -> None:
        """Remove an attempt that has ended."""
        self._pending.pop(ticket, None)

    def refresh(self) -> None:
        """Update the forecasts after a change of the published records."""
        listed = {upstream.id: upstream for upstream in self._view.listed()}
        for gone in self._table.by_id.keys() - listed.keys():
            forecast = self._table.by_id.pop(gone)
            self._quarantine.on_incarnation_ended(gone)
            self.statements.on_unlisted(gone)
            self._warm_ups.on_unlisted(gone)
            self._drop_connections(forecast.upstream, listed.values())
        is_same = self._config is self._view.config
        self._config = self._view.config
        for upstream in listed.values():
            known = self._table.by_id.get(upstream.id)
            if not is_same or known is None or known.upstream is not upstream:
                self._refresh_one(upstream)
        if not is_same:
            self._warm_ups.on_config(listed.values())
        self._warm_ups.on_returned(listed.values())
        self._table.index()
        self._connection_limits.clear()
        self.links.on_listed(listed.values(), now=clock_s())
        for attempt in self._pending.values():
            attempt.update_begin_by()
        self.pool.close_expired()

    def on_load(self, load: EngineLoad, *, age_s: float = 0) -> None:
        """Apply an agent's load report on the engine at an address."""
        now = clock_s()
        self.links.on_load(load, as_of=now - age_s)
        if load.partial_version:
            self._table.partial_received_at = now
        for forecast in self._table.at(load.address):
            is_new_incarnation = forecast.on_load(load, now=now - age_s)
            if is_new_incarnation:
                self.pool.drop(load.address)
                self.statements.on_restarted(
                    forecast.upstream.id, load.started_ms
                )
                self._warm_ups.on_started(forecast.upstream)
            if forecast.load is load:
                self.statements.on_load_report(
                    forecast.upstream.id,
                    is_leaving=load.is_leaving,
                    until=now - age_s + LOAD_REPORT_TTL_S,
                )
            if is_new_incarnation or not load.reachable:
                self._quarantine.on_incarnation_ended(forecast.upstream.id)
                # A relayed report may be older than the one before it.
                if is_new_incarnation or forecast.load is load:
                    self.silences.on_upstream_ended(forecast.upstream.id)
            else:
                self._quarantine.on_incarnation_alive(
                    forecast.upstream.id, age_s=age_s
                )

    def on_loads(self, batch: LoadBatch) -> None:
        """Apply load reports that another entry has received."""
        for load, age_ms in zip(batch.loads, batch.ages_ms, strict=False):
            self.on_load(load, age_s=max(age_ms, 0) / _MS)

    def choose(self, required: UpstreamRequirements) -> Choice | None:
        """Return the upstream chosen for a request; None if none can serve."""
        other_entries = len(self._peers.entries()) - 1
        return self._chooser.choose(required, other_entries=other_entries)

    def regions_for(
        self, route: Route, customer: CustomerKeys | None, key: str
    ) -> frozenset[str] | None:
        """Return the regions that the newest configuration allows.

        Parameters
        ----------
        route, customer, key
            Of the request, by the configuration that admitted it.
        """
        config = self._view.config
        if config is None:
            return allowed_regions(route, customer)
        if customer is not None:
            customer = config.newest_of(customer, key)
        newest = self._view.routes.find(route.host, route.prefix)
        if newest is None or newest.name != route.name:
            newest = route
        return allowed_regions(newest, customer)

    def begin_by(self, choice: Choice, model: str) -> float:
        """Return the time by which a request must begin at an upstream."""
        return self._chooser.begin_by(choice, model)

    def estimate_retry_after_s(
        self, service: str, regions: frozenset[str] | None = None
    ) -> float:
        """Return the estimated seconds until a service is available again.

        Parameters
        ----------
        regions
            Those in which the request may be served; None for any.
        """
        now = clock_s()
        pool = self._table.pool(service)
        forecasts = [
            forecast
            for forecast in (*pool.near, *pool.far)
            if regions is None
            or self._table.region_of(forecast.upstream.id) in regions
        ]
        evacuations = self._view.evacuations
        if forecasts and all(
            evacuations.is_evacuated(forecast.upstream.failure_domain)
            for forecast in forecasts
        ):
            return EVACUATED_RETRY_AFTER_S
        taking = [
            forecast
            for forecast in forecasts
            if self._view.takes_requests(forecast.upstream.id, now=now)
        ]
        found = {
            forecast.upstream.id: self.statements.fleet_acceptance(
                forecast.upstream.id
            )
            for forecast in taking
        }
        after_s = retry_after_s(
            list(found.values()),
            is_loading=any(each.is_changing(now) for each in forecasts),
            is_full=any(self._is_full(forecast, now) for forecast in taking),
            random=self._random,
        )
        terms = cold_terms(found, self.statements)
        if terms is None:
            return after_s
        return self._cold_returns.wait_s(
            (service, regions),
            first_s=after_s,
            spacing_s=terms.spacing_s * len(self._peers.entries()),
            last_s=terms.last_s,
            now=now,
        )

    def is_evacuated(self, service: str) -> bool:
        """Return whether evacuations leave a service without any upstream."""
        return self._view.is_evacuated(service)

    def take_send(
        self,
        choice: Choice,
        *,
        prompt: int = 0,
        answer: int = 0,
        regions: frozenset[str] | None = None,
    ) -> str:
        """Count a request right before it is sent; return why it may not be.

        The choice may be old: records and statements may have come while the
        request waited for its connection. The result is empty if the upstream,
        and each stage of its pipeline, accepts the request and is in one of
        ``regions``, None for any.
        """
        now = clock_s()
        first, *later_stages = (each.upstream.id for each in choice.forecasts)
        if not all(
            self._view.takes_requests(upstream_id, now=now)
            for upstream_id in (first, *later_stages)
        ):
            return 'it takes no requests any more'
        if regions is not None and not all(
            self._table.region_of(upstream_id) in regions
            for upstream_id in (first, *later_stages)
        ):
            return 'it is in no region that may serve the request'
        memory = choice.memory_of(prompt, answer)
        if not all(
            self.capacity.has_memory(forecast, taken, now)
            for forecast, taken in zip(choice.forecasts, memory, strict=True)
        ):
            return 'its memory is full'
        found = self.statements.take(first, later_stages=later_stages)
        return '' if isinstance(found, Accepting) else f'it {found.reason}'

    def sample_target(self, route: Route) -> RouteTarget | None:
        """Return a random target of a route; None if none has a share."""
        return route.target_at(self._random.random())

    def status(self) -> list[dict[str, Any]]:
        """Return the state of each upstream."""
        now = clock_s()
        return [
            {
                'id': forecast.upstream.id,
                'service': forecast.upstream.service,
                'address': forecast.upstream.address,
                'weights': forecast.weights(now),
                'own': forecast.own,
                'others': forecast.others(now),
                'avoided': forecast.is_avoided(now),
                'slow_to_reach': is_slow_to_reach(forecast, now),
                'states': self.statements.acceptance(
                    forecast.upstream.id
                ).reason,
                'cold_left_s': round(
                    self.statements.cold_left_s(forecast.upstream.id), 3
                ),
                'cold_quota': self.statements.cold_quota(forecast.upstream.id),
                'connections': self.pool.connections(forecast.upstream.address),
                'connection_share': self._connection_limits.limit_of(
                    forecast.upstream.address
                ),
                'memory': self._memory_status(forecast, now),
                'slowness': round(forecast.slowness, 2),
                'transit_s': round(forecast.transit.delay_s(now), 3),
            }
            for forecast in self._table.by_id.values()
        ]

    def _refresh_one(self, upstream: Upstream) -> None:
        forecast = self._table.by_id.get(upstream.id)
        is_changed = forecast is None or forecast.upstream is not upstream
        if forecast is None:
            is_far = self._table.is_far(upstream)
            forecast = UpstreamForecast(
                upstream,
                self.links.transit(upstream.host_ip),
                REMOTE_REPORT_AGE_S if is_far else LOCAL_REPORT_AGE_S,
                self.links.reported_at(upstream.address),
            )
            self._table.by_id[upstream.id] = forecast
            self.statements.on_listed(upstream.id, upstream.started_ms)
        if forecast.on_record(upstream, now=clock_s()):
            # Idle connections lead to the previous incarnation.
            self.pool.drop(upstream.address)
            self.statements.on_restarted(upstream.id, upstream.started_ms)
        if is_changed:
            self._warm_ups.on_record(upstream)
        config = self._view.config
        service = config.service(upstream.service) if config else None
        forecast.on_engine_figures(service.engine if service else None)

    def _is_full(self, forecast: UpstreamForecast, now: float) -> bool:
        """Return whether an upstream lacks only a connection or memory."""
        if not self.statements.accepts(forecast.upstream.id):
            return False
        if forecast.is_avoided(now):
            return False
        if not self.pool.has_room(forecast.upstream.address):
            return True
        return not has_memory_for(forecast, memory_of(forecast, 0, 0), now)

    def _memory_status(
        self, forecast: UpstreamForecast, now: float
    ) -> dict[str, int] | None:
        """Return the estimate of an engine's memory; None if not known."""
        estimate = memory_in_use(forecast, now)
        if estimate is None:
            return None
        return {
            'capacity': estimate.capacity,
            'reported': estimate.reported,
            'own_since': estimate.own_since,
            'others_since': estimate.others_since,
        }

    def _drop_connections(self, gone: Upstream, listed: Any) -> None:
        """Close idle connections, unless the address has a new upstream."""
        if all(upstream.address != gone.address for upstream in listed):
            self.pool.drop(gone.address)
