"""An entry's state of one upstream, and the forecast that follows from it."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import define, field

from crowrudder_core.forecast._engine import EngineModel
from crowrudder_core.forecast._incarnation import IncarnationTracker
from crowrudder_core.forecast._priority import NO_PRIORITY, Priority
from crowrudder_core.transit import TransitDelay
from crowrudder_model.fleet import LayerRange

if TYPE_CHECKING:
    from crowrudder_model.fleet import EngineFigures, Upstream
    from crowrudder_model.messages import EngineLoad

CROWDED_OCCUPANCY = 0.6
"""Share of the slots in use from which on an engine is less preferred."""

ASSUMED_OCCUPANCY = 0.75
"""Share of the slots assumed to be in use at an engine without a fresh load
report."""

LOAD_REPORT_TTL_S = 1.0
"""Time for which an agent's load report counts; one is sent every 0.1 s."""

STAGE_REPORT_TTL_S = 0.5
"""Time for which a load report makes an engine eligible as a pipeline stage.
An agent announces one second ahead that it drops a partial version, see
`Loader`."""

LOCAL_REPORT_AGE_S = 0.5
"""Usual age of a load report from the own region: agents repeat it every
0.4 s."""

REMOTE_REPORT_AGE_S = 1.2
"""The same for a report that relays forward from another region."""

IN_TRANSIT_S = 0.004
"""A request sent less than this before a load report may not be counted in
it."""

INITIAL_AVOID_S = 0.3
"""How long an upstream is avoided after the first of consecutive failures."""

MAX_AVOID_S = 4.0

OUTCOME_EWMA_WEIGHT = 0.15
"""Weight of the newest outcome in the exponentially weighted means."""

FAILURE_PENALTY_S = 0.6
"""Cost of a certain failure in seconds: one more attempt elsewhere."""

SLOWNESS_DECAY_S = 0.5
"""Time constant by which measured slowness decays to a third for admission: a
queue that delayed first events is worked off in about that time."""

MAX_SLOWNESS = 8.0
DEFAULT_PLAIN_RUN_S = 0.05
"""Assumed response time of a plain service before any was measured."""


@define
class InFlightRequest:
    """A request that is at an upstream.

    ``memory`` is what it takes of an engine's memory, see `memory_of`;
    ``is_reported`` is whether the last load report counts it.
    """

    prompt: int
    sent_at: float
    has_begun: bool = False
    urgency: int = 0
    memory: int = 0
    is_reported: bool = False


@define(eq=False)
class UpstreamForecast:
    """The state of one upstream as seen by an entry.

    Own requests are known as of now. Those of other entries come from the
    agent's load report and are as old as it is. ``transit`` is shared by all
    upstreams of a host. The last report, of ``reported_at``, is at most
    ``usual_report_age_s`` old unless one was lost or delayed; it may be older
    than the record. ``in_flight`` are the own requests by ticket, ``own_in_load``
    is how many of them the last report counts.
    """

    upstream: Upstream
    transit: TransitDelay = field(factory=TransitDelay)
    usual_report_age_s: float = LOCAL_REPORT_AGE_S
    reported_at: float = -math.inf
    model: EngineModel | None = None
    load: EngineLoad | None = None
    avoid_until: float = 0
    failures: int = 0
    failure_share: float = 0
    slowness: float = 1
    run_s: float = DEFAULT_PLAIN_RUN_S
    _run_measured_at: float = 0
    other_entries: int = 0
    _slowness_updated_at: float = 0
    _load_as_of: float = -1.0e9
    own_in_load: int = 0
    _own_pending_in_load: int = 0
    in_flight: dict[int, InFlightRequest] = field(factory=dict)
    _incarnation: IncarnationTracker = field(factory=IncarnationTracker)

    def __attrs_post_init__(self) -> None:
        """Start with the incarnation of the first record."""
        self._incarnation.apply_record(
            self.upstream.started_ms, now=self._load_as_of
        )

    def on_record(self, upstream: Upstream, *, now: float) -> bool:
        """Apply the record; return whether it began a new incarnation."""
        self.upstream = upstream
        if not self._incarnation.apply_record(upstream.started_ms, now=now):
            return False
        self._reset(now)
        return True

    def on_engine_figures(self, figures: EngineFigures | None) -> None:
        """Set the engine figures of the upstream's service."""
        self.model = EngineModel(figures) if figures else None

    def on_load(self, load: EngineLoad, *, now: float) -> bool:
        """Apply the load report of the engine's agent, as of ``now``.

        Return whether it is the first of a new incarnation.

        Reports relayed by other entries are older than those received from the
        agent itself. If such a report replaced a newer one, an engine that is
        loading weights would get requests.
        """
        if now < self._load_as_of:
            return False
        if not self._incarnation.is_report_current(load.started_ms, as_of=now):
            return False
        is_new = self._incarnation.apply_report(load.started_ms, as_of=now)
        if is_new:
            self._reset(now)
        self.load = load
        self._load_as_of = self.reported_at = now
        counted = [
            request
            for request in self.in_flight.values()
            if request.sent_at <= now - IN_TRANSIT_S
        ]
        for reported in counted:
            reported.is_reported = True
        self.own_in_load = len(counted)
        self._own_pending_in_load = sum(
            not request.has_begun for request in counted
        )
        return is_new

    def fresh_load(self, now: float) -> EngineLoad | None:
        """Return the load report, or None if it has expired."""
        if now - self._load_as_of > LOAD_REPORT_TTL_S:
            return None
        return self.load

    def load_report_age_s(self, now: float) -> float:
        """Return the age of the last load report; -1 if there was none."""
        return now - self._load_as_of if self.load else -1

    def on_sent(self, ticket: int, request: InFlightRequest) -> None:
        """Count a request that is sent."""
        self.in_flight[ticket] = request

    def on_begun(
        self,
        ticket: int,
        *,
        forecast_s: float,
        now: float,
        transit_s: float = 0,
    ) -> None:
        """Record the first event and compare it with the forecast.

        ``forecast_s`` and the measured time are without ``transit_s``, which
        the request spent on its way. Otherwise an engine would count as slow,
        and be avoided, because its host's link was.
        """
        request = self.in_flight.get(ticket)
        if request is None or request.has_begun:
            return
        request.has_begun = True
        took_s = now - request.sent_at - transit_s
        slowness = self._slowness_at(request.sent_at)
        ratio = took_s / max(forecast_s / slowness, 0.001)
        self.slowness = _running_mean(
            self.slowness,
            min(max(ratio, 1), MAX_SLOWNESS),
        )
        self._slowness_updated_at = now

    def _slowness_at(self, now: float) -> float:
        age_s = max(now - self._slowness_updated_at, 0)
        return 1 + (self.slowness - 1) * math.exp(-age_s / SLOWNESS_DECAY_S)

    def on_ended(self, ticket: int) -> InFlightRequest | None:
        """Remove and return a request that is no longer at the upstream."""
        return self.in_flight.pop(ticket, None)

    def on_success(
        self, took_s: float, *, now: float, is_proven: bool = True
    ) -> None:
        """Record a complete answer, which took ``took_s`` until ``now``.

        One that only its connection delimits may be the last one before a
        crash. Without proof that it is whole, the upstream stays avoided.
        """
        self.failures = 0
        if is_proven:
            self.avoid_until = 0
        self.failure_share = _running_mean(self.failure_share, 0)
        self.run_s = _running_mean(self.run_s, took_s)
        self._run_measured_at = now

    def on_failure(self, *, now: float, avoid: bool) -> None:
        """Record a failure; ``avoid`` where the upstream may be down."""
        self.failure_share = _running_mean(self.failure_share, 1)
        if not avoid:
            return
        self.failures += 1
        pause_s = INITIAL_AVOID_S * 2 ** min(self.failures - 1, 6)
        self.avoid_until = now + min(pause_s, MAX_AVOID_S)

    def on_stream_stall(self) -> None:
        """Record a stream that stalled for too long."""
        self.failure_share = _running_mean(self.failure_share, 1)

    def is_avoided(self, now: float) -> bool:
        """Return whether the upstream is unreachable or failed recently."""
        load = self.fresh_load(now)
        if load is not None and not load.reachable:
            return True
        return now < self.avoid_until

    def is_changing(self, now: float) -> bool:
        """Return whether its agent accepts no requests as it loads weights."""
        load = self.fresh_load(now)
        return load is not None and load.is_changing

    def weights(self, now: float) -> int:
        """Return the loaded version by the fresher of record and report."""
        load = self.fresh_load(now)
        if load is not None:
            return load.weights
        record = self.upstream
        layers = self.model.figures.layers if self.model else 0
        is_complete = record.layers.is_complete(layers)
        if not self._incarnation.is_recorded or not is_complete:
            return 0
        return record.weights

    def part(self, now: float) -> tuple[int, LayerRange] | None:
        """Return the partially held version and its layer range, or None.

        Only a fresh load report is used: after an older one, the engine may
        already hold the same layers of another version.
        """
        load = self.load
        if load is None or now - self._load_as_of > STAGE_REPORT_TTL_S:
            return None
        if load.is_changing or not load.reachable or not load.partial_version:
            return None
        return load.partial_version, LayerRange(
            load.first_layer, load.end_layer
        )

    @property
    def own(self) -> int:
        """Requests of this entry at the upstream."""
        return len(self.in_flight)

    def others(self, now: float) -> int:
        """Estimate the requests of other entries at the upstream.

        Without a fresh load report, each other entry is assumed to send as
        much as this one, and an engine to have a typical occupancy. Otherwise
        an engine whose agent is paused would look the least loaded, and every
        entry would send all its requests there: of many entries, each seldom
        has a request of its own at a given engine.
        """
        load = self.fresh_load(now)
        if load is None:
            assumed = 0
            if self.model is not None and self.other_entries:
                busy = int(ASSUMED_OCCUPANCY * self.upstream.slots)
                assumed = max(busy - self.own, 0)
            return max(self.own * self.other_entries, assumed)
        return max(load.running + load.queued - self.own_in_load, 0)

    def total(self, now: float) -> int:
        """Estimate all requests at the upstream."""
        return self.own + self.others(now)

    def occupancy(self, now: float) -> float:
        """Return the ratio of requests to slots."""
        return self.total(now) / max(self.upstream.slots, 1)

    def is_crowded(self, now: float) -> bool:
        """Return whether few slots of an engine are free."""
        return (
            self.model is not None and self.occupancy(now) > CROWDED_OCCUPANCY
        )

    def first_s(
        self, prompt: int, now: float, priority: Priority = NO_PRIORITY
    ) -> float:
        """Forecast the time to the first event, or to a plain answer."""
        if self.model is None:
            return self.run_s * self._plain_runs(now, priority)
        return self.slowness * self._engine_forecast_s(
            self.model, prompt, now, priority
        )

    def admitted_first_s(
        self, prompt: int, now: float, priority: Priority = NO_PRIORITY
    ) -> float:
        """Forecast the time to the first event for the admission of a request.

        Here measured slowness decays, and the response time of a plain service
        if it is long. If they didn't, a burst that delays first events would
        raise the forecasts above the admission limit, and without requests
        nothing would show that the burst is over: engines refused nine of ten
        requests although those that they accepted began in a third of the
        forecast time. In the choice of an upstream they don't decay.
        """
        if self.model is None:
            return self.own_s(prompt, now) * self._plain_runs(now, priority)
        undecayed_s = self.first_s(prompt, now, priority)
        return undecayed_s * self._slowness_at(now) / self.slowness

    def own_s(self, prompt: int, now: float) -> float:
        """Return the part of a forecast that doesn't depend on other requests.

        It is the time to read the prompt, or to answer in a plain service.
        """
        if self.model is None:
            age_s = max(now - self._run_measured_at, 0)
            return _decayed_run_s(self.run_s, age_s)
        return self.model.prefill_s(prompt)

    def _reset(self, now: float) -> None:
        """Drop the state of an earlier incarnation."""
        self.load = None
        self._load_as_of = now
        self.own_in_load = self._own_pending_in_load = 0
        self.avoid_until = 0
        self.failures = 0
        self.failure_share = 0
        self.slowness = 1
        self.run_s = DEFAULT_PLAIN_RUN_S

    def _plain_runs(self, now: float, priority: Priority) -> float:
        """Return how many response times a plain service takes to answer."""
        slots = max(self.upstream.slots, 1)
        overtaken = self._overtaken(priority, now)
        ahead = max(self.total(now) - overtaken + 1 - slots, 0)
        return 1 + ahead / slots

    def _overtaken(self, priority: Priority, now: float) -> float:
        """Estimate how many waiting requests a request would overtake.

        Upstreams take requests from their queues by urgency. All that are
        beyond the slots wait; which of those of other entries do isn't known.
        """
        queued = max(self.total(now) - self.upstream.slots, 0)
        if not queued:
            return 0
        pending = [
            request
            for request in self.in_flight.values()
            if not request.has_begun
        ]
        own = sum(each.urgency > priority.urgency for each in pending)
        load = self.fresh_load(now)
        if load is None:
            others = queued - len(pending)
        else:
            others = load.queued - self._own_pending_in_load
        less_urgent = own + priority.less_urgent_share * max(others, 0)
        return min(less_urgent, queued)

    def _engine_forecast_s(
        self, model: EngineModel, prompt: int, now: float, priority: Priority
    ) -> float:
        load = self.fresh_load(now)
        slowdown = load.pace if load else 1.0
        total = self.total(now)
        slots = max(self.upstream.slots, 1)
        writers = min(total, slots)
        overtaken = self._overtaken(priority, now)
        overtaken_s = overtaken * model.prefill_s(model.figures.usual_prompt)
        pending_s = max(self._pending_prefill_s(model, now) - overtaken_s, 0)
        ahead = max(total - overtaken + 1 - slots, 0)
        slot_wait_s = ahead * model.slot_interval_s(writers)
        pass_s = model.pass_s(writers)
        own_prefill_s = model.prefill_s(prompt) + 1.5 * pass_s
        return slowdown * (slot_wait_s + pending_s + own_prefill_s)

    def _pending_prefill_s(self, model: EngineModel, now: float) -> float:
        """Estimate the prefill time of the prompts ahead of a new request."""
        own = sum(
            model.prefill_s(request.prompt)
            for request in self.in_flight.values()
            if not request.has_begun
        )
        load = self.fresh_load(now)
        if load is None:
            return own * (1 + self.other_entries)
        others = max(load.queued - self._own_pending_in_load, 0)
        return own + others * model.prefill_s(model.figures.usual_prompt)


def _running_mean(before: float, measured: float) -> float:
    return before + OUTCOME_EWMA_WEIGHT * (measured - before)


def _decayed_run_s(run_s: float, age_s: float) -> float:
    """Return a measured response time, decayed to the default if longer."""
    excess_s = max(run_s - DEFAULT_PLAIN_RUN_S, 0)
    return run_s - excess_s * (1 - math.exp(-age_s / SLOWNESS_DECAY_S))
