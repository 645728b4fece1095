"""Reading what measurements and experiments wrote."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from pathlib import Path

import msgspec
from attrs import frozen


class ReportError(Exception):
    """A file that a report can't be made of."""

    def __init__(self, file: str, found: str, allowed: str) -> None:
        super().__init__(f'{file}: found {found}, allowed: {allowed}')


@frozen
class Figure:
    """A measured figure, as `name=value` was printed.

    >>> Figure('weights.origin_copies.32', '1.02').number
    1.02
    """

    name: str
    text: str

    @property
    def number(self) -> float | None:
        """Its value; None if it isn't a number."""
        try:
            return float(self.text)
        except ValueError:
            return None

    @property
    def size(self) -> int | None:
        """The number of processes at the end of its name, if there is one."""
        last = self.name.rpartition('.')[2]
        return int(last) if last.isascii() and last.isdigit() else None


@frozen
class Series:
    """One figure at several sizes, in their order."""

    name: str
    points: tuple[tuple[int, float], ...]


def read_figures(path: Path) -> tuple[Figure, ...]:
    """Read the lines that `run.py --out` wrote.

    A name that was measured again counts with its last value.

    Raises
    ------
    ReportError
        For a line that isn't `name=value`, with its number.
    """
    figures: dict[str, Figure] = {}
    for number, line in enumerate(_read(path).splitlines(), start=1):
        name, equals, text = line.strip().partition('=')
        if not line.strip():
            continue
        if not equals or not name or not text or ' ' in name:
            raise ReportError(f'{path}:{number}', repr(line), 'name=value')
        figures[name] = Figure(name, text)
    return tuple(figures.values())


def series_of(figures: Iterable[Figure], *prefixes: str) -> tuple[Series, ...]:
    """Collect the series of figures and of their variants and baselines.

    >>> figures = [Figure('a.b.8', '1'), Figure('a.b.tree.8', '2')]
    >>> [series.name for series in series_of(figures, 'a.b')]
    ['a.b', 'a.b.tree']
    """
    points: dict[str, list[tuple[int, float]]] = defaultdict(list)
    for figure in figures:
        name = figure.name.rpartition('.')[0]
        mine = any(f'{name}.'.startswith(f'{each}.') for each in prefixes)
        if mine and figure.size is not None and figure.number is not None:
            points[name].append((figure.size, figure.number))
    return tuple(
        Series(name, tuple(sorted(points[name]))) for name in sorted(points)
    )


@frozen(kw_only=True)
class Times:
    """Quantiles in seconds; None where nothing was measured."""

    p50: float | None
    p95: float | None
    p99: float | None


@frozen(kw_only=True)
class Group:
    """The requests of a phase, a customer, or both."""

    name: str
    seconds: float
    requests: int
    good: int
    latency: Times
    first_token: Times

    @property
    def rate_per_s(self) -> float:
        """The rate that was offered."""
        return self.requests / self.seconds

    @property
    def goodput_per_s(self) -> float:
        """Whole answers within their deadlines, a second."""
        return self.good / self.seconds


@frozen(kw_only=True)
class Summary:
    """What an experiment measured."""

    total: Group
    phases: tuple[Group, ...]


@frozen(kw_only=True)
class Promise:
    """A bound of an experiment and what was measured."""

    name: str
    figure: str
    least: float
    most: float | None
    measured: float | None
    kept: bool


@frozen(kw_only=True)
class ExperimentResult:
    """The part of an experiment's JSON that a report shows."""

    experiment: str
    seed: int
    passed: bool
    summary: Summary
    books: dict[str, int]
    promises: tuple[Promise, ...]
    broken: tuple[str, ...]


def read_result(path: Path) -> ExperimentResult:
    """Read what `experiment.py --out` wrote.

    Raises
    ------
    ReportError
        If it is something else.
    """
    try:
        return msgspec.json.decode(_read(path), type=ExperimentResult)
    except (msgspec.MsgspecError, RecursionError) as exc:
        allowed = 'the JSON of an experiment'
        raise ReportError(str(path), str(exc), allowed) from exc


def _read(path: Path) -> str:
    try:
        return path.read_text(encoding='utf-8')
    except (OSError, ValueError) as exc:
        raise ReportError(str(path), str(exc), 'a readable file') from exc
