"""Read the load of an experiment's file: traffic, phases and bounds."""

from __future__ import annotations

from typing import TYPE_CHECKING

from _load_ini import ini_key
from attrs import frozen

from crowrudder_daemon.settings.schema import Kind, decimal, whole, word
from crowrudder_daemon.settings.schema import name as name_kind

if TYPE_CHECKING:
    from _load_ini import SectionCheck

MAX_DURATION_S = 45
MAX_REQUESTS = 20_000
MAX_CONCURRENT_REQUESTS = 450


def shares() -> Kind:
    """Return the kind of named weights, such as `calm:6, hurried:1`.

    >>> shares().parse('calm:6, hurried:1')
    (('calm', 6.0), ('hurried', 1.0))
    """
    weight = decimal(0.001, 1000)

    def parse(text: str) -> tuple[tuple[str, float], ...]:
        parts = [part.strip().partition(':') for part in text.split(',')]
        parsed = tuple(
            (str(name_kind().parse(key)), float(str(weight.parse(number))))
            for key, _, number in parts
        )
        if len({key for key, _ in parsed}) < len(parsed):
            raise ValueError(text)
        return parsed

    return Kind(parse, 'different names with weights, such as calm:6, rush:1')


def optional(kind: Kind) -> Kind:
    """Return a kind that also allows an empty text."""

    def parse(text: str) -> object:
        return kind.parse(text) if text else ''

    return Kind(parse, f'{kind.allowed}, or empty')


@frozen(kw_only=True)
class Bounds:
    """The seed and the limits of a run of load.

    `wait_s` is the longest wait in seconds for the last answers.
    `resend_lost` selects the requests that a caller resends after the
    connection ended without an outcome.
    """

    seed: int = ini_key(whole(0, 1 << 32), default=1)
    requests_at_most: int = ini_key(whole(1, MAX_REQUESTS), default=5000)
    concurrent_at_most: int = ini_key(
        whole(1, MAX_CONCURRENT_REQUESTS), default=300
    )
    wait_s: float = ini_key(decimal(0, MAX_DURATION_S), default=15.0)
    resend_lost: str = ini_key(word('none', 'idempotent'), default='idempotent')


@frozen(kw_only=True)
class Traffic:
    """A kind of requests of one customer, `[traffic:NAME]`.

    `zipf` is the exponent of the popularity of the prompts' prefixes: with 0
    all are equally popular, with 1 the second is half as popular as the first.
    """

    name: str
    customer: str = ini_key(name_kind())
    model: str = ini_key(optional(name_kind()), default='')
    service: str = ini_key(optional(name_kind()), default='')
    prefixes: int = ini_key(whole(1, 100_000), default=20)
    zipf: float = ini_key(decimal(0, 5), default=1.0)
    tokens_least: int = ini_key(whole(1, 4096), default=8)
    tokens_most: int = ini_key(whole(1, 4096), default=16)
    streamed_share: float = ini_key(decimal(0, 1), default=0.5)
    idempotent_share: float = ini_key(decimal(0, 1), default=0.5)
    deadline_s: float = ini_key(decimal(0.05, 60), default=10.0)
    priority: int = ini_key(whole(0, 9), default=5)


@frozen(kw_only=True)
class Phase:
    """A period with one arrival rate, `[phase:NAME]`.

    In addition, `burst_size` requests arrive at once every `burst_every_s`
    seconds.
    """

    name: str
    seconds: float = ini_key(decimal(0.05, MAX_DURATION_S))
    rate_per_s: float = ini_key(decimal(0.01, 1000))
    arrivals: str = ini_key(word('poisson', 'constant'), default='poisson')
    burst_every_s: float = ini_key(decimal(0, MAX_DURATION_S), default=0.0)
    burst_size: int = ini_key(whole(0, 1000), default=0)
    traffic: tuple[tuple[str, float], ...] = ini_key(shares())


@frozen(kw_only=True)
class LoadPlan:
    """The whole load; its phases run one after the other."""

    bounds: Bounds
    traffic: tuple[Traffic, ...]
    phases: tuple[Phase, ...]

    @property
    def seconds(self) -> float:
        """Return how long requests arrive, in seconds."""
        return sum(phase.seconds for phase in self.phases)

    def starts_s(self) -> dict[str, float]:
        """Return the start of each phase, in seconds from the load's start."""
        starts: dict[str, float] = {}
        at_s = 0.0
        for phase in self.phases:
            starts[phase.name] = at_s
            at_s += phase.seconds
        return starts


def check_load(check: SectionCheck) -> LoadPlan | None:
    """Return the parsed load; faults are recorded in `check`."""
    bounds = check.read_section('load', Bounds)
    traffic = check.read_named_sections('traffic', Traffic)
    phases = check.read_named_sections('phase', Phase)
    _check_traffic(check, traffic)
    _check_phases(check, phases)
    if bounds is None:
        return None
    return LoadPlan(bounds=bounds, traffic=traffic, phases=phases)


def _check_traffic(check: SectionCheck, traffic: tuple[Traffic, ...]) -> None:
    for each in traffic:
        section = f'traffic:{each.name}'
        if bool(each.model) == bool(each.service):
            found = f'model={each.model!r}, service={each.service!r}'
            check.add_fault(section, 'model', found, 'a model or a service')
        if each.tokens_least > each.tokens_most:
            allowed = f'tokens_least = {each.tokens_least} or more'
            check.add_fault(
                section, 'tokens_most', str(each.tokens_most), allowed
            )


def _check_phases(check: SectionCheck, phases: tuple[Phase, ...]) -> None:
    if not check.named_sections('phase'):
        check.add_fault('phase:NAME', '', None, 'one phase or more')
    names = [name for _, name in check.named_sections('traffic')]
    for phase in phases:
        section = f'phase:{phase.name}'
        for named, _ in phase.traffic:
            if named not in names:
                allowed = f'one of {", ".join(names) or "[traffic:NAME]"}'
                check.add_fault(section, 'traffic', named, allowed)
        if phase.burst_size and not phase.burst_every_s:
            check.add_fault(section, 'burst_every_s', '0', 'more than 0 s')
    seconds = sum(each.seconds for each in phases)
    if seconds > MAX_DURATION_S:
        allowed = f'{MAX_DURATION_S} s at most over all phases'
        check.add_fault('phase:NAME', 'seconds', f'{seconds:g}', allowed)
