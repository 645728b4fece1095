"""Choosing an engine by forecast, beside other ways, in virtual time.

Entries and engines stand in three regions. Each way meets the same arrivals;
what differs between the cases is the load, one slow engine whose agent says
so, one agent without a word, and how often entries of other regions hear.
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
WORD_S = 0.1
IN_TRANSIT_S = 0.002
SEED = 1

Show = Callable[[str, float], None]


@frozen(kw_only=True)
class Case:
    """What the ways of choosing are put through.

    ``load`` is in parts of what all engines can do; ``far_s`` is the time
    between two words to entries of other regions.
    """

    load: float
    slow: int = 0
    silent: int = 0
    far_s: float = 0.3
    near_s: float = WORD_S
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
    draw: random.Random

    def candidates(self) -> list[Candidate]:
        """Give all engines, with how far they are."""
        return [
            Candidate(
                forecast=forecast,
                other_region=number % REGIONS != self.region,
            )
            for number, forecast in enumerate(self.forecasts)
        ]


@define(eq=False)
class World:
    """A fleet in virtual time, under one way of choosing."""

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
        """Make engines and entries, and let the words begin."""
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
            self._tell_near(number)
            self._tell_far(number)

    def run(self) -> None:
        """Send for some time, and wait for the first events."""
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
            entry.candidates(), prompt=prompt, now=now, random=entry.draw
        )
        number = int(forecast.upstream.id)
        ticket = self.sent
        self.sent += 1
        self.far += number % REGIONS != entry.region
        forecast_s = forecast.first_s(prompt, now)
        forecast.on_sent(ticket, InFlightRequest(prompt, now))

        def on_first() -> None:
            then = self.clock.now
            forecast.on_begun(ticket, forecast_s=forecast_s, now=then)
            if now >= WARM_UP_S:
                self.firsts.append(then - now)

        def on_end() -> None:
            forecast.on_ended(ticket)
            forecast.on_success(self.clock.now - now)

        job = Job(prompt, answer, on_first, on_end)
        self.clock.after(IN_TRANSIT_S, partial(self.engines[number].send, job))

    def _tell_near(self, number: int) -> None:
        self._tell(number, is_far=False)
        self.clock.after(self.case.near_s, partial(self._tell_near, number))

    def _tell_far(self, number: int) -> None:
        self._tell(number, is_far=True)
        self.clock.after(self.case.far_s, partial(self._tell_far, number))

    def _tell(self, number: int, *, is_far: bool) -> None:
        engine = self.engines[number]
        word = EngineLoad(
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
                    IN_TRANSIT_S, partial(forecast.on_load, word, now=now)
                )


def _upstream_forecast(number: int, case: Case) -> UpstreamForecast:
    upstream = Upstream(
        id=str(number),
        service='llm',
        address=str(number),
        slots=FIGURES.slots,
        weights=1,
    )
    made = UpstreamForecast(upstream, other_entries=case.entries - 1)
    made.on_engine_figures(FIGURES)
    return made


def run(show: Show) -> None:
    """Print each way's figures in each case."""
    for name, case in CASES.items():
        for way, policy in {**POLICIES, **EARLIER}.items():
            world = World(case, policy)
            world.run()
            firsts = sorted(world.firsts)
            in_goal = sum(first <= GOAL_S for first in firsts)
            start = f'dispatch.{name}.{way}'
            show(f'{start}.in_goal', in_goal / len(firsts))
            show(f'{start}.first_p50_s', firsts[len(firsts) // 2])
            show(f'{start}.first_p99_s', firsts[len(firsts) * 99 // 100])
            show(f'{start}.other_region', world.far / world.sent)
