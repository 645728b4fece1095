"""The operator's command line of crowrudder.

Usage:
  crowrudder check DIR [--parent FILE | --in-force ADMIN] [--json]
  crowrudder bundle DIR [-o FILE] [--parent FILE | --in-force ADMIN] [--json]
  crowrudder diff DIR (--in-force ADMIN | --against DIR2) [--json]
  crowrudder status ADMIN... [--wait DIGEST] [--timeout S] [--json]
  crowrudder audit ADMIN... [--after N] [--json]
  crowrudder explain ADMIN --customer C --model M [--json]
  crowrudder (-h | --help)

Commands:
  check    check the declared files of a directory, all faults at once
  bundle   check them and write the value to publish
  diff     show what differs, key by key
  status   hold every process against the declared state
  audit    show who changed what, on each process that is named
  explain  show where an entry would send a request, and why

Options:
  -o FILE            write the bundle to FILE and print its digest
  --parent FILE      the bundle that this one follows
  --in-force ADMIN   what is in force (and the members), from a process
  --against DIR2     another directory of declared files
  --wait DIGEST      wait until this bundle (8 digits or more) is everywhere
  --timeout S        longest wait in seconds [default: 60]
  --after N          only events after number N [default: 0]
  --customer C       the customer of the request
  --model M          the model of the request
  --json             JSON in place of tables
  -h --help          this text

ADMIN is IP:PORT, the admin address of a process; for `status` one entry is
enough, more are asked when it doesn't answer.

Exit codes:
  0  done; for `status`: in the declared state; for `diff`: no difference
  1  not in the declared state, or differences found
  2  bad input: arguments, files, faults in the declared files
  3  a process that had to answer is unreachable

For example:
  crowrudder check fleet
  crowrudder diff fleet --in-force 127.0.0.1:9001
  crowrudder bundle fleet --in-force 127.0.0.1:9001 -o next.json
  crowrudder status 127.0.0.1:9001 --wait 3f2a9c01 --timeout 120
  crowrudder audit 127.0.0.1:9001 127.0.0.1:9002 --after 40
  crowrudder explain 127.0.0.1:9001 --customer show-desk --model listing
"""

from __future__ import annotations

import asyncio
import re
import sys
from typing import Any

from docopt import DocoptExit, docopt

from crowrudder_client import _declare, _observe
from crowrudder_client._admin import parse_admin_address
from crowrudder_client._errors import BadInputError, ClientError, ExitCode
from crowrudder_client._output import Outcome, write_outcome

USAGE = __doc__ or ''
DIGEST_PATTERN = re.compile('[0-9a-f]{8,64}')
MAX_WAIT_S = 86400


def main(argv: list[str] | None = None) -> int:
    """Run one command and return its exit code."""
    try:
        options = docopt(USAGE, sys.argv[1:] if argv is None else argv)
    except DocoptExit as exc:
        sys.stderr.write(f'{exc}\n')
        return ExitCode.bad_input
    try:
        outcome = asyncio.run(_run(options))
    except ClientError as exc:
        sys.stderr.write(f'crowrudder: {exc}\n')
        return exc.exit_code
    except KeyboardInterrupt:
        return ExitCode.differs
    write_outcome(outcome, as_json=options['--json'])
    return outcome.exit_code


async def _run(options: dict[str, Any]) -> Outcome:
    if options['check']:
        return await _declare.check(options['DIR'], _baseline(options))
    if options['bundle']:
        file = options['-o'] or ''
        return await _declare.bundle(options['DIR'], _baseline(options), file)
    if options['diff']:
        return await _declare.diff(
            options['DIR'],
            admin=_baseline(options).admin,
            other=options['--against'] or '',
        )
    return await _run_process_command(options)


async def _run_process_command(options: dict[str, Any]) -> Outcome:
    admins = [parse_admin_address(text) for text in options['ADMIN']]
    if options['status']:
        return await _observe.status(admins, _wait_options(options))
    if options['audit']:
        after = _parse_number(options, '--after', (1 << 63) - 1)
        return await _observe.audit(admins, after)
    return await _observe.explain(
        admins[0],
        customer=options['--customer'],
        model=options['--model'],
    )


def _baseline(options: dict[str, Any]) -> _declare.Baseline:
    admin = options['--in-force']
    return _declare.Baseline(
        parent_file=options['--parent'] or '',
        admin=parse_admin_address(admin) if admin else '',
    )


def _wait_options(options: dict[str, Any]) -> _observe.WaitOptions:
    digest = options['--wait']
    timeout_s = _parse_number(options, '--timeout', MAX_WAIT_S)
    if digest is None:
        return _observe.WaitOptions()
    if DIGEST_PATTERN.fullmatch(digest) is None:
        allowed = 'allowed: 8 to 64 lower-case hexadecimal digits'
        raise BadInputError(f'--wait {digest!r}', allowed)
    return _observe.WaitOptions(digest, timeout_s)


def _parse_number(options: dict[str, Any], name: str, max_value: int) -> int:
    text = options[name]
    if not re.fullmatch('[0-9]{1,19}', text) or int(text) > max_value:
        allowed = f'allowed: a whole number from 0 to {max_value}'
        raise BadInputError(f'{name} {text!r}', allowed)
    return int(text)
