"""Read the results of measurements and experiments."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from pathlib import Path

import msgspec
from attrs import frozen


class ReportError(Exception):
    """A file can't be read as measured figures or experiment results."""

    def __init__(self, file: str, found: str, allowed: str) -> None:
        super().__init__(f'{file}: found {found}, allowed: {allowed}')


@frozen
class Figure:
    """A measured figure, printed as `name=value`.

    >>> Figure('weights.origin_copies.32', '1.02').number
    1.02
    """

    name: str
    text: str

    @property
    def number(self) -> float | None:
        """The value; None if it isn't a number."""
        try:
            return float(self.text)
        except ValueError:
            return None

    @property
    def size(self) -> int | None:
        """The number of processes at the end of the name, if present."""
        last = self.name.rpartition('.')[2]
        return int(last) if last.isascii() and last.isdigit() else None


@frozen
class Series:
    """One figure at several fleet sizes, in ascending order."""

    name: str
    points: tuple[tuple[int, float], ...]


def read_figures(path: Path) -> tuple[Figure, ...]:
    """Read the lines that `run.py --out` wrote.

    If a name occurs more than once, its last value counts.

    Raises
    ------
    ReportError
        If a line isn't `name=value`; the message has its number.
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
        matches = any(f'{name}.'.startswith(f'{each}.') for each in prefixes)
        if matches and figure.size is not None and figure.number is not None:
            points[name].append((figure.size, figure.number))
    return tuple(
        Series(name, tuple(sorted(points[name]))) for name in sorted(points)
    )


@frozen(kw_only=True)
class Quantiles:
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
    latency: Quantiles
    first_token: Quantiles

    @property
    def rate_per_s(self) -> float:
        """The offered rate."""
        return self.requests / self.seconds

    @property
    def goodput_per_s(self) -> float:
        """Complete answers within their deadlines, per second."""
        return self.good / self.seconds


@frozen(kw_only=True)
class Summary:
    """Measurements of an experiment, in total and by phase."""

    total: Group
    phases: tuple[Group, ...]


@frozen(kw_only=True)
class Promise:
    """A bound of an experiment and the measured figure."""

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
    """Read the JSON that `experiment.py --out` wrote.

    Raises
    ------
    ReportError
        If the file isn't the JSON of an experiment.
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
