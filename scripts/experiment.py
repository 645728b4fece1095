"""Run experiments: a fleet under load and faults, and what it promised.

Usage:
  experiment.py [--out=DIR] [--logs=DIR] [--seed=N] FILE ...

Options:
  --out=DIR   Write NAME.json of each experiment into this directory.
  --logs=DIR  Keep the files of each fleet (settings, logs, books) in DIR/NAME.
  --seed=N    Another seed than the file's.

Exit codes: 0 all promises kept, 1 one is broken, 2 a file is wrong.
"""

from __future__ import annotations

import asyncio
import signal
import sys
import tempfile
from pathlib import Path

import msgspec
from _experiment_plan import Experiment, read_experiment
from _experiment_run import ExperimentRun, tail_logs
from _experiment_verdict import Report
from _process import FleetError, end_on_signal
from attrs import evolve
from docopt import docopt

from crowrudder_daemon.settings import SettingsError

RUN_TIMEOUT_S = 120


def with_seed(experiment: Experiment, seed: str | None) -> Experiment:
    """Return the experiment with another seed, if one is given."""
    if seed is None:
        return experiment
    bounds = evolve(experiment.load.bounds, seed=int(seed))
    return evolve(experiment, load=evolve(experiment.load, bounds=bounds))


async def run_in(experiment: Experiment, directory: Path) -> Report | None:
    """Run an experiment on a fleet that keeps its files in a directory."""
    end_on_signal(signal.SIGTERM)
    run = ExperimentRun(experiment, directory)
    try:
        async with asyncio.timeout(RUN_TIMEOUT_S):
            return await run.run()
    except (FleetError, TimeoutError) as exc:
        print('\n'.join(tail_logs(run.fleet.hosts)))
        print(f'experiment {experiment.name}: failed {exc!r}', flush=True)
        return None
    finally:
        run.fleet.close()


def run_one(
    experiment: Experiment, *, out: Path | None, logs: Path | None
) -> bool:
    """Run an experiment, print its report and return whether it passed."""
    with tempfile.TemporaryDirectory(prefix='crowrudder-') as temporary:
        directory = Path(temporary)
        if logs is not None:
            directory = logs / experiment.name
            directory.mkdir(parents=True)
        report = asyncio.run(run_in(experiment, directory))
    if report is None:
        return False
    print('\n'.join(report.lines()), flush=True)
    if out is not None:
        out.mkdir(parents=True, exist_ok=True)
        encoded = msgspec.json.format(msgspec.json.encode(report), indent=1)
        (out / f'{experiment.name}.json').write_bytes(encoded)
    return report.passed


def main() -> int:
    """Check all files first, then run the experiments one after the other."""
    options = docopt(__doc__ or '')
    seed = options['--seed']
    try:
        experiments = [
            with_seed(read_experiment(Path(path)), seed)
            for path in options['FILE']
        ]
        out, logs = (
            Path(options[name]) if options[name] else None
            for name in ('--out', '--logs')
        )
    except SettingsError as exc:
        print(exc, file=sys.stderr)
        return 2
    passed = [
        run_one(experiment, out=out, logs=logs) for experiment in experiments
    ]
    return 0 if all(passed) else 1


if __name__ == '__main__':
    sys.exit(main())
