"""What an experiment's file says of the load: traffic, phases and bounds."""

from __future__ import annotations

from typing import TYPE_CHECKING

from _load_ini import ini
from attrs import frozen

from crowrudder_daemon.settings.schema import Kind, decimal, whole, word
from crowrudder_daemon.settings.schema import name as a_name

if TYPE_CHECKING:
    from _load_ini import SectionCheck

LONGEST_S = 45
MOST_REQUESTS = 20_000
MOST_CONCURRENT = 450


def shares() -> Kind:
    """Read parts of a mixture by name, such as `calm:6, hurried:1`.

    >>> shares().parse('calm:6, hurried:1')
    (('calm', 6.0), ('hurried', 1.0))
    """
    weight = decimal(0.001, 1000)

    def parse(text: str) -> tuple[tuple[str, float], ...]:
        parts = [part.strip().partition(':') for part in text.split(',')]
        parsed = tuple(
            (str(a_name().parse(key)), float(str(weight.parse(number))))
            for key, _, number in parts
        )
        if len({key for key, _ in parsed}) < len(parsed):
            raise ValueError(text)
        return parsed

    return Kind(parse, 'different names with weights, such as calm:6, rush:1')


def optional(kind: Kind) -> Kind:
    """Let a key be empty."""

    def parse(text: str) -> object:
        return kind.parse(text) if text else ''

    return Kind(parse, f'{kind.allowed}, or empty')


@frozen(kw_only=True)
class Bounds:
    """The seed, and what a run of load never goes beyond.

    `wait_s` is the longest wait in seconds for the last answers.
    `resend_lost` says which requests a caller sends again when the connection
    ended without an outcome.
    """

    seed: int = ini(whole(0, 1 << 32), default=1)
    requests_at_most: int = ini(whole(1, MOST_REQUESTS), default=5000)
    concurrent_at_most: int = ini(whole(1, MOST_CONCURRENT), default=300)
    wait_s: float = ini(decimal(0, LONGEST_S), default=15.0)
    resend_lost: str = ini(word('none', 'idempotent'), default='idempotent')


@frozen(kw_only=True)
class Traffic:
    """A kind of requests of one customer, `[traffic:NAME]`.

    `zipf` is the exponent of the popularity of the prompts' prefixes: 0 makes
    all equally popular, 1 the second half as popular as the first.
    """

    name: str
    customer: str = ini(a_name())
    model: str = ini(optional(a_name()), default='')
    service: str = ini(optional(a_name()), default='')
    prefixes: int = ini(whole(1, 100_000), default=20)
    zipf: float = ini(decimal(0, 5), default=1.0)
    tokens_least: int = ini(whole(1, 4096), default=8)
    tokens_most: int = ini(whole(1, 4096), default=16)
    streamed_share: float = ini(decimal(0, 1), default=0.5)
    idempotent_share: float = ini(decimal(0, 1), default=0.5)
    deadline_s: float = ini(decimal(0.05, 60), default=10.0)
    priority: int = ini(whole(0, 9), default=5)


@frozen(kw_only=True)
class Phase:
    """A stretch of time with one rate of arrivals, `[phase:NAME]`.

    `burst_size` requests more come at once every `burst_every_s` seconds.
    """

    name: str
    seconds: float = ini(decimal(0.05, LONGEST_S))
    rate_per_s: float = ini(decimal(0.01, 1000))
    arrivals: str = ini(word('poisson', 'constant'), default='poisson')
    burst_every_s: float = ini(decimal(0, LONGEST_S), default=0.0)
    burst_size: int = ini(whole(0, 1000), default=0)
    traffic: tuple[tuple[str, float], ...] = ini(shares())


@frozen(kw_only=True)
class LoadPlan:
    """All of the load: the phases follow each other in their order."""

    bounds: Bounds
    traffic: tuple[Traffic, ...]
    phases: tuple[Phase, ...]

    @property
    def seconds(self) -> float:
        """How long requests keep arriving."""
        return sum(phase.seconds for phase in self.phases)

    def starts_s(self) -> dict[str, float]:
        """Give the start of each phase, in seconds from the load's start."""
        starts: dict[str, float] = {}
        at_s = 0.0
        for phase in self.phases:
            starts[phase.name] = at_s
            at_s += phase.seconds
        return starts


def check_load(check: SectionCheck) -> LoadPlan | None:
    """Read the sections of the load; faults go to `check`."""
    bounds = check.one('load', Bounds)
    traffic = check.many('traffic', Traffic)
    phases = check.many('phase', Phase)
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
            check.refuse(section, 'model', found, 'a model or a service')
        if each.tokens_least > each.tokens_most:
            allowed = f'tokens_least = {each.tokens_least} or more'
            check.refuse(section, 'tokens_most', str(each.tokens_most), allowed)


def _check_phases(check: SectionCheck, phases: tuple[Phase, ...]) -> None:
    if not check.named('phase'):
        check.refuse('phase:NAME', '', None, 'one phase or more')
    names = [name for _, name in check.named('traffic')]
    for phase in phases:
        section = f'phase:{phase.name}'
        for named, _ in phase.traffic:
            if named not in names:
                allowed = f'one of {", ".join(names) or "[traffic:NAME]"}'
                check.refuse(section, 'traffic', named, allowed)
        if phase.burst_size and not phase.burst_every_s:
            check.refuse(section, 'burst_every_s', '0', 'more than 0 s')
    seconds = sum(each.seconds for each in phases)
    if seconds > LONGEST_S:
        allowed = f'{LONGEST_S} s at most over all phases'
        check.refuse('phase:NAME', 'seconds', f'{seconds:g}', allowed)
