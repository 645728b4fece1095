"""Compares the choice of an engine under uneven demand with an oracle.

Entries and engines of a fleet in virtual time, at 0.9 of what the engines can
do in the case. The cases differ in what is uneven: the demand of the regions,
the moments of arrival, or the speed of the engines. The oracle makes the same
choice as the product, but among all engines and with the queues as they are at
the send. Shown are the share of the requests that begin later than the goal,
and the share that crosses regions, for each seed: of the choice, of the oracle,
of the choice with fresher reports, and of the changes that were tried.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from _dispatch_engine import Clock, Engine, Job
from _dispatch_policies import ALL, by_forecast
from _uneven_notified import (
    READ_INTERVAL_S,
    REPORT_DELAY_S,
    Agent,
    Recipients,
    load_report,
)
from _uneven_policies import TRIED
from attrs import define, field, frozen
from msgspec.structs import replace

from crowrudder_core.forecast import (
    REMOTE_REPORT_AGE_S,
    EngineModel,
    InFlightRequest,
    UpstreamForecast,
)
from crowrudder_model.fleet import Upstream
from crowrudder_model.messages import EngineLoad
from dispatch import FIGURES, GOAL_S, IN_TRANSIT_S, REGIONS, Entry

if TYPE_CHECKING:
    from _dispatch_policies import Policy

LOAD = 0.9
"""Arrivals as a share of what the engines of the case can do."""

SECONDS, WARM_UP_S = 16.0, 3.0
SEEDS = (1, 2, 3)
SLOW_PACE, SLOW_SHARE, SLOW_FOR_S = 2.5, 6, 0.6
"""One in ``SLOW_SHARE`` engines is slow; others are after ``SLOW_FOR_S``."""

FULL_PACE, FULL_OCCUPANCY = 1.3, 0.85
"""Slowdown of an engine from this share of its slots on, in the case of engines
that are slow when nearly full. Load reports don't include it."""

TARGET_RATIO = 1.3
"""Target for the share of late starts, as a multiple of the oracle's."""

Show = Callable[[str, float], None]


@frozen(kw_only=True)
class Reports:
    """How load reports reach the entries of an engine's region, and others.

    The delays are the bounds of a uniform distribution.

    Parameters
    ----------
    by_agent
        Whether near reports are those of an agent that reads an old state of
        its engine, see `Agent`. Otherwise they are of the moment they are sent.
    notify_delay_s
        Delay of the notifications that an agent gets of sends and ends from the
        entries of its region; None if it gets none.
    prefers_close
        Whether only a few entries of the region get all near reports, as in the
        product.
    """

    near_delay_s: tuple[float, float] = (0.1, 0.4)
    far_delay_s: tuple[float, float] = (0.6, 1.2)
    near_interval_s: float = 0.1
    far_interval_s: float = 0.3
    by_agent: bool = False
    notify_delay_s: tuple[float, float] | None = None
    prefers_close: bool = False


FRESH_S = (0.002, 0.003)
FRESH = {
    'fresh_near': Reports(near_delay_s=FRESH_S, near_interval_s=0.02),
    'fresh_far': Reports(far_delay_s=FRESH_S, far_interval_s=0.05),
    'fresh': Reports(
        near_delay_s=FRESH_S,
        far_delay_s=FRESH_S,
        near_interval_s=0.02,
        far_interval_s=0.05,
    ),
}
"""Reports without a delay, to see how much their age costs."""


@frozen(kw_only=True)
class Case:
    """What is uneven in a case.

    Parameters
    ----------
    hot_demand
        Demand of the callers of the first region, as a multiple of what its
        engines can do; 0 for demand that is equal in all regions.
    clump
        Number of requests that arrive at the same moment at different entries.
    has_slow
        Whether some engines are slow for a short time, then others.
    full_pace
        Slowdown factor of an engine that is nearly full.
    """

    hot_demand: float = 0
    clump: int = 1
    has_slow: bool = False
    full_pace: float = 1
    entries: int = 44
    engines: int = 24

    @property
    def full_from(self) -> int:
        """Number of running requests at which an engine is nearly full."""
        return round(FULL_OCCUPANCY * FIGURES.slots)

    @property
    def capacity(self) -> float:
        """Requests per second that the engines can do with all slots in use."""
        interval_s = EngineModel(FIGURES).slot_interval_s(FIGURES.slots)
        each = 1 / interval_s / self.full_pace
        slow = 1 / SLOW_SHARE if self.has_slow else 0
        return self.engines * each * (1 - slow + slow / SLOW_PACE)


CASES = {
    'even': Case(),
    'hot_region': Case(hot_demand=2.0),
    'clumps': Case(clump=12),
    'slow_engines': Case(has_slow=True),
    'slow_when_full': Case(full_pace=FULL_PACE),
}


@define(eq=False)
class UnevenWorld:
    """A fleet in virtual time; the oracle's if there is no policy."""

    case: Case
    policy: Policy | None
    seed: int
    reports: Reports = field(factory=Reports)
    clock: Clock = field(factory=Clock)
    engines: list[Engine] = field(init=False)
    entries: list[Entry] = field(init=False)
    sent: int = 0
    far: int = 0
    late: int = 0
    counted: int = 0
    _arrivals: random.Random = field(init=False)
    _delays: random.Random = field(init=False)
    _notify_delays: random.Random = field(init=False)
    _slow_group: int = 0
    _agents: list[Agent] = field(factory=list)
    _recipients: list[Recipients] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        """Create engines and entries, and start the load reports."""
        case = self.case
        self._arrivals = random.Random(self.seed)
        self._delays = random.Random(self.seed)
        self._notify_delays = random.Random(self.seed)
        self.engines = [
            Engine(
                self.clock,
                FIGURES,
                full_pace=case.full_pace,
                full_from=case.full_from,
            )
            for _ in range(case.engines)
        ]
        exact = [self._forecast(each, 0) for each in range(case.engines)]
        self.entries = [
            Entry(
                number % REGIONS,
                self._entry_forecasts(number % REGIONS)
                if self.policy
                else exact,
                random.Random(number),
            )
            for number in range(case.entries)
        ]
        if case.has_slow:
            self._rotate_slow()
        if self.reports.by_agent:
            self._agents = [
                Agent(
                    number,
                    self.clock,
                    engine,
                    first_read_s=self._first_read_s(number),
                    is_counting=self.reports.notify_delay_s is not None,
                )
                for number, engine in enumerate(self.engines)
            ]
        if self.reports.prefers_close:
            self._recipients = [
                Recipients.of(number, self._entries_of(number, is_far=False))
                for number in range(case.engines)
            ]
        if self.policy:
            for number in range(case.engines):
                self._report_first(number)
                self._report(number, is_far=True)

    @property
    def late_share(self) -> float:
        """Share of the requests that began later than the goal."""
        return self.late / max(self.counted, 1)

    @property
    def far_share(self) -> float:
        """Share of the requests that were sent to another region."""
        return self.far / max(self.sent, 1)

    @property
    def notifications_per_s(self) -> float:
        """Notifications per second that an agent gets."""
        received = sum(agent.notifications for agent in self._agents)
        return received / self.case.engines / SECONDS

    def run(self) -> None:
        """Send requests for a time, then wait for their first events."""
        self._arrive(LOAD * self.case.capacity / self.case.clump)
        self.clock.run(SECONDS + 5)

    def _arrive(self, rate: float) -> None:
        if self.clock.now >= SECONDS:
            return
        for entry in self._draw_entries():
            self._send(entry)
        wait_s = self._arrivals.expovariate(rate)
        self.clock.after(wait_s, partial(self._arrive, rate))

    def _draw_entries(self) -> list[Entry]:
        if self.case.clump > 1:
            return self._arrivals.sample(self.entries, self.case.clump)
        if not self.case.hot_demand:
            return [self._arrivals.choice(self.entries)]
        hot = self.case.hot_demand / REGIONS / LOAD
        is_hot = self._arrivals.random() < hot
        return [
            self._arrivals.choice(
                [
                    entry
                    for entry in self.entries
                    if is_hot == (entry.region == 0)
                ]
            )
        ]

    def _send(self, entry: Entry) -> None:
        prompt = round(self._arrivals.expovariate(1 / FIGURES.usual_prompt)) + 1
        answer = round(self._arrivals.expovariate(1 / FIGURES.usual_answer)) + 1
        now = self.clock.now
        forecast = self._choose(entry, prompt)
        number = int(forecast.upstream.id)
        request_number = self.sent
        self.sent += 1
        self.far += number % REGIONS != entry.region
        is_counted = now >= WARM_UP_S
        self.counted += is_counted
        forecast_s = forecast.first_s(prompt, now)
        forecast.on_sent(request_number, InFlightRequest(prompt, now))
        self._notify(entry, number, 1)

        def on_first() -> None:
            first_at = self.clock.now
            forecast.on_begun(
                request_number, forecast_s=forecast_s, now=first_at
            )
            self.late += is_counted and first_at - now > GOAL_S

        def on_end() -> None:
            forecast.on_ended(request_number)
            forecast.on_success(self.clock.now - now, now=self.clock.now)
            self._notify(entry, number, -1)

        job = Job(prompt, answer, on_first, on_end)
        self.clock.after(IN_TRANSIT_S, partial(self.engines[number].send, job))

    def _notify(self, entry: Entry, number: int, change: int) -> None:
        delay_s = self.reports.notify_delay_s
        if delay_s is None or number % REGIONS != entry.region:
            return
        self.clock.after(
            self._notify_delays.uniform(*delay_s),
            partial(self._agents[number].on_notified, change),
        )

    def _choose(self, entry: Entry, prompt: int) -> UpstreamForecast:
        if self.policy is None:
            return self._choose_exactly(entry, prompt)
        return self.policy(
            entry.candidates(),
            prompt=prompt,
            now=self.clock.now,
            random=entry.rng,
        )

    def _choose_exactly(self, entry: Entry, prompt: int) -> UpstreamForecast:
        # All requests are the own ones of forecasts that all entries share, so
        # that only the pace is left to report.
        now = self.clock.now
        for number, forecast in enumerate(entry.forecasts):
            pace = self.engines[number].pace_at(forecast.own + 1)
            forecast.slowness = 1
            report = EngineLoad(
                address=str(number), reachable=True, weights=1, pace=pace
            )
            forecast.on_load(report, now=now)
        return by_forecast(
            entry.candidates(),
            prompt=prompt,
            now=now,
            random=entry.rng,
            sample_size=ALL,
        )

    def _rotate_slow(self) -> None:
        groups = [
            self._slow_group == number * SLOW_SHARE // self.case.engines
            for number in range(self.case.engines)
        ]
        for engine, is_slow in zip(self.engines, groups, strict=True):
            engine.pace = SLOW_PACE if is_slow else 1
        self._slow_group = (self._slow_group + 1) % SLOW_SHARE
        self.clock.after(SLOW_FOR_S, self._rotate_slow)

    def _first_read_s(self, number: int) -> float:
        # Hosts read on ticks of their own clocks, which aren't aligned.
        return READ_INTERVAL_S * number / self.case.engines

    def _report_first(self, number: int) -> None:
        if not self.reports.by_agent:
            self._report(number, is_far=False)
            return
        self.clock.after(
            self._first_read_s(number) + REPORT_DELAY_S,
            partial(self._report, number, is_far=False),
        )

    def _report(self, number: int, *, is_far: bool) -> None:
        reports = self.reports
        if reports.by_agent and not is_far:
            report, as_of = self._agents[number].report()
        else:
            report = load_report(self.engines[number], number)
            as_of = self.clock.now
        delay_s = reports.far_delay_s if is_far else reports.near_delay_s
        if reports.prefers_close and not is_far:
            recipients = self._recipients[number].next_due()
        else:
            recipients = self._entries_of(number, is_far=is_far)
        for entry in recipients:
            sent = replace(report, is_close=self._is_close(entry, number))
            self.clock.after(
                self._delays.uniform(*delay_s),
                partial(entry.forecasts[number].on_load, sent, now=as_of),
            )
        self.clock.after(
            reports.far_interval_s if is_far else reports.near_interval_s,
            partial(self._report, number, is_far=is_far),
        )

    def _entries_of(self, number: int, *, is_far: bool) -> list[Entry]:
        region = number % REGIONS
        return [
            entry
            for entry in self.entries
            if is_far == (entry.region != region)
        ]

    def _is_close(self, entry: Entry, number: int) -> bool:
        if not self.reports.prefers_close:
            return False
        return entry in self._recipients[number].close

    def _entry_forecasts(self, region: int) -> list[UpstreamForecast]:
        forecasts = []
        for number in range(self.case.engines):
            forecast = self._forecast(number, self.case.entries - 1)
            if number % REGIONS != region:
                forecast.usual_report_age_s = REMOTE_REPORT_AGE_S
            forecasts.append(forecast)
        return forecasts

    def _forecast(self, number: int, other_entries: int) -> UpstreamForecast:
        upstream = Upstream(
            id=str(number),
            service='llm',
            address=str(number),
            slots=FIGURES.slots,
            weights=1,
        )
        forecast = UpstreamForecast(upstream, other_entries=other_entries)
        forecast.on_engine_figures(FIGURES)
        return forecast


POLICIES: dict[str, Policy | None] = {
    'forecast': by_forecast,
    'oracle': None,
    **TRIED,
}


def run(show: Show) -> None:
    """Print the figures of each policy in each case."""
    for name, case in CASES.items():
        for seed in SEEDS:
            worlds = {
                policy_name: UnevenWorld(case, policy, seed)
                for policy_name, policy in POLICIES.items()
            }
            for fresh_name, reports in FRESH.items():
                worlds[fresh_name] = UnevenWorld(
                    case, by_forecast, seed, reports
                )
            for world_name, world in worlds.items():
                world.run()
                prefix = f'uneven.{name}.{world_name}.{seed}'
                show(f'{prefix}.late', world.late_share)
                show(f'{prefix}.other_region', world.far_share)
