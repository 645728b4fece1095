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
REQUEST_INTERVAL_S = (0.0, 0.05)
PUBLISH_INTERVAL_S = (4.0, 10.0)
SETTLE_TIMEOUT_S = 40
CHUNK_BYTES = 262_144
CHUNKS = 8
RECOVERY_REQUESTS = 40
DEADLINE_MS = 8000
PLAIN_SERVICE_SHARE = 0.2
IDEMPOTENT_SHARE = 0.3
DISCONNECT_SHARE = 0.06
RESEND_SHARE = 0.5
RELAYED_FLEET_SHARE = 0.75
CONCURRENT_PUBLISH_SHARE = 0.2
# The latest that an answer may arrive after its request's deadline.
DEADLINE_MARGIN_S = 1.5
# Malformed, not allowed, unknown, too large: the load sends no such request.
CALLER_ERROR_STATUSES = frozenset((400, 403, 404, 413))


def plan_of(rng: random.Random) -> FleetPlan:
    """Return a random size and configuration of the fleet."""
    return FleetPlan(
        entries=rng.randint(2, 3),
        engines=rng.randint(4, 6),
        plains=1,
        origin_rate=4_000_000,
        fencing=rng.choice(('checked', 'ignored')),
        engine_options=('--token-interval=0.004', '--load-s=0.2'),
        relayed=rng.random() < RELAYED_FLEET_SHARE,
    )


@define
class Soak:
    """A run with its fleet, load, faults and publications."""

    fleet: Fleet
    rng: random.Random
    declared: Declared
    duration_s: float
    callers: list[Caller] = field(factory=list)
    published: int = 0
    _publish_lock: asyncio.Lock = field(factory=asyncio.Lock)
    _orders: dict[str, int] = field(factory=dict)
    _version: str = ''
    _started_at: float = field(factory=time.monotonic)
    _request_count: int = 0

    async def run(self) -> bool:
        """Run the whole soak and return whether no problem was found."""
        await self.fleet.start()
        self.declared.set_replicas(len(self.fleet.engine_agents))
        await self._publish()
        await self._await_settled()
        chaos = Chaos(
            self.fleet, self._child_rng(), self.log, self._publish_lock
        )
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

    def log(self, line: str) -> None:
        """Print a line with the time since the start."""
        print(f'{time.monotonic() - self._started_at:7.2f} {line}', flush=True)

    async def _await_settled(self) -> None:
        async def agreed() -> bool:
            return not await differing(self.fleet, self.declared)

        step = f'load {self._version} everywhere'
        try:
            await until(agreed, step=step, timeout_s=SETTLE_TIMEOUT_S)
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
        """Publish a version, or two concurrently with the same generation."""
        is_concurrent = (
            self.published and self.rng.random() < CONCURRENT_PUBLISH_SHARE
        )
        async with self._publish_lock:
            concurrent_versions = [
                self._weights() for _ in range(2 if is_concurrent else 1)
            ]
            published = await self.declared.publish_concurrently(
                self.fleet, concurrent_versions
            )
        self._version = self.declared.version
        generation = self.declared.generation
        self._orders.update(dict.fromkeys(published, generation))
        for weights in concurrent_versions:
            self.log(f'published {weights.version}, generation {generation}')

    async def _publish_until(self, ends_at: float) -> None:
        rng = self._child_rng()
        while time.monotonic() < ends_at:
            await asyncio.sleep(rng.uniform(*PUBLISH_INTERVAL_S))
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
            await self._send_one(caller, rng)
            await asyncio.sleep(rng.uniform(*REQUEST_INTERVAL_S))

    async def _send_one(self, caller: Caller, rng: random.Random) -> None:
        """Send one request; some callers disconnect, and some resend."""
        request = self._request(rng)
        disconnects = rng.random() < DISCONNECT_SHARE
        leave_after_s = rng.uniform(0.01, 0.2) if disconnects else 0
        answer = await caller.send(request, leave_after_s=leave_after_s)
        may_resend = answer.outcome in {'no_answer', 'unknown', 'not_run'}
        if may_resend and rng.random() < RESEND_SHARE:
            await asyncio.sleep(rng.uniform(0, 0.5))
            await rng.choice(self.callers).send(request)

    def _request(self, rng: random.Random) -> Request:
        self._request_count += 1
        kind = 'enquiry' if rng.random() < PLAIN_SERVICE_SHARE else 'draft'
        idempotent = rng.random() < IDEMPOTENT_SHARE
        enquiry = kind == 'enquiry'
        return Request(
            request_id=f'{kind}-{self._request_count}',
            customer=rng.choice(('breeder-portal', 'riding-school')),
            model='' if enquiry else 'listing',
            service='portal' if enquiry else '',
            prompt=f'{kind} {rng.randrange(50)} of {self._request_count}',
            max_tokens=rng.randint(1, 60),
            streamed=rng.random() < 0.5,
            idempotent=idempotent,
            priority=rng.randint(0, 9),
            deadline_ms=DEADLINE_MS,
        )

    async def _recover(self) -> list[str]:
        """Return what is still wrong after the last fault has ended."""
        self.log('no faults any more: the fleet has to settle')
        try:
            await self._await_settled()
        except FleetError as exc:
            return [str(exc)]
        caller = self.callers[0]
        answers = [
            await caller.call(self._request(self.rng))
            for _ in range(RECOVERY_REQUESTS)
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
        problems.extend(_find_caller_errors(answers))
        problems.extend(_find_late_answers(answers, chaos))
        for problem in problems:
            self.log(problem)
        outcomes = Counter(_describe_answer(each) for each in answers)
        self.log(f'faults: {dict(chaos.injected)}')
        self.log(f'answers: {dict(outcomes.most_common())}')
        print(_summary_line(verdict, ok=not problems), flush=True)
        return not problems


def _describe_answer(answer: Answer) -> str:
    if answer.left:
        return 'left'
    if answer.broken:
        return 'broken'
    return f'{answer.status} {answer.outcome}'


def _find_caller_errors(answers: list[Answer]) -> list[str]:
    """Return the refusals that report a caller error for a valid request."""
    return [
        f'blames the caller: {each.request.request_id}: {each.detail}'
        for each in answers
        if each.status in CALLER_ERROR_STATUSES
    ]


def _find_late_answers(answers: list[Answer], chaos: Chaos) -> list[str]:
    """Return the answers after the deadline whose entry ran all the time."""
    return [
        f'late: {each.request.request_id}: {took_s:.1f} s, '
        f'{_describe_answer(each)} {each.detail}'
        for each in answers
        if (took_s := each.ended_at - each.began_at)
        > each.request.deadline_ms / 1000 + DEADLINE_MARGIN_S
        and not chaos.delayed(each)
    ]


def _summary_line(verdict: Verdict, *, ok: bool) -> str:
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
        soak.log(f'seed {seed}: {fleet.plan}')
        try:
            ok = await soak.run()
        finally:
            fleet.close()
            print(f'seed {seed}', flush=True)
    return 0 if ok else 1


if __name__ == '__main__':
    sys.exit(asyncio.run(main()))
