"""Random load and random faults on separate processes, then the books.

Usage:
  soak.py [--duration=S] [--seed=N]

Options:
  --duration=S  Seconds of load and faults [default: 60].
  --seed=N      Seed of all that is drawn [default: 1].
"""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

from _books import Books, Verdict, compare
from _caller import Answer, Caller, Request
from _chaos import Chaos
from _declare import Declared, Weights
from _end_state import differing, end_state_faults
from _fleet import Fleet, until
from _fleet_plan import FleetPlan
from _process import FleetError, end_on_signal
from attrs import define, field
from docopt import docopt

CALLERS = 8
PAUSE_S = (0.0, 0.05)
PUBLISH_S = (4.0, 10.0)
SETTLE_S = 40
CHUNK_BYTES = 262_144
CHUNKS = 8
LAST_REQUESTS = 40
DEADLINE_MS = 8000
SHARE_SERVICE = 0.2
SHARE_IDEMPOTENT = 0.3
SHARE_LEAVES = 0.06
SHARE_REPEATS = 0.5
SHARE_RELAYED = 0.75
SHARE_RACES = 0.2
# The longest that an answer may come after its request's deadline.
MARGIN_S = 1.5
# Malformed, not allowed, unknown, too large: none of it is ever sent.
BLAMES = frozenset((400, 403, 404, 413))


def plan_of(rng: random.Random) -> FleetPlan:
    """Draw the size of the fleet."""
    return FleetPlan(
        entries=rng.randint(2, 3),
        engines=rng.randint(4, 6),
        plains=1,
        origin_rate=4_000_000,
        fencing=rng.choice(('checked', 'ignored')),
        engine_options=('--token-interval=0.004', '--load-s=0.2'),
        relayed=rng.random() < SHARE_RELAYED,
    )


@define
class Soak:
    """One run: its fleet, load, faults and publications."""

    fleet: Fleet
    rng: random.Random
    declared: Declared
    duration_s: float
    callers: list[Caller] = field(factory=list)
    published: int = 0
    _publishing: asyncio.Lock = field(factory=asyncio.Lock)
    _orders: dict[str, int] = field(factory=dict)
    _version: str = ''
    _started_at: float = field(factory=time.monotonic)
    _numbers: int = 0

    async def run(self) -> bool:
        """Run it all and tell whether the books are clean."""
        await self.fleet.start()
        self.declared.set_replicas(len(self.fleet.engine_agents))
        await self._publish()
        await self._settled()
        chaos = Chaos(self.fleet, self._child_rng(), self.say, self._publishing)
        self._start_callers()
        ends_at = time.monotonic() + self.duration_s
        await asyncio.gather(
            chaos.run(ends_at),
            self._publish_until(ends_at),
            *(
                self._load(caller, self._child_rng(), ends_at)
                for caller in self.callers
            ),
        )
        problems = [*chaos.problems, *await self._recover()]
        problems.extend(
            await end_state_faults(self.fleet, self.declared, self._orders)
        )
        problems.extend(await self._drain())
        return self._report(chaos, problems)

    def say(self, line: str) -> None:
        """Print a line with the time since the start."""
        print(f'{time.monotonic() - self._started_at:7.2f} {line}', flush=True)

    async def _settled(self) -> None:
        async def agreed() -> bool:
            return not await differing(self.fleet, self.declared)

        step = f'load {self._version} everywhere'
        try:
            await until(agreed, step=step, timeout_s=SETTLE_S)
        except FleetError as exc:
            found = await differing(self.fleet, self.declared)
            raise FleetError('settle', step, f'{exc}; {found}') from exc

    def _child_rng(self) -> random.Random:
        return random.Random(self.rng.getrandbits(32))

    def _weights(self) -> Weights:
        self.published += 1
        return Weights(
            f'listing-v{self.published}',
            seed=self.published,
            stored=self.rng.random() < 0.5,
            size=CHUNK_BYTES * CHUNKS,
            chunk_bytes=CHUNK_BYTES,
        )

    async def _publish(self) -> None:
        """Publish a version, or two at once with one generation."""
        races = self.published and self.rng.random() < SHARE_RACES
        async with self._publishing:
            rivals = [self._weights() for _ in range(2 if races else 1)]
            published = await self.declared.publish_rivals(self.fleet, rivals)
        self._version = self.declared.version
        generation = self.declared.generation
        self._orders.update(dict.fromkeys(published, generation))
        for weights in rivals:
            self.say(f'published {weights.version}, generation {generation}')

    async def _publish_until(self, ends_at: float) -> None:
        rng = self._child_rng()
        while time.monotonic() < ends_at:
            await asyncio.sleep(rng.uniform(*PUBLISH_S))
            await self._publish()

    def _start_callers(self) -> None:
        for number in range(CALLERS):
            entries = self.fleet.entries
            member = entries[number % len(entries)].member
            url = f'http://{member["address"]}:{member["http_port"]}'
            self.callers.append(Caller(url, seed=self.rng.getrandbits(32)))

    async def _load(
        self, caller: Caller, rng: random.Random, ends_at: float
    ) -> None:
        while time.monotonic() < ends_at:
            await self._one(caller, rng)
            await asyncio.sleep(rng.uniform(*PAUSE_S))

    async def _one(self, caller: Caller, rng: random.Random) -> None:
        """Send one request; some callers leave, and some ask again."""
        request = self._request(rng)
        leaves = rng.random() < SHARE_LEAVES
        leave_after_s = rng.uniform(0.01, 0.2) if leaves else 0
        answer = await caller.send(request, leave_after_s=leave_after_s)
        unsure = answer.outcome in {'no_answer', 'unknown', 'not_run'}
        if unsure and rng.random() < SHARE_REPEATS:
            await asyncio.sleep(rng.uniform(0, 0.5))
            await rng.choice(self.callers).send(request)

    def _request(self, rng: random.Random) -> Request:
        self._numbers += 1
        kind = 'enquiry' if rng.random() < SHARE_SERVICE else 'draft'
        idempotent = rng.random() < SHARE_IDEMPOTENT
        enquiry = kind == 'enquiry'
        return Request(
            request_id=f'{kind}-{self._numbers}',
            customer=rng.choice(('breeder-portal', 'riding-school')),
            model='' if enquiry else 'listing',
            service='portal' if enquiry else '',
            prompt=f'{kind} {rng.randrange(50)} of {self._numbers}',
            max_tokens=rng.randint(1, 60),
            streamed=rng.random() < 0.5,
            idempotent=idempotent,
            priority=rng.randint(0, 9),
            deadline_ms=DEADLINE_MS,
        )

    async def _recover(self) -> list[str]:
        """Check that the fleet heals once nothing is at fault any more."""
        self.say('no faults any more: the fleet has to settle')
        try:
            await self._settled()
        except FleetError as exc:
            return [str(exc)]
        caller = self.callers[0]
        answers = [
            await caller.call(self._request(self.rng))
            for _ in range(LAST_REQUESTS)
        ]
        return [
            f'after the faults: {one.request.request_id}: {one.status} '
            f'{one.outcome} {one.detail}'
            for one in answers
            if not one.whole
        ]

    async def _drain(self) -> list[str]:
        codes = await self.fleet.drain(self.fleet.hosts)
        return [
            f'{name} ended with {code}'
            for name, code in codes.items()
            if code != 0
        ]

    def _report(self, chaos: Chaos, problems: list[str]) -> bool:
        answers = [each for caller in self.callers for each in caller.answers]
        books = Books.read(self.fleet.journals())
        verdict = compare(books, answers, excused=chaos.excused)
        problems.extend(verdict.misses)
        problems.extend(_wrong_refusals(answers))
        problems.extend(_late(answers, chaos))
        for problem in problems:
            self.say(problem)
        outcomes = Counter(_told(each) for each in answers)
        self.say(f'faults: {dict(chaos.played)}')
        self.say(f'answers: {dict(outcomes.most_common())}')
        print(_last_line(verdict, ok=not problems), flush=True)
        return not problems


def _told(answer: Answer) -> str:
    if answer.left:
        return 'left'
    if answer.broken:
        return 'broken'
    return f'{answer.status} {answer.outcome}'


def _wrong_refusals(answers: list[Answer]) -> list[str]:
    """Name refusals that blame a caller who did nothing wrong."""
    return [
        f'blames the caller: {each.request.request_id}: {each.detail}'
        for each in answers
        if each.status in BLAMES
    ]


def _late(answers: list[Answer], chaos: Chaos) -> list[str]:
    """Name answers after the deadline whose entry ran all the time."""
    return [
        f'late: {each.request.request_id}: {took_s:.1f} s, {_told(each)} '
        f'{each.detail}'
        for each in answers
        if (took_s := each.ended_at - each.began_at)
        > each.request.deadline_ms / 1000 + MARGIN_S
        and not chaos.delayed(each)
    ]


def _last_line(verdict: Verdict, *, ok: bool) -> str:
    return (
        f'soak: {"ok" if ok else "failed"} requests={verdict.requests} '
        f'whole={verdict.whole} doubled={verdict.doubled} '
        f'mixed={verdict.mixed} cut={verdict.cut} '
        f'not_run_but_ran={verdict.not_run_but_ran} '
        f'crossed={verdict.crossed} unanswered={verdict.unanswered}'
    )


async def main() -> int:
    """Run with the options of the command line."""
    options = docopt(__doc__)
    seed = int(options['--seed'])
    rng = random.Random(seed)
    end_on_signal(signal.SIGTERM)
    with tempfile.TemporaryDirectory(prefix='crowrudder-') as name:
        directory = Path(name)
        fleet = Fleet(plan_of(rng), directory)
        declared = Declared.from_example(directory / 'declared')
        soak = Soak(fleet, rng, declared, float(options['--duration']))
        soak.say(f'seed {seed}: {fleet.plan}')
        try:
            ok = await soak.run()
        finally:
            fleet.close()
            print(f'seed {seed}', flush=True)
    return 0 if ok else 1


if __name__ == '__main__':
    sys.exit(asyncio.run(main()))
