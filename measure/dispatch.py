"""Compares choosing an engine by forecast with other policies, in virtual time.

Entries and engines are spread over three regions. Each policy gets the same
arrivals; the cases differ in load, in size, in the number of slow engines whose
agents report the slowdown, in the number of agents that send no load reports,
and in how often entries of other regions receive them.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from _dispatch_engine import Clock, Engine, Job
from _dispatch_policies import EARLIER, POLICIES
from attrs import define, field, frozen

from crowrudder_core.forecast import (
    Candidate,
    EngineModel,
    InFlightRequest,
    UpstreamForecast,
)
from crowrudder_model.fleet import EngineFigures, Upstream
from crowrudder_model.messages import EngineLoad

if TYPE_CHECKING:
    from _dispatch_policies import Policy

FIGURES = EngineFigures(
    slots=16,
    step_s=0.009,
    step_per_writer_s=0.0002,
    steps_per_pass=5,
    read_tokens_per_s=20_000,
    usual_prompt=900,
    usual_answer=90,
)
REGIONS = 3
SECONDS = 20.0
WARM_UP_S = 2.0
GOAL_S = 0.45
LOAD_REPORT_INTERVAL_S = 0.1
IN_TRANSIT_S = 0.002
SEED = 1

Show = Callable[[str, float], None]


@frozen(kw_only=True)
class Case:
    """Conditions under which the policies are compared.

    ``load`` is a fraction of the capacity of all engines; ``far_s`` is the
    interval between load reports to entries of other regions.
    """

    load: float
    slow: int = 0
    silent: int = 0
    far_s: float = 0.3
    near_s: float = LOAD_REPORT_INTERVAL_S
    entries: int = 6
    engines: int = 12


CASES = {
    'usual': Case(load=0.6),
    'usual_far_0.1': Case(load=0.6, far_s=0.1),
    'usual_far_1.0': Case(load=0.6, far_s=1.0),
    'high': Case(load=0.85),
    'slow': Case(load=0.6, slow=2),
    'silent': Case(load=0.6, silent=2),
    'large': Case(load=0.85, entries=44, engines=24),
    'large_high': Case(load=0.95, entries=44, engines=24),
}


@define(eq=False)
class Entry:
    """One entry's knowledge of the engines."""

    region: int
    forecasts: list[UpstreamForecast]
    rng: random.Random

    def candidates(self) -> list[Candidate]:
        """Return all engines, with whether they are in another region."""
        return [
            Candidate(
                forecast=forecast,
                other_region=number % REGIONS != self.region,
            )
            for number, forecast in enumerate(self.forecasts)
        ]


@define(eq=False)
class World:
    """A fleet in virtual time under one policy."""

    case: Case
    policy: Policy
    clock: Clock = field(factory=Clock)
    engines: list[Engine] = field(init=False)
    entries: list[Entry] = field(init=False)
    firsts: list[float] = field(factory=list)
    sent: int = 0
    far: int = 0
    _random: random.Random = field(factory=lambda: random.Random(SEED))

    def __attrs_post_init__(self) -> None:
        """Create engines and entries, and start the load reports."""
        self.engines = [
            Engine(
                self.clock, FIGURES, pace=3 if number < self.case.slow else 1
            )
            for number in range(self.case.engines)
        ]
        self.entries = [
            Entry(
                number % REGIONS,
                [
                    _upstream_forecast(each, self.case)
                    for each in range(self.case.engines)
                ],
                random.Random(number),
            )
            for number in range(self.case.entries)
        ]
        for number in range(self.case.silent, self.case.engines):
            self._report_near(number)
            self._report_far(number)

    def run(self) -> None:
        """Send requests for a time, then wait for their first events."""
        slot_interval_s = EngineModel(FIGURES).slot_interval_s(FIGURES.slots)
        rate = self.case.load * self.case.engines / slot_interval_s
        self._arrive(rate)
        self.clock.run(SECONDS + 5)

    def _arrive(self, rate: float) -> None:
        if self.clock.now < SECONDS:
            self._send()
            wait_s = self._random.expovariate(rate)
            self.clock.after(wait_s, partial(self._arrive, rate))

    def _send(self) -> None:
        entry = self._random.choice(self.entries)
        prompt = round(self._random.expovariate(1 / FIGURES.usual_prompt)) + 1
        answer = round(self._random.expovariate(1 / FIGURES.usual_answer)) + 1
        now = self.clock.now
        forecast = self.policy(
            entry.candidates(), prompt=prompt, now=now, random=entry.rng
        )
        number = int(forecast.upstream.id)
        request_number = self.sent
        self.sent += 1
        self.far += number % REGIONS != entry.region
        forecast_s = forecast.first_s(prompt, now)
        forecast.on_sent(request_number, InFlightRequest(prompt, now))

        def on_first() -> None:
            first_at = self.clock.now
            forecast.on_begun(
                request_number, forecast_s=forecast_s, now=first_at
            )
            if now >= WARM_UP_S:
                self.firsts.append(first_at - now)

        def on_end() -> None:
            forecast.on_ended(request_number)
            forecast.on_success(self.clock.now - now, now=self.clock.now)

        job = Job(prompt, answer, on_first, on_end)
        self.clock.after(IN_TRANSIT_S, partial(self.engines[number].send, job))

    def _report_near(self, number: int) -> None:
        self._send_report(number, is_far=False)
        self.clock.after(self.case.near_s, partial(self._report_near, number))

    def _report_far(self, number: int) -> None:
        self._send_report(number, is_far=True)
        self.clock.after(self.case.far_s, partial(self._report_far, number))

    def _send_report(self, number: int, *, is_far: bool) -> None:
        engine = self.engines[number]
        report = EngineLoad(
            address=str(number),
            reachable=True,
            weights=1,
            running=len(engine.running),
            queued=len(engine.queue),
            pace=engine.pace,
        )
        for entry in self.entries:
            if is_far == (entry.region != number % REGIONS):
                forecast = entry.forecasts[number]
                now = self.clock.now + IN_TRANSIT_S
                self.clock.after(
                    IN_TRANSIT_S, partial(forecast.on_load, report, now=now)
                )


def _upstream_forecast(number: int, case: Case) -> UpstreamForecast:
    upstream = Upstream(
        id=str(number),
        service='llm',
        address=str(number),
        slots=FIGURES.slots,
        weights=1,
    )
    forecast = UpstreamForecast(upstream, other_entries=case.entries - 1)
    forecast.on_engine_figures(FIGURES)
    return forecast


def run(show: Show) -> None:
    """Print the figures of each policy in each case."""
    for name, case in CASES.items():
        for policy_name, policy in {**POLICIES, **EARLIER}.items():
            world = World(case, policy)
            world.run()
            firsts = sorted(world.firsts)
            in_goal = sum(first <= GOAL_S for first in firsts)
            prefix = f'dispatch.{name}.{policy_name}'
            show(f'{prefix}.in_goal', in_goal / len(firsts))
            show(f'{prefix}.first_p50_s', firsts[len(firsts) // 2])
            show(f'{prefix}.first_p99_s', firsts[len(firsts) * 99 // 100])
            show(f'{prefix}.other_region', world.far / world.sent)
