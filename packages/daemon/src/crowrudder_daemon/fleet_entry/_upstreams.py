"""The state of the upstreams in an entry, and the connections to them."""

from __future__ import annotations

import math
import random
from functools import partial
from typing import TYPE_CHECKING, Any

from attrs import field, frozen

from crowrudder_core.forecast import (
    Candidate,
    LayerHolder,
    UpstreamForecast,
    build_pipeline,
    choose_eligible,
)
from crowrudder_core.forecast._choice import SAMPLE_SIZE
from crowrudder_core.forecast._upstream_forecast import (
    LOAD_REPORT_TTL_S,
    STAGE_REPORT_TTL_S,
)
from crowrudder_core.limits import SharedRetryBudget
from crowrudder_core.statements import (
    RETURN_S,
    Accepting,
    Limited,
    Pausing,
)
from crowrudder_daemon._clock import clock_s
from crowrudder_daemon.fleet_entry._delivery import DeliveryWatch
from crowrudder_daemon.fleet_entry._statements import EntryStatements
from crowrudder_daemon.fleet_entry._upstream_probe import UpstreamProbe
from crowrudder_daemon.fleet_entry._version_end import (
    CANCEL_MARGIN_S,
    MIN_START_WINDOW_S,
    NOT_RETRYABLE_MARGIN_S,
    START_WINDOW_FORECASTS,
    overdue_s,
)
from crowrudder_daemon.http import ConnectionPool

if TYPE_CHECKING:
    from crowrudder_core.catalog import FleetView
    from crowrudder_core.forecast import Choice, Pipeline
    from crowrudder_daemon.fleet import PeersTask
    from crowrudder_daemon.fleet_entry._quarantine import RequestQuarantine
    from crowrudder_daemon.fleet_entry._version_end import PendingAttempt
    from crowrudder_daemon.process import Runtime
    from crowrudder_model.fleet import FleetConfig, Node, Upstream
    from crowrudder_model.messages import EngineLoad, LoadBatch


LOADING_RETRY_AFTER_S = 1.1
"""Time until an engine that loads is available again: 0.7 s for running
requests to end and 0.3 s for the load."""

ABSENT_RETRY_AFTER_S = 2.0
"""Delay before a retry if no upstream is available. A host that restarts
answers after two to three seconds; a version whose source was away takes
longer. Callers wait for at most a third of their time."""

MIN_RETRY_AFTER_S = 0.1

_MS = 1000


@frozen(kw_only=True)
class UpstreamRequirements:
    """The requirements of a request for the choice of an upstream.

    ``is_retryable`` is whether it may be cancelled and sent elsewhere,
    ``may_use_pipeline`` whether several engines may run it together, as it may
    be sent again if one of them fails.
    """

    service: str
    model: str = ''
    prompt: int = 0
    avoid: frozenset[str] = frozenset()
    is_retryable: bool = False
    may_use_pipeline: bool = False


@frozen
class _Pool:
    """The forecasts of a service, in the own region and in other regions."""

    near: list[UpstreamForecast] = field(factory=list)
    far: list[UpstreamForecast] = field(factory=list)


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
        self.statements = EntryStatements(runtime, peers, self._region_of)
        self._node = node
        self._view = view
        self._peers = peers
        self._random = random.Random(runtime.incarnation)
        self._forecasts: dict[str, UpstreamForecast] = {}
        self._by_address: dict[str, list[UpstreamForecast]] = {}
        self._pools: dict[str, _Pool] = {}
        self._config: FleetConfig | None = None
        self._partial_received_at = -math.inf
        self._ticket = 0
        self._pending: dict[int, PendingAttempt] = {}
        bounds = node.bounds
        self._budget = SharedRetryBudget(
            share=bounds.retry_share,
            extra=bounds.retry_extra,
            window_s=bounds.retry_window_s,
        )
        self._opened = runtime.metrics.counter(
            'upstream_connections',
            'Connections to upstreams that were opened.',
        )
        self.pool = ConnectionPool(on_open=self._opened.add)
        self.deliveries = DeliveryWatch()
        self.probe = UpstreamProbe(runtime, self.pool, quarantine)

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
        for gone in self._forecasts.keys() - listed.keys():
            forecast = self._forecasts.pop(gone)
            self._quarantine.on_incarnation_ended(gone)
            self.statements.on_unlisted(gone)
            self._drop_connections(forecast.upstream, listed.values())
        is_same = self._config is self._view.config
        self._config = self._view.config
        for upstream in listed.values():
            known = self._forecasts.get(upstream.id)
            if not is_same or known is None or known.upstream is not upstream:
                self._refresh_one(upstream)
        self._index()
        for attempt in self._pending.values():
            attempt.update_begin_by()
        self.pool.close_expired()

    def on_load(self, load: EngineLoad, *, age_s: float = 0) -> None:
        """Apply an agent's load report on the engine at an address."""
        now = clock_s()
        if load.partial_version:
            self._partial_received_at = now
        for forecast in self._by_address.get(load.address, ()):
            is_new_incarnation = forecast.on_load(load, now=now - age_s)
            if is_new_incarnation:
                self.pool.drop(load.address)
                self.statements.on_restarted(
                    forecast.upstream.id, load.started_ms
                )
            if forecast.load is load:
                self.statements.on_load_report(
                    forecast.upstream.id,
                    is_leaving=load.is_leaving,
                    until=now - age_s + LOAD_REPORT_TTL_S,
                )
            if is_new_incarnation or not load.reachable:
                self._quarantine.on_incarnation_ended(forecast.upstream.id)
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
        now = clock_s()
        others = len(self._peers.entries()) - 1
        return choose_eligible(
            self._pools_for(required, now),
            partial(self._eligible_candidate, required, now, others),
            prompt=required.prompt,
            now=now,
            random=self._random,
        )

    def on_request(self, service: str) -> None:
        """Record a request for a service in the retry budget."""
        self._budget.on_first(service, now=clock_s())

    def spend_retry(self, service: str) -> bool:
        """Return whether a retry was taken from the budget of all entries."""
        now = clock_s()
        entry_share = self._peers.roster.budget_share(now=now)
        return self._budget.take(service, entry_share=entry_share, now=now)

    def has_retry(self, service: str) -> bool:
        """Return whether the shared budget has a retry left."""
        now = clock_s()
        entry_share = self._peers.roster.budget_share(now=now)
        return self._budget.has(service, entry_share=entry_share, now=now)

    def estimate_retry_after_s(self, service: str) -> float:
        """Return the estimated seconds until a service is available again.

        If the estimate is too short, callers retry during the same outage and
        use up their retries: their requests are refused twice and lost,
        although the service is back before their deadline. Where no upstream
        accepts a request by its own statements, the first one that will tells
        the time, and callers are spread over the second of its return.
        """
        now = clock_s()
        pool = self._pools.get(service, _Pool())
        forecasts = [*pool.near, *pool.far]
        is_loading = any(forecast.is_changing(now) for forecast in forecasts)
        outage_s = LOADING_RETRY_AFTER_S if is_loading else ABSENT_RETRY_AFTER_S
        found = [
            self.statements.acceptance(forecast.upstream.id)
            for forecast in forecasts
            if self._view.takes_requests(forecast.upstream.id, now=now)
        ]
        first = min(found, key=lambda each: each.wait_s, default=Accepting())
        match first:
            case Pausing(wait_s=wait_s):
                return wait_s + self._random.uniform(0, RETURN_S)
            case Limited(wait_s=wait_s):
                return max(wait_s, MIN_RETRY_AFTER_S)
        waits_s = (each.wait_s for each in found if each.wait_s > 0)
        return max(min((outage_s, *waits_s)), MIN_RETRY_AFTER_S)

    def take_send(self, choice: Choice) -> str:
        """Count a request right before it is sent; return why it may not be.

        The choice may be old: records and statements may have come while the
        request waited for its connection. The result is empty if the upstream,
        and each stage of its pipeline, accepts the request.
        """
        now = clock_s()
        first, *later_stages = (each.upstream.id for each in choice.forecasts)
        if not all(
            self._view.takes_requests(upstream_id, now=now)
            for upstream_id in (first, *later_stages)
        ):
            return 'its record takes no requests any more'
        found = self.statements.take(first, later_stages=later_stages)
        return '' if isinstance(found, Accepting) else f'it {found.reason}'

    def _region_of(self, upstream_id: str) -> str:
        forecast = self._forecasts.get(upstream_id)
        place = self._node.place
        if forecast is None:
            return place.region
        return place.region_of(forecast.upstream.failure_domain)

    def begin_by(self, choice: Choice | Candidate, model: str) -> float:
        """Return the time by which a request must begin at an upstream.

        Without this deadline a request that waits at a full engine could begin
        on the old version after its end. Holding back all requests early
        enough instead leaves the hosts that load last idle: with 1.6 s,
        nearly all hosts of a fleet on slow links were idle at once.
        """
        if choice.forecast.model is None:
            return math.inf
        if choice.path is not None and self._view.releases.after(
            model, choice.weights
        ):
            # The engines of the pipeline drop their layers for the newer
            # version: a request that has not begun by now must go elsewhere.
            return clock_s()
        ends_at = self._view.releases.ends_at(model, choice.weights)
        return ends_at - CANCEL_MARGIN_S

    def sample_index(self, weights: list[float]) -> int:
        """Return a random index, sampled by weight."""
        indices = range(len(weights))
        return self._random.choices(indices, weights=weights)[0]

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
                'states': self.statements.acceptance(
                    forecast.upstream.id
                ).reason,
                'slowness': round(forecast.slowness, 2),
            }
            for forecast in self._forecasts.values()
        ]

    def _index(self) -> None:
        """Index the forecasts by address and by service."""
        self._by_address = {}
        self._pools = {}
        for forecast in self._forecasts.values():
            upstream = forecast.upstream
            self._by_address.setdefault(upstream.address, []).append(forecast)
            pool = self._pools.setdefault(upstream.service, _Pool())
            is_far = self._candidate(forecast, 0).other_region
            (pool.far if is_far else pool.near).append(forecast)

    def _pools_for(
        self, required: UpstreamRequirements, now: float
    ) -> list[tuple[list[UpstreamForecast | Candidate], int]]:
        """Return the pools to sample from, most frequent reporters first.

        Their load reports are the most recent. With an older report, more
        requests go to one engine than it has capacity for.
        """
        pool = self._pools.get(required.service, _Pool())
        pipelines = self._pipeline_candidates(required, now)
        close: list[UpstreamForecast | Candidate] = []
        others: list[UpstreamForecast | Candidate] = []
        for forecast in pool.near:
            load = forecast.fresh_load(now)
            is_close = load is not None and load.is_close
            (close if is_close else others).append(forecast)
        close += [each for each in pipelines if not each.other_region]
        far: list[UpstreamForecast | Candidate] = [
            *pool.far,
            *(each for each in pipelines if each.other_region),
        ]
        enough_local = SAMPLE_SIZE - 1
        return [
            (close, enough_local),
            (others, enough_local),
            (far, SAMPLE_SIZE),
        ]

    def _eligible_candidate(
        self,
        required: UpstreamRequirements,
        now: float,
        other_entries: int,
        option: UpstreamForecast | Candidate,
    ) -> Candidate | None:
        """Return the option as a candidate if the request can begin there."""
        if isinstance(option, Candidate):
            upstream_id = option.forecast.upstream.id
            return option if self.statements.accepts(upstream_id) else None
        upstream_id = option.upstream.id
        if upstream_id in required.avoid:
            return None
        if not self.statements.accepts(upstream_id):
            return None
        if not self._view.takes_requests(upstream_id, now=now):
            return None
        option.other_entries = other_entries
        candidate = self._candidate(option, option.weights(now))
        return candidate if self._can_begin(candidate, required, now) else None

    def _usable(
        self, required: UpstreamRequirements, now: float
    ) -> list[UpstreamForecast]:
        """Return the upstreams of the service that the request may use."""
        return [
            self._forecasts[upstream.id]
            for upstream in self._view.upstreams(required.service, now=now)
            if upstream.id in self._forecasts
            and upstream.id not in required.avoid
            and self.statements.accepts_stage(upstream.id)
        ]

    def _candidate(
        self,
        forecast: UpstreamForecast,
        weights: int,
        path: Pipeline | None = None,
    ) -> Candidate:
        place = self._node.place
        domain = forecast.upstream.failure_domain
        return Candidate(
            forecast=forecast,
            other_domain=domain != place.failure_domain,
            other_region=place.region_of(domain) != place.region,
            weights=weights if forecast.model else 0,
            path=path,
        )

    def _pipeline_candidates(
        self, required: UpstreamRequirements, now: float
    ) -> list[Candidate]:
        """Return pipelines of engines that hold layers of the newest version.

        They serve while no host holds a complete version: after a power cut, or
        if the previous version ended while the newest is still transferred.
        """
        if (
            not required.may_use_pipeline
            or now - self._partial_received_at > STAGE_REPORT_TTL_S
        ):
            return []
        version, holders = self._holders(required, now)
        found = []
        for first in holders:
            model = first.forecast.model
            path = build_pipeline(
                first,
                holders,
                layers=model.figures.layers if model else 0,
                random=self._random,
            )
            if path is not None:
                found.append(self._candidate(first.forecast, version, path))
        return found

    def _holders(
        self, required: UpstreamRequirements, now: float
    ) -> tuple[int, list[LayerHolder]]:
        """Return the newest announced version and its partial holders.

        Holders of older versions are left out: an engine may change to a newer
        version while a report on its layers of an older one is still valid.
        """
        partial_holders = [
            (forecast, part)
            for forecast in self._usable(required, now)
            if (part := forecast.part(now)) and not forecast.is_avoided(now)
        ]
        models = {
            forecast.model.figures.model
            for forecast, _ in partial_holders
            if forecast.model
        }
        newest = self._view.releases.newest(next(iter(models), required.model))
        held = max((version for _, (version, _) in partial_holders), default=0)
        version = newest.version if newest else held
        region_of = self._node.place.region_of
        return version, [
            LayerHolder(
                forecast=forecast,
                layers=layers,
                region=region_of(forecast.upstream.failure_domain),
            )
            for forecast, (each, layers) in partial_holders
            if each == version
        ]

    def _can_begin(
        self, candidate: Candidate, required: UpstreamRequirements, now: float
    ) -> bool:
        """Return whether a request can begin there before the version ends."""
        forecast = candidate.forecast
        if forecast.model is None:
            return True
        if not candidate.weights or forecast.is_changing(now):
            return False
        left_s = self.begin_by(candidate, required.model) - now
        left_s -= overdue_s(
            forecast.load_report_age_s(now), is_far=candidate.other_region
        )
        if left_s > NOT_RETRYABLE_MARGIN_S - CANCEL_MARGIN_S:
            return True
        if not required.is_retryable:
            return False
        first_s = forecast.first_s(required.prompt, now)
        return left_s > max(
            START_WINDOW_FORECASTS * first_s, MIN_START_WINDOW_S
        )

    def _refresh_one(self, upstream: Upstream) -> None:
        forecast = self._forecasts.get(upstream.id)
        if forecast is None:
            forecast = UpstreamForecast(upstream)
            self._forecasts[upstream.id] = forecast
            self.statements.on_listed(upstream.id, upstream.started_ms)
        if forecast.on_record(upstream, now=clock_s()):
            # Idle connections lead to the previous incarnation.
            self.pool.drop(upstream.address)
            self.statements.on_restarted(upstream.id, upstream.started_ms)
        config = self._view.config
        service = config.service(upstream.service) if config else None
        forecast.on_engine_figures(service.engine if service else None)

    def _drop_connections(self, gone: Upstream, listed: Any) -> None:
        """Close idle connections, unless the address has a new upstream."""
        if all(upstream.address != gone.address for upstream in listed):
            self.pool.drop(gone.address)
