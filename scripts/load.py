"""Send the load of an experiment's file to entries on this machine.

Usage:
  load.py [--entry=IP:PORT] [--json=FILE] [--seed=N] FILE

Options:
  --entry=IP:PORT  An entry of a running fleet, such as one that
                   `make demo KEEP=1` left; without it, a fleet as in the file
                   is started. Only loopback addresses.
  --json=FILE      Write the summary as JSON.
  --seed=N         Another seed than the file's.

Only the load of the file is run; `experiment.py` injects its faults as well.
Exit codes: 0 every answer is what it claims, 1 one isn't, 2 bad input.
"""

from __future__ import annotations

import asyncio
import signal
import sys
import tempfile
import time
from pathlib import Path

import msgspec
from _experiment_plan import Experiment, read_experiment
from _experiment_run import ExperimentRun
from _load_arrivals import arrivals
from _load_run import (
    LoadRun,
    LoopbackCaller,
    NotLoopbackError,
    require_loopback,
)
from _load_summary import Summary, summarize
from _load_text import summary_lines
from _process import FleetError, end_on_signal
from docopt import docopt
from experiment import with_seed

from crowrudder_daemon.settings import SettingsError


async def send(experiment: Experiment, caller: LoopbackCaller) -> Summary:
    """Send the load and return its summary."""
    # The entries already know the ids of an earlier run of the same file.
    tag = f'{experiment.name}-{time.time_ns():x}'
    planned = arrivals(experiment.load, tag=tag)
    load = LoadRun(caller, experiment.load.bounds)
    results = await load.run(planned)
    return summarize(experiment.load, results, caller.answers)


async def run_on_entry(experiment: Experiment, address: str) -> Summary:
    """Send the load to a running fleet."""
    seed = experiment.load.bounds.seed
    caller = LoopbackCaller(f'http://{address}', seed=seed)
    try:
        return await send(experiment, caller)
    finally:
        caller.close()


async def run_on_new_fleet(experiment: Experiment) -> Summary:
    """Start the file's fleet and send the load to it."""
    end_on_signal(signal.SIGTERM)
    with tempfile.TemporaryDirectory(prefix='crowrudder-') as directory:
        run = ExperimentRun(experiment, Path(directory))
        try:
            return await send(experiment, await run.prepare())
        finally:
            run.fleet.close()


def main() -> int:
    """Check the input, run the load and print the summary."""
    options = docopt(__doc__ or '')
    address = options['--entry'] or ''
    try:
        experiment = read_experiment(Path(options['FILE']))
        if address:
            require_loopback(address.rpartition(':')[0].strip('[]'))
    except (SettingsError, NotLoopbackError) as exc:
        print(exc, file=sys.stderr)
        return 2
    experiment = with_seed(experiment, options['--seed'])
    run = (
        run_on_entry(experiment, address)
        if address
        else run_on_new_fleet(experiment)
    )
    try:
        summary = asyncio.run(run)
    except (FleetError, NotLoopbackError) as exc:
        print(f'load: failed {exc}', file=sys.stderr)
        return 1
    print('\n'.join(summary_lines(summary)))
    if options['--json']:
        Path(options['--json']).write_bytes(msgspec.json.encode(summary))
    return 1 if summary.flaws.false_claims else 0


if __name__ == '__main__':
    sys.exit(main())
