"""Run a fleet of local processes from declared files and send it requests.

Environment: KEEP=1 leaves the fleet running until Ctrl-C.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import tempfile
from pathlib import Path

from _books import Books, Verdict, compare
from _caller import Answer, Caller, Request
from _declare import Declared, Weights, client
from _fleet import Fleet, until
from _fleet_plan import FleetPlan
from _process import FleetError, end_on_signal
from attrs import evolve, frozen

PLAN = FleetPlan(
    entries=2,
    engines=4,
    plains=1,
    origin_rate=8_000_000,
    engine_options=('--token-interval=0.005', '--load-s=0.2'),
)
FIRST_WEIGHTS = Weights('listing-v1', seed=1)
SECOND_WEIGHTS = Weights('listing-v2', seed=2, stored=False)
LOAD_TIMEOUT_S = 20
BATCH_SIZE = 40
REQUEST_INTERVAL_S = 0.01
LONG_TOKENS = 200
RUN_TIMEOUT_S = 58
# Only the second version must be read from the origin: one copy, and a margin
# of a tenth for chunks requested twice.
MIN_ORIGIN_COPIES = 1.0
MAX_ORIGIN_COPIES = 1.1


def print_line(line: str) -> None:
    """Print a line and flush."""
    print(line, flush=True)


def request(number: int) -> Request:
    """Return the request with this number, in a fixed mix of kinds."""
    if number % 8 == 7:
        return Request(
            request_id=f'enquiry-{number}',
            customer='riding-school',
            service='portal',
            prompt=f'Is the mare of listing {number} still for sale?',
        )
    return Request(
        request_id=f'draft-{number}',
        customer='breeder-portal',
        model='listing',
        prompt=f'Draft a listing for horse {number}',
        max_tokens=8 + number % 9,
        streamed=number % 2 == 0,
        idempotent=number % 3 == 0,
    )


class Stop(Exception):
    """The demo cannot continue."""


@frozen
class Outcome:
    """Result from the request logs, the callers and the exit codes."""

    verdict: Verdict
    origin_copies: float
    exit_codes: dict[str, int | None]

    def violations(self) -> list[str]:
        """Return everything that violates the demo's expectations."""
        verdict = self.verdict
        violations = list(verdict.misses)
        violations.extend(verdict.not_whole)
        if not MIN_ORIGIN_COPIES <= self.origin_copies <= MAX_ORIGIN_COPIES:
            violations.append(f'{self.origin_copies} copies from the origin')
        for name, code in self.exit_codes.items():
            if code != 0:
                violations.append(f'{name} ended with {code}')
        return violations

    def line(self, *, ok: bool) -> str:
        """Return the summary line."""
        verdict = self.verdict
        return (
            f'demo: {"ok" if ok else "failed"} requests={verdict.requests} '
            f'whole={verdict.whole} doubled={verdict.doubled} '
            f'mixed={verdict.mixed} cut={verdict.cut} '
            f'origin_copies={self.origin_copies:.2f}'
        )


class Demo:
    """The steps of the demo on one fleet."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._declared = Declared.from_example(fleet.directory / 'declared')
        self._caller: Caller | None = None
        self._request_count = 0

    @property
    def caller(self) -> Caller:
        """Return the caller, created at the first use."""
        if self._caller is None:
            member = self._fleet.entries[0].member
            url = f'http://{member["address"]}:{member["http_port"]}'
            self._caller = Caller(url, seed=1)
        return self._caller

    async def prepare(self) -> None:
        """Start all processes and load the first version."""
        print_line(
            'starting platform, store, origin, entries, agents and engines'
        )
        await self._fleet.start()
        await self._publish(FIRST_WEIGHTS)
        await self._await_loaded(FIRST_WEIGHTS)

    async def run(self) -> Outcome:
        """Send requests during a change of version, then drain."""
        entries = await self.caller.entries()
        print_line(f'GET /v1/entries: {[each.url for each in entries]}')
        if len(entries) != PLAN.entries:
            raise Stop(f'{len(entries)} entries named')
        await self._requests(BATCH_SIZE)
        print_line(
            f'{self._request_count} requests sent; publishing the second version'
        )
        await self._publish(SECOND_WEIGHTS)
        loading = asyncio.create_task(self._await_loaded(SECOND_WEIGHTS))
        while not loading.done():
            await self._requests(4)
        await loading
        await self._requests(BATCH_SIZE)
        print_line(await self.status())
        return await self._drain_under_load()

    async def status(self) -> str:
        """Return the status printed by the operators' client."""
        member = self._fleet.entries[0].member
        admin = f'{member["address"]}:{member["admin_port"]}'
        return await client('status', admin)

    def hints(self) -> str:
        """Return addresses and commands to try."""
        member = self._fleet.entries[0].member
        callers = f'http://{member["address"]}:{member["http_port"]}'
        admin = f'{member["address"]}:{member["admin_port"]}'
        order = {'model': 'listing', 'prompt': 'A grey mare', 'stream': True}
        body = json.dumps({**order, 'max_tokens': 20})
        breeder = "-H 'X-Customer: breeder-portal'"
        return '\n'.join(
            (
                f'entries: {callers}/v1/entries',
                f'admin addresses: {self._admins()}',
                f'stand-ins: {self._standins()}',
                f'declared files: {self._declared.directory}',
                f'logs: {self._fleet.directory}',
                'try:',
                f"  curl -N {callers}/v1/completions {breeder} -d '{body}'",
                f'  curl {callers}/v1/services/portal/hello -d hello '
                "-H 'X-Customer: riding-school'",
                f'  .venv/bin/crowrudder status {admin}',
                f'  .venv/bin/crowrudder audit {admin}',
                f'  .venv/bin/crowrudder explain {admin} '
                '--customer breeder-portal --model listing',
                'Ctrl-C ends it.',
            )
        )

    def _admins(self) -> str:
        admins = (f'{host.name}={host.admin_url}' for host in self._fleet.hosts)
        return ' '.join(admins)

    def _standins(self) -> str:
        return ' '.join(
            f'{each.process.name}={each.url}' for each in self._fleet.outsides
        )

    async def _publish(self, weights: Weights) -> None:
        digest = await self._declared.publish(self._fleet, weights)
        print_line(f'published {weights.version}: bundle {digest[:12]}')

    async def _await_loaded(self, weights: Weights) -> None:
        async def loaded() -> bool:
            return await self._fleet.loaded(weights.version)

        step = f'load {weights.version}'
        await until(loaded, step=step, timeout_s=LOAD_TIMEOUT_S)
        print_line(f'{weights.version} is loaded on every engine')

    async def _requests(self, count: int) -> list[Answer]:
        tasks = []
        for _ in range(count):
            self._request_count += 1
            call = self.caller.call(request(self._request_count))
            tasks.append(asyncio.create_task(call))
            await asyncio.sleep(REQUEST_INTERVAL_S)
        return await asyncio.gather(*tasks)

    async def _drain_under_load(self) -> Outcome:
        """Drain while long streams run, none of which may be cut."""
        streams = [await self._long_stream() for _ in range(4)]
        print_line('SIGTERM to all while 4 streams run')
        exit_codes = await self._fleet.drain(self._fleet.hosts)
        await asyncio.gather(*streams)
        books = await self._fleet.books(self._fleet.origin)
        copies = [each['copies'] for each in books['versions'].values()]
        return Outcome(
            verdict=compare(
                Books.read(self._fleet.journals()), self.caller.answers
            ),
            origin_copies=max(copies),
            exit_codes=exit_codes,
        )

    async def _long_stream(self) -> asyncio.Task[Answer]:
        self._request_count += 1
        long = evolve(
            request(self._request_count * 8),
            max_tokens=LONG_TOKENS,
            streamed=True,
            idempotent=False,
        )
        started = asyncio.Event()
        task = asyncio.create_task(self.caller.send(long, on_chunk=started.set))
        task.add_done_callback(lambda _task: started.set())
        await started.wait()
        return task


async def keep_running(demo: Demo) -> int:
    """Keep the fleet running until Ctrl-C."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stopped.set)
    await demo.prepare()
    print_line(await demo.status())
    print_line(demo.hints())
    await stopped.wait()
    return 0


async def run_with_timeout(demo: Demo) -> int:
    """Run the demo within its timeout and print the result."""
    async with asyncio.timeout(RUN_TIMEOUT_S):
        await demo.prepare()
        outcome = await demo.run()
    violations = outcome.violations()
    for violation in violations:
        print_line(violation)
    print_line(outcome.line(ok=not violations))
    return 1 if violations else 0


async def main() -> int:
    """Run the demo on a fleet in a temporary directory."""
    end_on_signal(signal.SIGTERM)
    with tempfile.TemporaryDirectory(prefix='crowrudder-') as directory:
        fleet = Fleet(PLAN, Path(directory))
        try:
            run = keep_running if os.environ.get('KEEP') else run_with_timeout
            return await run(Demo(fleet))
        except (FleetError, Stop, TimeoutError) as exc:
            for host in fleet.hosts:
                print_line(f'--- {host.name}\n{host.process.tail()}')
            print_line(f'demo: failed {exc!r}')
            return 1
        finally:
            fleet.close()


if __name__ == '__main__':
    sys.exit(asyncio.run(main()))
