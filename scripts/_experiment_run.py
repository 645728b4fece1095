"""Run an experiment: start its fleet, apply load and faults, and evaluate."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from _books import Books, compare
from _declare import Declared
from _experiment_faults import FIRST_WEIGHTS, Injector
from _experiment_verdict import Report, StepReport, evaluate
from _fleet import Fleet, until
from _load_arrivals import arrivals
from _load_run import LoadRun, LoopbackCaller
from _load_summary import summarize
from _process import FleetError, Host

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

    from _caller import Answer
    from _experiment_plan import Experiment, Step

_FIRST_LOAD_TIMEOUT_S = 20
_JOURNAL_FLUSH_DELAY_S = 0.3


class ExperimentRun:
    """Runs one experiment on its own fleet."""

    def __init__(self, experiment: Experiment, directory: Path) -> None:
        self._experiment = experiment
        self.fleet = Fleet(experiment.fleet.plan(), directory)
        declared = Declared.from_example(directory / 'declared')
        declared.set_replicas(experiment.fleet.engines)
        self._injector = Injector(self.fleet, declared)

    async def prepare(self) -> LoopbackCaller:
        """Start the fleet, load the first version, and return a caller."""
        await self.fleet.start()
        await self._injector.publish(FIRST_WEIGHTS, _FIRST_LOAD_TIMEOUT_S)
        member = self.fleet.entries[0].member
        url = f'http://{member["address"]}:{member["http_port"]}'
        caller = LoopbackCaller(url, seed=self._experiment.load.bounds.seed)

        async def all_named() -> bool:
            caller.expire_entries()
            return len(await caller.entries()) == len(self.fleet.entries)

        await until(all_named, step='name all entries', timeout_s=10)
        return caller

    async def run(self) -> Report:
        """Run the load and the faults concurrently, and return the report."""
        experiment = self._experiment
        caller = await self.prepare()
        planned = arrivals(experiment.load, tag=experiment.name)
        load = LoadRun(caller, experiment.load.bounds)
        started = time.monotonic()
        steps = [
            asyncio.create_task(self._run_step(step, started))
            for step in experiment.steps
        ]
        try:
            results = await load.run(planned)
            reports = await asyncio.gather(*steps)
        finally:
            for task in steps:
                task.cancel()
            caller.close()
        # Engines still write the journal entries of their last requests.
        await asyncio.sleep(_JOURNAL_FLUSH_DELAY_S)
        return evaluate(
            experiment,
            summarize(experiment.load, results, caller.answers),
            compare(
                Books.read(self.fleet.journals()),
                caller.answers,
                excused=self._excused,
            ),
            tuple(reports),
        )

    def _excused(self, answer: Answer) -> bool:
        downtimes = self._injector.downtimes
        return downtimes.is_excused(answer, self.fleet.entries)

    async def _run_step(self, step: Step, started: float) -> StepReport:
        await asyncio.sleep(started + step.at_s - time.monotonic())
        began = time.monotonic()
        error = ''
        try:
            await self._injector.inject(step)
        except (FleetError, OSError) as exc:
            error = str(exc)
        return StepReport(
            name=step.name,
            kind=type(step).__name__,
            at_s=step.at_s,
            took_s=round(time.monotonic() - began, 3),
            error=error,
        )


def tail_logs(hosts: Iterable[Host]) -> list[str]:
    """Return the last log lines of each host."""
    return [f'--- {host.name}\n{host.process.tail()}' for host in hosts]
