"""crowrudderd: the process of an entry host or beside an upstream.

Usage:
  crowrudderd entry FILE
  crowrudderd agent FILE
  crowrudderd check-settings FILE
  crowrudderd (-h | --help)
  crowrudderd --version

FILE is the INI file of this process. SIGTERM drains and ends it; a second one
cuts off what still runs.

Exit codes: 0 drained or settings good, 1 not started, 2 settings refused,
3 running work was cut off.
"""

from __future__ import annotations

import sys
from importlib import import_module
from importlib.metadata import version
from typing import TYPE_CHECKING

from docopt import docopt

from crowrudder_daemon.process import run_role
from crowrudder_daemon.settings import Fault, SettingsError, read_settings

if TYPE_CHECKING:
    from collections.abc import Sequence

    from crowrudder_daemon.settings import Settings

EXIT_GOOD = 0
EXIT_SETTINGS = 2
BUILDERS = {
    'entry': ('crowrudder_daemon.entry', 'build_entry'),
    'agent': ('crowrudder_daemon.agent', 'build_agent'),
}


def main(argv: Sequence[str] | None = None) -> int:
    """Run the command line; return the exit code."""
    arguments = docopt(
        __doc__ or '',
        argv=None if argv is None else list(argv),
        version=version('crowrudder-daemon'),
    )
    role = next((name for name in BUILDERS if arguments[name]), '')
    try:
        cfg = _settings_for(role, arguments['FILE'])
    except SettingsError as exc:
        print(exc, file=sys.stderr)
        return EXIT_SETTINGS
    if role:
        return _run(role, cfg)
    print(f'{arguments["FILE"]}: good settings of an {cfg.process.role}')
    return EXIT_GOOD


def _settings_for(role: str, file: str) -> Settings:
    cfg = read_settings(file)
    if role and cfg.process.role != role:
        # An agent's file used for an entry would open the wrong ports.
        fault = Fault(file, 'process', 'role', cfg.process.role, role)
        raise SettingsError((fault,))
    return cfg


def _run(role: str, cfg: Settings) -> int:
    # Load only the modules of this role, to save memory on every host.
    module, builder = BUILDERS[role]
    return run_role(cfg, getattr(import_module(module), builder))
