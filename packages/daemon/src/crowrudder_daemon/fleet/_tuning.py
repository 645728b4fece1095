"""The product's own settings in a fleet: an INI file, all keys optional."""

from __future__ import annotations

import configparser
from pathlib import Path

from attrs import fields, frozen

from crowrudder_daemon.settings import Fault, SettingsError
from crowrudder_daemon.settings.schema import decimal, key, rows_of, whole, word

SECTION = 'fleet'


@frozen(kw_only=True)
class Tuning:
    """Settings that the fleet's operators may tune.

    Parameters
    ----------
    log_level
        Lowest level that is logged.
    log_lines_per_s
        Maximum average rate of log lines; the number of dropped lines is
        logged. The default allows five times the lines of 16 requests a second
        with three lines each.
    answer_ttl_s
        Seconds for which callers may cache the list of entries. Short, as a
        dead entry in the list costs a caller a failed connection.
    upload_share
        Share of the host's link that chunks of weights may use while answers
        are being sent. The rest is left to the answers: an event of a stream
        waits for at most one block of a chunk.
    uploads_at_once
        Maximum number of chunks sent concurrently.
    origin_copies
        Number of copies of a version that a fleet reads from the origin.
    """

    log_level: str = key(
        word('debug', 'info', 'warning', 'error'), default='info'
    )
    log_lines_per_s: float = key(decimal(1, 10_000), default=250.0)
    answer_ttl_s: float = key(decimal(0.2, 60), default=2.0)
    upload_share: float = key(decimal(0.05, 1), default=0.8)
    uploads_at_once: int = key(whole(1, 16), default=3)
    origin_copies: int = key(whole(1, 4), default=1)


def read_tuning(path: str) -> Tuning:
    """Read the file; return the defaults for an empty path.

    Raises
    ------
    SettingsError
        If the file is invalid; the error has every fault of the file.
    """
    if not path:
        return Tuning()
    parser = configparser.RawConfigParser(default_section='', strict=True)
    try:
        parser.read_string(Path(path).read_text(), path)
    except (OSError, ValueError, configparser.Error) as exc:
        fault = Fault(path, '', '', str(exc), 'a readable INI file, UTF-8')
        raise SettingsError((fault,)) from exc
    return _validated(path, parser)


def _validated(path: str, parser: configparser.RawConfigParser) -> Tuning:
    faults = [
        Fault(path, name, '', f'[{name}]', f'only [{SECTION}]')
        for name in parser.sections()
        if name != SECTION
    ]
    texts = dict(parser.items(SECTION)) if SECTION in parser else {}
    known = {row.key: row for row in rows_of(SECTION, Tuning)}
    values: dict[str, object] = {}
    for name, text in texts.items():
        row = known.get(name)
        allowed = row.kind.allowed if row else f'only {", ".join(known)}'
        try:
            values[name] = row.kind.parse(text) if row else _reject(text)
        except ValueError:
            faults.append(Fault(path, SECTION, name, text, allowed))
    if faults:
        raise SettingsError(tuple(faults))
    return Tuning(**values)  # type: ignore[arg-type]


def _reject(text: str) -> object:
    raise ValueError(text)


def tuning_keys() -> tuple[str, ...]:
    """Return the keys, for the reference page."""
    return tuple(attribute.name for attribute in fields(Tuning))
