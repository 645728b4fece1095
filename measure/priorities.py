"""Compares admission by priority with admission by forecast alone.

Entries and engines of a fleet in virtual time, with three priorities and a
burst of one of them. Shown are, by priority and for the time of the burst, the
share of the requests that begin within their goal, the share that is refused,
and how much of the engines' slots is in use: means of ten seeds. The policy
``fresh`` is admission by priority with load reports that are 20 ms old at most.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from functools import partial

from _dispatch_engine import Clock, Engine, Job
from attrs import define, evolve, field, frozen

from crowrudder_core.admission import AdmissionRequest, PriorityAdmission
from crowrudder_core.admission._levels import MAX_URGENCY
from crowrudder_core.forecast import (
    NO_PRIORITY,
    Candidate,
    EngineModel,
    InFlightRequest,
    Priority,
    UpstreamForecast,
    choose,
    reserved_wait_s,
)
from crowrudder_model.fleet import EngineFigures, Upstream
from crowrudder_model.messages import EngineLoad

FIGURES = EngineFigures(
    slots=12,
    step_s=0.009,
    step_per_writer_s=0.0001,
    steps_per_pass=5,
    read_tokens_per_s=19_000,
    usual_prompt=950,
    usual_answer=95,
)
REGIONS = 3
BURST_AT_S, BURST_S = 6.0, 6.0
SECONDS = 14.0
SEEDS = range(1, 11)
REPORT_S, FAR_REPORT_S, FRESH_REPORT_S = 0.1, 0.6, 0.02
IN_TRANSIT_S = 0.002
CROWDED_GOALS, RETURNING_GOALS, GOALS = 0.75, 0.8, 1.0
MAX_RETRY_AFTER_S = 2.0

Show = Callable[[str, float], None]


@frozen(kw_only=True)
class Kind:
    """Requests of one priority; ``load`` is a share of the capacity."""

    urgency: int
    goal_s: float
    load: float
    prompt: int
    answer: int
    burst: float = 1
    customer: str = ''


@frozen(kw_only=True)
class Case:
    """The kinds of a case, the entries and the engines.

    ``sessions`` is the number of sessions of each kind, 0 if each request is
    alone; ``hot_share`` is the share of the requests that belong to the first.
    Refused requests come back up to ``returns`` times. New ones arrive for
    ``seconds``.
    """

    kinds: tuple[Kind, ...]
    entries: int = 30
    engines: int = 12
    sessions: int = 0
    hot_share: float = 0
    returns: int = 0
    seconds: float = SECONDS


@frozen(kw_only=True)
class Request:
    """A request of a kind; ``returns`` is how often it was refused before."""

    kind: Kind
    prompt: int
    answer: int
    session: int = 0
    returns: int = 0
    is_counted: bool = False


URGENT = Kind(urgency=0, goal_s=0.4, load=0.25, prompt=790, answer=100)
MIDDLE = Kind(urgency=1, goal_s=0.4, load=0.15, prompt=610, answer=65)
LAST = Kind(urgency=2, goal_s=1.0, load=0.35, prompt=1290, answer=105)
LAST_OF_TWO = Kind(urgency=2, goal_s=1.0, load=0.5, prompt=1290, answer=105)


def _with_burst(kind: Kind, burst: float) -> Kind:
    return evolve(kind, burst=burst)


CASES = {
    'calm': Case(kinds=(URGENT, MIDDLE, LAST)),
    'burst_of_last_of_two': Case(kinds=(URGENT, _with_burst(LAST_OF_TWO, 2.9))),
    'burst_of_last': Case(kinds=(URGENT, MIDDLE, _with_burst(LAST, 4.0))),
    'burst_of_urgent': Case(kinds=(_with_burst(URGENT, 2.6), MIDDLE, LAST)),
}


@frozen(kw_only=True)
class Attempt:
    """What was decided about a request that arrived during the burst."""

    request: Request
    is_admitted: bool


@define
class Outcome:
    """What became of the requests of a priority."""

    asked: int = 0
    in_time: int = 0
    refused: int = 0


@define(eq=False)
class Entry:
    """One entry's knowledge of the engines and of the demand."""

    region: int
    forecasts: list[UpstreamForecast]
    rng: random.Random
    admission: PriorityAdmission = field(factory=PriorityAdmission)

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
class PriorityWorld:
    """A fleet in virtual time; ``by_priority`` switches the admission on.

    With ``is_fresh``, load reports are at most 20 ms old, which shows
    what is late because of older ones.
    """

    case: Case
    by_priority: bool
    seed: int = 1
    is_fresh: bool = False
    clock: Clock = field(factory=Clock)
    outcomes: dict[int, Outcome] = field(factory=dict)
    engines: list[Engine] = field(init=False)
    entries: list[Entry] = field(init=False)
    busy: list[float] = field(factory=list)
    attempts: list[Attempt] = field(factory=list)
    _random: random.Random = field(init=False)
    _sessions: random.Random = field(init=False)
    _sent: int = 0

    def __attrs_post_init__(self) -> None:
        """Create engines and entries, and start the load reports."""
        self._random = random.Random(self.seed)
        self._sessions = random.Random(-self.seed)
        count = self.case.engines
        self.engines = [Engine(self.clock, FIGURES) for _ in range(count)]
        self.entries = [
            Entry(
                number % REGIONS,
                [_forecast(each, self.case) for each in range(count)],
                random.Random(number),
            )
            for number in range(self.case.entries)
        ]
        for number in range(count):
            self._report(number, is_far=False)
            self._report(number, is_far=True)

    def run(self) -> None:
        """Run the case to its end."""
        capacity = self.case.engines / EngineModel(FIGURES).slot_interval_s(
            FIGURES.slots
        )
        for kind in self.case.kinds:
            self.outcomes.setdefault(kind.urgency, Outcome())
            self._arrive(kind, kind.load * capacity)
        self._sample()
        self.clock.run(self.case.seconds + 4)

    @property
    def is_burst(self) -> bool:
        """Whether the burst is on now."""
        return 0 <= self.clock.now - BURST_AT_S < BURST_S

    def _sample(self) -> None:
        if self.clock.now >= self.case.seconds:
            return
        if self.is_burst:
            running = sum(len(engine.running) for engine in self.engines)
            self.busy.append(running / len(self.engines) / FIGURES.slots)
        self.clock.after(0.05, self._sample)

    def _arrive(self, kind: Kind, rate: float) -> None:
        if self.clock.now >= self.case.seconds:
            return
        entry = self._random.choice(self.entries)
        self._offer(self._request(kind), entry)
        burst = kind.burst if self.is_burst else 1
        self.clock.after(
            self._random.expovariate(rate * burst),
            partial(self._arrive, kind, rate),
        )

    def _request(self, kind: Kind) -> Request:
        prompt = round(self._random.expovariate(1 / kind.prompt)) + 1
        answer = round(self._random.expovariate(1 / kind.answer)) + 1
        self.outcomes[kind.urgency].asked += self.is_burst
        return Request(
            kind=kind,
            prompt=prompt,
            answer=answer,
            session=self._session(kind),
            is_counted=self.is_burst,
        )

    def _session(self, kind: Kind) -> int:
        if not self.case.sessions:
            return 0
        number = 0
        if self._sessions.random() >= self.case.hot_share:
            number = self._sessions.randrange(self.case.sessions)
        return 1 + kind.urgency + number * (MAX_URGENCY + 1)

    def _on_refused(self, request: Request) -> None:
        if request.returns >= self.case.returns:
            self.outcomes[request.kind.urgency].refused += request.is_counted
            return
        back = evolve(request, returns=request.returns + 1)
        entry = self._random.choice(self.entries)
        self.clock.after(MAX_RETRY_AFTER_S, partial(self._offer, back, entry))

    def _offer(self, request: Request, entry: Entry) -> None:
        """Decide about a request at an entry, and send it."""
        kind, prompt = request.kind, request.prompt
        now, outcome = self.clock.now, self.outcomes[kind.urgency]
        req = AdmissionRequest(
            service='llm',
            urgency=kind.urgency,
            goal_s=kind.goal_s,
            customer=kind.customer,
            session=request.session,
            refusals=request.returns,
        )
        priority = NO_PRIORITY
        if self.by_priority:
            entry.admission.on_request(req, now=now)
            share = entry.admission.less_urgent_share(
                'llm', kind.urgency, now=now
            )
            priority = Priority(urgency=kind.urgency, less_urgent_share=share)
        choice = choose(
            entry.candidates(),
            prompt=prompt,
            now=now,
            random=entry.rng,
            priority=priority,
        )
        assert choice is not None
        max_wait_s, is_urgent = math.inf, False
        ahead_s = choice.first_s - choice.own_s
        if self.by_priority:
            max_wait_s = entry.admission.max_wait_s(req, now=now)
            ahead_s += reserved_wait_s(
                choice.forecast,
                entry.admission.reserved_slots(req, now=now),
                now,
            )
            is_urgent = (
                priority.less_urgent_share > 0
                and entry.admission.is_most_urgent(req, now=now)
            )
        is_crowded = choice.forecast.is_crowded(now) and not is_urgent
        goals = RETURNING_GOALS if request.returns else GOALS
        limit_s = kind.goal_s * (CROWDED_GOALS if is_crowded else goals)
        is_admitted = choice.first_s <= limit_s and ahead_s <= max_wait_s
        if request.is_counted:
            self.attempts.append(
                Attempt(request=request, is_admitted=is_admitted)
            )
        if not is_admitted:
            self._on_refused(request)
            return
        if self.by_priority:
            entry.admission.on_admitted(req, now=now)
        ticket = self._sent
        self._sent += 1
        forecast = choice.forecast
        forecast.on_sent(
            ticket, InFlightRequest(prompt, now, urgency=kind.urgency)
        )

        def on_first() -> None:
            at = self.clock.now
            forecast.on_begun(ticket, forecast_s=choice.first_s, now=at)
            is_in_time = not request.returns and at - now <= kind.goal_s
            outcome.in_time += request.is_counted and is_in_time

        job = Job(
            prompt,
            request.answer,
            on_first,
            lambda: forecast.on_ended(ticket),
            urgency=kind.urgency,
        )
        engine = self.engines[int(forecast.upstream.id)]
        self.clock.after(IN_TRANSIT_S, partial(engine.send, job))

    def _report(self, number: int, *, is_far: bool) -> None:
        engine = self.engines[number]
        load = EngineLoad(
            address=str(number),
            reachable=True,
            weights=1,
            running=len(engine.running),
            queued=len(engine.queue),
        )
        now = self.clock.now + IN_TRANSIT_S
        for entry in self.entries:
            if is_far == (entry.region != number % REGIONS):
                forecast = entry.forecasts[number]
                self.clock.after(
                    IN_TRANSIT_S, partial(forecast.on_load, load, now=now)
                )
        interval_s = FAR_REPORT_S if is_far else REPORT_S
        self.clock.after(
            FRESH_REPORT_S if self.is_fresh else interval_s,
            partial(self._report, number, is_far=is_far),
        )


def _forecast(number: int, case: Case) -> UpstreamForecast:
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


POLICIES = {
    'forecast': partial(PriorityWorld, by_priority=False),
    'priority': partial(PriorityWorld, by_priority=True),
    'fresh': partial(PriorityWorld, by_priority=True, is_fresh=True),
}


def run(show: Show) -> None:
    """Print the figures of each policy in each case."""
    for name, case in CASES.items():
        for policy, make_world in POLICIES.items():
            worlds = [make_world(case, seed=seed) for seed in SEEDS]
            for world in worlds:
                world.run()
            _show_means(show, f'priorities.{name}.{policy}', worlds)


def _show_means(show: Show, prefix: str, worlds: list[PriorityWorld]) -> None:
    for kind in worlds[0].case.kinds:
        found = [world.outcomes[kind.urgency] for world in worlds]
        asked = max(sum(each.asked for each in found), 1)
        in_time = sum(each.in_time for each in found)
        refused = sum(each.refused for each in found)
        show(f'{prefix}.{kind.urgency}.in_time', in_time / asked)
        show(f'{prefix}.{kind.urgency}.refused', refused / asked)
    busy = [share for world in worlds for share in world.busy]
    show(f'{prefix}.busy', sum(busy) / len(busy))
