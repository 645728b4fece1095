"""Choice of the upstream that a request is sent to."""

from __future__ import annotations

import math
from functools import partial
from typing import TYPE_CHECKING

from attrs import frozen

from crowrudder_core.forecast import (
    NO_PRIORITY,
    Candidate,
    LayerHolder,
    Priority,
    UpstreamForecast,
    build_pipeline,
    choose_eligible,
    is_slow_to_reach,
    memory_of,
    report_overdue_s,
)
from crowrudder_core.forecast._choice import SAMPLE_SIZE
from crowrudder_core.forecast._upstream_forecast import STAGE_REPORT_TTL_S
from crowrudder_daemon._clock import clock_s
from crowrudder_daemon.fleet_entry._version_end import (
    CANCEL_MARGIN_S,
    MIN_START_WINDOW_S,
    NOT_RETRYABLE_MARGIN_S,
    START_WINDOW_FORECASTS,
)

if TYPE_CHECKING:
    from random import Random

    from crowrudder_core.catalog import FleetView
    from crowrudder_core.forecast import Choice, Pipeline
    from crowrudder_daemon.fleet_entry._forecast_table import ForecastTable
    from crowrudder_daemon.fleet_entry._statements import EntryStatements
    from crowrudder_daemon.fleet_entry._upstream_capacity import (
        UpstreamCapacity,
    )
    from crowrudder_model.fleet import LayerRange, NodeLocation, Upstream


@frozen(kw_only=True)
class UpstreamRequirements:
    """The requirements of a request for the choice of an upstream.

    ``is_retryable`` is whether it may be cancelled and sent elsewhere,
    ``may_use_pipeline`` whether several engines may run it together, as it may
    be sent again if one of them fails. ``regions`` are those in which it may be
    served, None for any. ``prompt`` and ``answer`` are tokens, 0 if not stated.
    """

    service: str
    model: str = ''
    prompt: int = 0
    answer: int = 0
    avoid: frozenset[str] = frozenset()
    is_retryable: bool = False
    may_use_pipeline: bool = False
    regions: frozenset[str] | None = None
    priority: Priority = NO_PRIORITY


class UpstreamChooser:
    """Chooses among the upstreams of a service, or pipelines of them."""

    def __init__(
        self,
        table: ForecastTable,
        *,
        place: NodeLocation,
        view: FleetView,
        statements: EntryStatements,
        random: Random,
        capacity: UpstreamCapacity,
    ) -> None:
        self._table = table
        self._place = place
        self._view = view
        self._statements = statements
        self._random = random
        self._capacity = capacity

    def choose(
        self, required: UpstreamRequirements, *, other_entries: int
    ) -> Choice | None:
        """Return the upstream chosen for a request; None if none can serve."""
        now = clock_s()
        return choose_eligible(
            self._pools_for(required, now),
            partial(self._eligible_candidate, required, now, other_entries),
            prompt=required.prompt,
            now=now,
            random=self._random,
            priority=required.priority,
        )

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

    def _pools_for(
        self, required: UpstreamRequirements, now: float
    ) -> list[tuple[list[UpstreamForecast | Candidate], int]]:
        """Return the pools to sample from, most frequent reporters first.

        Their load reports are the most recent. With an older report, more
        requests go to one engine than it has capacity for.
        """
        pool = self._table.pool(required.service)
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
            if not self._statements.accepts(upstream_id):
                return None
            address = option.forecast.upstream.address
            return option if self._capacity.has_connection(address) else None
        upstream_id = option.upstream.id
        if upstream_id in required.avoid:
            return None
        if not self._may_serve(required, option.upstream):
            return None
        if not (
            self._statements.accepts(upstream_id)
            and self._view.takes_requests(upstream_id, now=now)
        ):
            return None
        option.other_entries = other_entries
        candidate = self._candidate(option, option.weights(now))
        if not self._can_begin(candidate, required, now):
            return None
        is_free = self._has_capacity(option, required, now)
        return candidate if is_free else None

    def _has_capacity(
        self,
        forecast: UpstreamForecast,
        required: UpstreamRequirements,
        now: float,
    ) -> bool:
        """Return whether a request finds memory and a connection."""
        memory = memory_of(forecast, required.prompt, required.answer)
        return self._capacity.has_memory(
            forecast, memory, now
        ) and self._capacity.has_connection(forecast.upstream.address)

    def _usable(
        self, required: UpstreamRequirements, now: float
    ) -> list[UpstreamForecast]:
        """Return the upstreams of the service that the request may use."""
        return [
            self._table.by_id[upstream.id]
            for upstream in self._view.upstreams(required.service, now=now)
            if upstream.id in self._table.by_id
            and upstream.id not in required.avoid
            and self._may_serve(required, upstream)
            and self._statements.accepts_stage(upstream.id)
        ]

    def _may_serve(
        self, required: UpstreamRequirements, upstream: Upstream
    ) -> bool:
        if required.regions is None:
            return True
        region = self._place.region_of(upstream.failure_domain)
        return region in required.regions

    def _candidate(
        self,
        forecast: UpstreamForecast,
        weights: int,
        path: Pipeline | None = None,
    ) -> Candidate:
        upstream = forecast.upstream
        return Candidate(
            forecast=forecast,
            other_domain=upstream.failure_domain != self._place.failure_domain,
            other_region=self._table.is_far(upstream),
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
            or now - self._table.partial_received_at > STAGE_REPORT_TTL_S
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
            if (part := forecast.part(now))
            and not forecast.is_avoided(now)
            and not is_slow_to_reach(forecast, now)
            and self._has_stage_memory(forecast, part[1], required, now)
        ]
        models = {
            forecast.model.figures.model
            for forecast, _ in partial_holders
            if forecast.model
        }
        newest = self._view.releases.newest(next(iter(models), required.model))
        held = max((version for _, (version, _) in partial_holders), default=0)
        version = newest.version if newest else held
        region_of = self._place.region_of
        return version, [
            LayerHolder(
                forecast=forecast,
                layers=layers,
                region=region_of(forecast.upstream.failure_domain),
            )
            for forecast, (each, layers) in partial_holders
            if each == version
        ]

    def _has_stage_memory(
        self,
        forecast: UpstreamForecast,
        layers: LayerRange,
        required: UpstreamRequirements,
        now: float,
    ) -> bool:
        memory = memory_of(
            forecast,
            required.prompt,
            required.answer,
            layers=layers.end - layers.first,
        )
        return self._capacity.has_memory(forecast, memory, now)

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
        left_s -= max(
            forecast.transit.delay_s(now), report_overdue_s(forecast, now)
        )
        if left_s > NOT_RETRYABLE_MARGIN_S - CANCEL_MARGIN_S:
            return True
        if not required.is_retryable:
            return False
        first_s = forecast.first_s(required.prompt, now, required.priority)
        return left_s > max(
            START_WINDOW_FORECASTS * first_s, MIN_START_WINDOW_S
        )
