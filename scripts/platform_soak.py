"""Random load and faults on the programs as the users' platform runs them.

Usage:
  platform_soak.py [--duration=S] [--seed=N] [--seeds=N] [--large] [--logs=DIR]
  platform_soak.py --known [--duration=S] [--logs=DIR]

Options:
  --duration=S  Seconds of load and faults [default: 15].
  --seed=N      Seed of all that is drawn; the first where there are more
                [default: 1].
  --seeds=N     Runs one after the other, each with the next seed [default: 1].
  --known       The seeds that failed once.
  --large       Dozens of processes.
  --logs=DIR    Keep the programs' logs of runs that break a promise here.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import shutil
import signal
import sys
import tempfile
import time
from pathlib import Path

from _platform_chaos import PlatformChaos
from _platform_checks import Verdict, judge, key_for
from _platform_ends import Ends
from _platform_fleet import VERSION_S, Plan, PlatformFleet
from _platform_load import Caller
from _platform_needs import Needs, judge_needs
from _platform_seeds import FAILED_ONCE
from _process import end_on_signal
from attrs import define, field
from docopt import docopt

CALLERS = 12
START_S = 30.0
SETTLE_S = 20.0
LAST_REQUESTS = 40
STOP_S = 9.0
LOOK_S = 0.1


def plan_of(rng: random.Random, *, is_large: bool) -> Plan:
    """Draw the size of the fleet."""
    if is_large:
        return Plan(entries=rng.randint(9, 12), agents=16, plains=4)
    return Plan(entries=rng.randint(2, 4), agents=rng.randint(3, 5), plains=2)


@define(eq=False)
class PlatformSoak:
    """One run: its fleet, callers and faults."""

    fleet: PlatformFleet
    rng: random.Random
    ends_rng: random.Random
    needs_rng: random.Random
    duration_s: float
    callers: list[Caller] = field(factory=list)
    _began_at: float = field(factory=time.monotonic)
    _keys_at: list[float] = field(factory=list)

    async def run(self) -> Verdict:
        """Run it all and judge it."""
        await self.fleet.start()
        chaos = PlatformChaos(self.fleet, self._child(), self.say)
        self.callers = [
            Caller(self._child(), self.fleet.entries, self._key)
            for _ in range(CALLERS)
        ]
        needs = Needs(self.fleet, self.needs_rng, self._key, self.say)
        problems = await self._settle('start', START_S)
        if not problems:
            ends_at = time.monotonic() + self.duration_s
            await asyncio.gather(
                chaos.run(ends_at),
                self._watch_keys(ends_at),
                Ends(self.fleet, self.ends_rng, chaos, self.say).run(ends_at),
                needs.run(ends_at),
                *(
                    caller.run(ends_at, f'c{number}')
                    for number, caller in enumerate(self.callers)
                ),
            )
            problems = await self._settle('after the faults', SETTLE_S)
            problems += await self._stop()
        asked = [each for caller in self.callers for each in caller.asked]
        verdict = judge(asked, self.fleet, chaos)
        judge_needs(needs, asked, self.fleet, chaos, verdict)
        problems += chaos.problems
        for problem in problems:
            verdict.note('state', problem)
        self.say(f'faults: {dict(chaos.played)}')
        return verdict

    def say(self, line: str) -> None:
        """Print a line with the time since the start."""
        print(f'{time.monotonic() - self._began_at:7.2f} {line}', flush=True)

    def _child(self) -> random.Random:
        return random.Random(self.rng.getrandbits(32))

    def _key(self) -> str:
        return key_for(self.fleet, self._keys_at)

    async def _watch_keys(self, ends_at: float) -> None:
        """Note when keys were published; they are used a while later."""
        while time.monotonic() < ends_at:
            while len(self._keys_at) < len(self.fleet.keys):
                self._keys_at.append(time.monotonic())
            await asyncio.sleep(LOOK_S)

    async def _settle(self, step: str, within_s: float) -> list[str]:
        """Wait until every entry serves, and all engines have the version."""
        ends_at = time.monotonic() + within_s
        missing = self._missing()
        while missing and time.monotonic() < ends_at:
            await asyncio.sleep(LOOK_S)
            missing = self._missing()
        if missing:
            return [f'{step}: {missing}']
        caller = Caller(self._child(), self.fleet.entries, self._key)
        self.callers.append(caller)
        await asyncio.sleep(VERSION_S)
        asked = [
            await caller.ask(f'{step}-{number}'.replace(' ', '-'))
            for number in range(LAST_REQUESTS)
        ]
        caller.close()
        return [
            f'{step}: {each.request_id} at {each.entry}: {each.status} '
            f'{each.reason}'
            for each in asked
            if each.status != 200 and not each.left
        ]

    def _missing(self) -> str:
        behind = [
            f'{life.replica.id} has {life.replica.weights}'
            for life in self.fleet.replicas.values()
            if life.service == 'llm'
            and life.replica.weights < self.fleet.version
        ]
        ended = [
            host.name
            for host in self.fleet.hosts.values()
            if not host.process.running
        ]
        return ', '.join(behind + ended)

    async def _stop(self) -> list[str]:
        """End all processes in an orderly way."""
        hosts = list(self.fleet.hosts.values())
        for each in hosts:
            each.process.terminate()
        codes = await asyncio.gather(
            *(host.process.ended(STOP_S) for host in hosts)
        )
        return [
            f'{host.name} ended with {code}'
            for host, code in zip(hosts, codes, strict=True)
            if not host.ended_well(code)
        ]


async def run_seed(seed: int, options: dict[str, str]) -> bool:
    """Run one seed; true when no promise was broken."""
    rng = random.Random(seed)
    plan = plan_of(rng, is_large=bool(options['--large']))
    with tempfile.TemporaryDirectory(prefix='crowrudder-') as name:
        ends_rng = random.Random(f'ends of {seed}')
        queue_rng = random.Random(f'queues of {seed}')
        fleet = PlatformFleet(plan, Path(name), rng, queue_rng)
        needs_rng = random.Random(f'needs of {seed}')
        soak = PlatformSoak(
            fleet, rng, ends_rng, needs_rng, float(options['--duration'])
        )
        soak.say(f'seed {seed}: {plan}')
        try:
            verdict = await soak.run()
        finally:
            fleet.close()
        _report(seed, verdict)
        if verdict.broken and options['--logs']:
            kept = Path(options['--logs']) / f'seed-{seed}'
            shutil.copytree(name, kept, dirs_exist_ok=True)
    return not verdict.broken


def _report(seed: int, verdict: Verdict) -> None:
    for name, found in verdict.broken.items():
        for line in found:
            print(f'broken: {name}: {line}')
    counts = ' '.join(
        f'{promise.replace(" ", "_")}={len(lines)}'
        for promise, lines in verdict.broken.items()
    )
    told = dict(verdict.outcomes.most_common())
    ends = dict(verdict.ends)
    state = 'failed' if verdict.broken else 'ok'
    print(f'platform soak: {state} seed={seed} {counts} answers={told} {ends=}')


async def main() -> int:
    """Run with the options of the command line."""
    options = docopt(__doc__ or '')
    end_on_signal(signal.SIGTERM)
    first = int(options['--seed'])
    seeds = range(first, first + int(options['--seeds']))
    failed = []
    with contextlib.suppress(KeyboardInterrupt):
        for seed in FAILED_ONCE if options['--known'] else seeds:
            if not await run_seed(seed, options):
                failed.append(seed)
    if failed:
        print(f'failed seeds: {failed}')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(asyncio.run(main()))
