"""One experiment: a fleet, its load, the faults at their times, the verdict."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from _books import Books, compare
from _declare import Declared
from _experiment_faults import FIRST, Injector
from _experiment_verdict import Report, StepReport, judge
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

_FIRST_LOADED_S = 20
_JOURNALS_REST_S = 0.3


class ExperimentRun:
    """Runs one experiment on a fleet of its own."""

    def __init__(self, experiment: Experiment, directory: Path) -> None:
        self._experiment = experiment
        self.fleet = Fleet(experiment.fleet.plan(), directory)
        declared = Declared.from_example(directory / 'declared')
        declared.set_replicas(experiment.fleet.engines)
        self._injector = Injector(self.fleet, declared)

    async def prepare(self) -> LoopbackCaller:
        """Start the fleet, load the first version, and give a caller."""
        await self.fleet.start()
        await self._injector.publish(FIRST, _FIRST_LOADED_S)
        member = self.fleet.entries[0].member
        url = f'http://{member["address"]}:{member["http_port"]}'
        caller = LoopbackCaller(url, seed=self._experiment.load.bounds.seed)

        async def all_named() -> bool:
            caller.forget_entries()
            return len(await caller.entries()) == len(self.fleet.entries)

        await until(all_named, step='name all entries', timeout_s=10)
        return caller

    async def run(self) -> Report:
        """Run the load and the faults side by side, and judge."""
        experiment = self._experiment
        caller = await self.prepare()
        planned = arrivals(experiment.load, tag=experiment.name)
        load = LoadRun(caller, experiment.load.bounds)
        started = time.monotonic()
        steps = [
            asyncio.create_task(self._take(step, started))
            for step in experiment.steps
        ]
        try:
            results = await load.run(planned)
            reports = await asyncio.gather(*steps)
        finally:
            for task in steps:
                task.cancel()
            caller.close()
        # Engines still write down what they stopped last.
        await asyncio.sleep(_JOURNALS_REST_S)
        return judge(
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
        absences = self._injector.absences
        return absences.excuse(answer, self.fleet.entries)

    async def _take(self, step: Step, started: float) -> StepReport:
        await asyncio.sleep(started + step.at_s - time.monotonic())
        began = time.monotonic()
        error = ''
        try:
            await self._injector.act(step)
        except (FleetError, OSError) as exc:
            error = str(exc)
        return StepReport(
            name=step.name,
            kind=type(step).__name__,
            at_s=step.at_s,
            took_s=round(time.monotonic() - began, 3),
            error=error,
        )


def log_tails(hosts: Iterable[Host]) -> list[str]:
    """Give the last lines of the logs of hosts."""
    return [f'--- {host.name}\n{host.process.tail()}' for host in hosts]
