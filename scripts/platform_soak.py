"""Random load and faults on the programs as the users' platform runs them.

Usage:
  platform_soak.py [--duration=S] [--seed=N] [--seeds=N] [--large] [--logs=DIR]
                   [--calm] [--known-red=FILE]
  platform_soak.py --known [--duration=S] [--logs=DIR]

Options:
  --duration=S  Seconds of load and faults [default: 15].
  --seed=N      Seed of all that is drawn; the first where there are more
                [default: 1].
  --seeds=N     Runs one after the other, each with the next seed [default: 1].
  --known       The seeds that failed once.
  --large       Dozens of processes.
  --calm        No faults but upstreams that fall silent.
  --known-red=FILE
                List of known failures. A run that it names doesn't fail by the
                checks that the line names.
  --logs=DIR    Keep the programs' logs of failed runs here; without it, in a
                new temporary directory.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import sys
import tempfile
import time
from pathlib import Path

from _known_red import is_known_failure
from _platform_body_ends import BodyEnds
from _platform_chaos import PlatformChaos
from _platform_checks import Verdict, check_run, newest_known_key
from _platform_classes import ClassLoad, check_classes
from _platform_directory import DirectoryWatch, check_directory
from _platform_ends import VersionEnds
from _platform_fatals_limits import FatalsAndLimits, check_fatals_and_limits
from _platform_fleet import VERSION_S, ZONES, Plan, PlatformFleet
from _platform_kept import KeptLoad
from _platform_kept_checks import check_kept
from _platform_links import NarrowLinks
from _platform_load import Caller
from _platform_logs import keep_logs
from _platform_parts import FatalParts, check_parts
from _platform_seeds import REGRESSION_SEEDS
from _platform_silence import Silences, check_cuts
from _platform_statements import StatingReplicas, check_statements
from _platform_store import StoreReturns, check_store_returns, unused
from _platform_zones import ZonesAndWarmUps, check_zones_and_warm_ups
from _process import end_on_signal
from attrs import define, field
from docopt import docopt

CALLERS = 12
START_TIMEOUT_S = 30.0
SETTLE_TIMEOUT_S = 20.0
PROBE_REQUESTS = 40
STOP_TIMEOUT_S = 9.0
BURST = 120
"""Requests at the same time: more than all replicas but one take."""

UNUSED_TIMEOUT_S = 12.0
"""Longer than a process holds back a record that may be gone."""

POLL_S = 0.1


def choose_plan(rng: random.Random, *, is_large: bool) -> Plan:
    """Choose a random fleet size."""
    if is_large:
        return Plan(entries=rng.randint(9, 12), agents=16, plains=4)
    return Plan(entries=rng.randint(2, 4), agents=rng.randint(3, 5), plains=2)


@define(eq=False)
class PlatformSoak:
    """One soak run: its fleet, callers and faults."""

    fleet: PlatformFleet
    rng: random.Random
    version_ends_rng: random.Random
    fatals_rng: random.Random
    statements_rng: random.Random
    links_rng: random.Random
    store_rng: random.Random
    body_ends_rng: random.Random
    parts_rng: random.Random
    zones_rng: random.Random
    classes_rng: random.Random
    directory_rng: random.Random
    silence_rng: random.Random
    kept_rng: random.Random
    duration_s: float
    is_calm: bool
    callers: list[Caller] = field(factory=list)
    _began_at: float = field(factory=time.monotonic)
    _keys_published_at: list[float] = field(factory=list)

    async def run(self) -> Verdict:
        """Run load and faults, and check the results."""
        await self.fleet.start()
        chaos = PlatformChaos(self.fleet, self._child_rng(), self.log_line)
        self.callers = [
            Caller(self._child_rng(), self.fleet.entries, self._key)
            for _ in range(CALLERS)
        ]
        fatals_and_limits = FatalsAndLimits(
            self.fleet, self.fatals_rng, self._key, self.log_line
        )
        stating = StatingReplicas(
            self.fleet, self.statements_rng, chaos, self.log_line
        )
        narrow_links = NarrowLinks(self.fleet, self.links_rng, self.log_line)
        store_returns = StoreReturns(
            self.fleet, self.store_rng, chaos, self.log_line
        )
        body_ends = BodyEnds(self.fleet, self.body_ends_rng, self.log_line)
        fatal_parts = FatalParts(
            self.fleet, self.parts_rng, self._key, self.log_line
        )
        zones = ZonesAndWarmUps(
            self.fleet, self.zones_rng, chaos, self.log_line
        )
        classes = ClassLoad(self.fleet, self.classes_rng, self._key)
        directory = DirectoryWatch(self.fleet, self.directory_rng)
        silences = Silences(
            self.fleet, self.silence_rng, self._key, self.log_line
        )
        kept = KeptLoad(
            self.fleet, self.kept_rng, self._key, chaos, self.log_line
        )
        problems = await self._settle('start', START_TIMEOUT_S)
        if not problems:
            ends_at = time.monotonic() + self.duration_s
            rewriting = asyncio.create_task(zones.rewrite_forever())
            faults = (
                chaos,
                VersionEnds(
                    self.fleet, self.version_ends_rng, chaos, self.log_line
                ),
                fatals_and_limits,
                stating,
                narrow_links,
                store_returns,
                body_ends,
                fatal_parts,
                zones,
            )
            await asyncio.gather(
                *(
                    fault.run(ends_at)
                    for fault in (() if self.is_calm else faults)
                ),
                self._watch_keys(ends_at),
                classes.run(ends_at),
                directory.run(ends_at),
                silences.run(ends_at),
                kept.run(ends_at, is_calm=self.is_calm),
                *(
                    caller.run(ends_at, f'c{number}')
                    for number, caller in enumerate(self.callers)
                ),
            )
            rewriting.cancel()
            await zones.finish()
            problems = await self._settle('after the faults', SETTLE_TIMEOUT_S)
            problems += await self._find_unused()
            problems += await self._stop()
        self.callers += fatal_parts.sound + silences.callers
        others = list(self.callers)
        self.callers += [caller for _, caller in classes.callers]
        results = [each for caller in self.callers for each in caller.results]
        # Those without an answer are judged by `check_kept` alone.
        results += [each for each in kept.results if each.head_at]
        verdict = check_run(results, self.fleet, chaos)
        check_fatals_and_limits(
            fatals_and_limits, results, self.fleet, chaos, verdict
        )
        fatal_callers = (*fatals_and_limits.callers, *fatal_parts.bad)
        fatal_results = (
            each for caller in fatal_callers for each in caller.results
        )
        check_statements(
            stating,
            [*results, *fatal_results],
            verdict,
            narrow_links,
        )
        check_store_returns(store_returns, chaos, verdict)
        check_parts(fatal_parts, self.fleet, chaos, verdict)
        check_zones_and_warm_ups(zones, narrow_links, verdict)
        check_classes(classes, others, ZONES, verdict)
        check_directory(directory, verdict)
        check_cuts(silences, results, chaos, verdict)
        check_kept(kept, verdict)
        problems += chaos.problems
        for problem in problems:
            verdict.add_violation('state', problem)
        self.log_line(f'faults: {dict(chaos.fault_counts)}')
        self.log_line(f'queues: {dict(narrow_links.counts)}')
        self.log_line(f'answers: {dict(body_ends.counts)}')
        self.log_line(f'silences: {dict(silences.counts)}')
        self.log_line(f'kept connections: {dict(kept.counts)}')
        calls = [each.calls for each in store_returns.returns]
        self.log_line(f'store: {dict(store_returns.counts)}, {calls=}')
        return verdict

    def log_line(self, line: str) -> None:
        """Print a line with the time since the start."""
        print(f'{time.monotonic() - self._began_at:7.2f} {line}', flush=True)

    def _child_rng(self) -> random.Random:
        return random.Random(self.rng.getrandbits(32))

    def _key(self) -> str:
        return newest_known_key(self.fleet, self._keys_published_at)

    async def _watch_keys(self, ends_at: float) -> None:
        """Record when keys were published; callers use them some time later."""
        while time.monotonic() < ends_at:
            while len(self._keys_published_at) < len(self.fleet.keys):
                self._keys_published_at.append(time.monotonic())
            await asyncio.sleep(POLL_S)

    async def _settle(self, step: str, within_s: float) -> list[str]:
        """Wait until all processes run and all engines have the version; probe."""
        ends_at = time.monotonic() + within_s
        unsettled = self._unsettled()
        while unsettled and time.monotonic() < ends_at:
            await asyncio.sleep(POLL_S)
            unsettled = self._unsettled()
        if unsettled:
            return [f'{step}: {unsettled}']
        caller = Caller(self._child_rng(), self.fleet.entries, self._key)
        self.callers.append(caller)
        await asyncio.sleep(VERSION_S)
        results = [
            await caller.send_request(f'{step}-{number}'.replace(' ', '-'))
            for number in range(PROBE_REQUESTS)
        ]
        caller.close()
        return [
            f'{step}: {each.request_id} at {each.entry}: {each.status} '
            f'{each.reason}'
            for each in results
            if each.status != 200 and not each.caller_left
        ]

    async def _find_unused(self) -> list[str]:
        """Send requests until each replica has run one; return those that didn't."""
        since = time.monotonic()
        callers = [
            Caller(self._child_rng(), self.fleet.entries, self._key)
            for _ in range(BURST)
        ]
        self.callers += callers
        incarnations = self.fleet.replicas.values()
        rounds = 0
        while time.monotonic() < since + UNUSED_TIMEOUT_S:
            rounds += 1
            await asyncio.gather(
                *(
                    caller.send_request(f'use-{rounds}-{number}')
                    for number, caller in enumerate(callers)
                )
            )
            if not unused(incarnations, since):
                break
        for caller in callers:
            caller.close()
        names = unused(incarnations, since)
        return [f'upstream lost: {name}' for name in names]

    def _unsettled(self) -> str:
        behind = [
            f'{incarnation.replica.id} has {incarnation.replica.weights}'
            for incarnation in self.fleet.replicas.values()
            if incarnation.service == 'llm'
            and incarnation.replica.weights < self.fleet.version
        ]
        ended = [
            host.name
            for host in self.fleet.hosts.values()
            if not host.process.running
        ]
        return ', '.join(behind + ended)

    async def _stop(self) -> list[str]:
        """Stop all processes with SIGTERM."""
        hosts = list(self.fleet.hosts.values())
        for each in hosts:
            each.process.terminate()
        codes = await asyncio.gather(
            *(host.process.ended(STOP_TIMEOUT_S) for host in hosts)
        )
        return [
            f'{host.name} ended with {code}'
            for host, code in zip(hosts, codes, strict=True)
            if not host.ended_cleanly(code)
        ]


async def run_seed(seed: int, options: dict[str, str]) -> bool:
    """Run one seed; return whether no check was violated."""
    rng = random.Random(seed)
    plan = choose_plan(rng, is_large=bool(options['--large']))
    with tempfile.TemporaryDirectory(prefix='crowrudder-') as name:
        version_ends_rng = random.Random(f'ends of {seed}')
        queue_rng = random.Random(f'queues of {seed}')
        fleet = PlatformFleet(plan, Path(name), rng, queue_rng)
        fatals_rng = random.Random(f'needs of {seed}')
        statements_rng = random.Random(f'statements of {seed}')
        links_rng = random.Random(f'links of {seed}')
        store_rng = random.Random(f'returns of {seed}')
        soak = PlatformSoak(
            fleet,
            rng,
            version_ends_rng,
            fatals_rng,
            statements_rng,
            links_rng,
            store_rng,
            random.Random(f'body ends of {seed}'),
            random.Random(f'parts of {seed}'),
            random.Random(f'zones of {seed}'),
            random.Random(f'classes of {seed}'),
            random.Random(f'directory of {seed}'),
            random.Random(f'silences of {seed}'),
            random.Random(f'kept connections of {seed}'),
            float(options['--duration']),
            bool(options.get('--calm')),
        )
        soak.log_line(f'seed {seed}: {plan}')
        is_ok = False
        try:
            verdict = await soak.run()
            is_ok = not verdict.violations
            _report(seed, verdict)
        finally:
            fleet.close()
            if not is_ok:
                kept = keep_logs(
                    fleet.folder, seed=seed, kept_in=options['--logs']
                )
                print(f'logs of the programs: {kept}')
    return is_ok or _is_known(seed, verdict, options)


def _is_known(seed: int, verdict: Verdict, options: dict[str, str]) -> bool:
    if not options.get('--known-red'):
        return False
    is_known = is_known_failure(
        Path(options['--known-red']),
        duration=options['--duration'],
        seed=seed,
        checks=verdict.violations,
    )
    if is_known:
        print(f'KNOWN RED: platform soak, seed {seed}')
    return is_known


def _report(seed: int, verdict: Verdict) -> None:
    for name, found in verdict.violations.items():
        for line in found:
            print(f'broken: {name}: {line}')
    counts = ' '.join(
        f'{check.replace(" ", "_")}={len(lines)}'
        for check, lines in verdict.violations.items()
    )
    answers = dict(verdict.outcomes.most_common())
    ends = dict(verdict.ends)
    state = 'failed' if verdict.violations else 'ok'
    print(
        f'platform soak: {state} seed={seed} {counts} answers={answers} {ends=}'
    )


async def main() -> int:
    """Run with the options of the command line."""
    options = docopt(__doc__ or '')
    end_on_signal(signal.SIGTERM)
    first = int(options['--seed'])
    seeds = range(first, first + int(options['--seeds']))
    failed = []
    with contextlib.suppress(KeyboardInterrupt):
        for seed in REGRESSION_SEEDS if options['--known'] else seeds:
            if not await run_seed(seed, options):
                failed.append(seed)
    if failed:
        print(f'failed seeds: {failed}')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(asyncio.run(main()))
