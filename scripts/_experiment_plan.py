"""What an experiment's file says beside the load: fleet, faults, promises."""

from __future__ import annotations

from typing import TYPE_CHECKING

from _fleet_plan import FleetPlan
from _load_ini import SectionCheck, ini, read_sections
from _load_plan import LONGEST_S, LoadPlan, check_load, optional
from attrs import frozen

from crowrudder_daemon.settings.schema import Kind, decimal, whole, word
from crowrudder_daemon.settings.schema import name as a_name

if TYPE_CHECKING:
    from pathlib import Path

_AT = decimal(0, LONGEST_S)
_DOMAIN = 'domain:'
_ENGINE_FAULTS = (
    'die',
    'freeze',
    'stall',
    'answer_late',
    'answer_crossed',
    'cut',
    'corrupt_text',
    'corrupt_chunk',
    'lie_about_load',
)
_PLATFORM_FAULTS = (
    'down',
    'stale',
    'slow',
    'garbage',
    'half',
    'flapping',
    'rebuilt',
)


def target() -> Kind:
    """Read a host's name, or `domain:NAME` for a whole failure domain."""

    def parse(text: str) -> str:
        a_name().parse(text.removeprefix(_DOMAIN))
        return text

    return Kind(parse, 'a host such as agent-1, or domain:NAME')


@frozen(kw_only=True)
class FleetSection:
    """The fleet to start, and how fast its engines are.

    Rates are in bytes a second.
    """

    entries: int = ini(whole(1, 4), default=2)
    engines: int = ini(whole(3, 8), default=4)
    plains: int = ini(whole(0, 2), default=1)
    slots: int = ini(whole(1, 64), default=8)
    token_interval_s: float = ini(decimal(0.001, 1), default=0.005)
    prefill_s: float = ini(decimal(0, 1), default=0.02)
    load_s: float = ini(decimal(0, 5), default=0.2)
    origin_rate: int = ini(whole(1, 1 << 30), default=8_000_000)
    member_lag_s: float = ini(decimal(0, 10), default=0.5)

    def plan(self) -> FleetPlan:
        """Give the plan that the launcher of fleets takes."""
        return FleetPlan(
            entries=self.entries,
            engines=self.engines,
            plains=self.plains,
            origin_rate=self.origin_rate,
            member_lag_s=self.member_lag_s,
            engine_options=(
                f'--slots={self.slots}',
                f'--token-interval={self.token_interval_s}',
                f'--prefill={self.prefill_s}',
                f'--load-s={self.load_s}',
            ),
        )

    def hosts(self) -> tuple[str, ...]:
        """Name the hosts, as the launcher does."""
        return (
            *_numbered('entry', self.entries),
            *_numbered('agent', self.engines),
            *_numbered('agent-plain', self.plains),
        )

    def upstreams(self) -> tuple[str, ...]:
        """Name the engines."""
        return _numbered('engine', self.engines)


def _numbered(prefix: str, count: int) -> tuple[str, ...]:
    return tuple(f'{prefix}-{number}' for number in range(1, count + 1))


@frozen(kw_only=True)
class Kill:
    """Hosts die at once with what stands beside them.

    The platform notices after `unlisted_after_s` seconds and takes them out
    of its list.
    """

    name: str
    at_s: float = ini(_AT)
    target: str = ini(target())
    unlisted_after_s: float = ini(_AT, default=2.0)


@frozen(kw_only=True)
class Restart:
    """Killed hosts start again."""

    name: str
    at_s: float = ini(_AT)
    target: str = ini(target())


@frozen(kw_only=True)
class Freeze:
    """The daemons of hosts stand still for `lasts_s` seconds, then go on."""

    name: str
    at_s: float = ini(_AT)
    target: str = ini(target())
    lasts_s: float = ini(_AT)


@frozen(kw_only=True)
class Drain:
    """The daemons of hosts are told to leave (SIGTERM)."""

    name: str
    at_s: float = ini(_AT)
    target: str = ini(target())


@frozen(kw_only=True)
class Roll:
    """The daemons of hosts are told to leave, and are started again."""

    name: str
    at_s: float = ini(_AT)
    target: str = ini(target())


@frozen(kw_only=True)
class EngineFault:
    """An engine misbehaves for `lasts_s` seconds."""

    name: str
    at_s: float = ini(_AT)
    target: str = ini(a_name())
    fault: str = ini(word(*_ENGINE_FAULTS))
    lasts_s: float = ini(_AT)
    amount: float = ini(_AT, default=0.0)


@frozen(kw_only=True)
class PlatformFault:
    """The platform misbehaves for `lasts_s` seconds."""

    name: str
    at_s: float = ini(_AT)
    fault: str = ini(word(*_PLATFORM_FAULTS))
    lasts_s: float = ini(_AT)
    amount: float = ini(_AT, default=0.0)


@frozen(kw_only=True)
class Hostile:
    """Every entry gets malformed and stalling calls for `lasts_s` seconds."""

    name: str
    at_s: float = ini(_AT)
    lasts_s: float = ini(_AT)


@frozen(kw_only=True)
class Publish:
    """A new version is declared; every engine has it within `within_s`."""

    name: str
    at_s: float = ini(_AT)
    version: str = ini(a_name())
    within_s: float = ini(_AT)


Step = (
    Kill
    | Restart
    | Freeze
    | Drain
    | Roll
    | EngineFault
    | PlatformFault
    | Hostile
    | Publish
)
_STEPS: dict[str, type[Step]] = {
    'kill': Kill,
    'restart': Restart,
    'freeze': Freeze,
    'drain': Drain,
    'roll': Roll,
    'engine': EngineFault,
    'platform': PlatformFault,
    'hostile': Hostile,
    'publish': Publish,
}
FIGURES = (
    'good_share',
    'whole_share',
    'goodput_per_s',
    'latency_p95_s',
    'first_token_p95_s',
    'overdue',
    'sendings_per_request',
)


@frozen(kw_only=True)
class Promise:
    """A bound on a figure, over all or of one phase, customer, or both."""

    name: str
    figure: str = ini(word(*FIGURES))
    phase: str = ini(optional(a_name()), default='')
    customer: str = ini(optional(a_name()), default='')
    least: float = ini(decimal(0, 1_000_000), default=0.0)
    most: float = ini(decimal(0, 1_000_000), default=float('inf'))


@frozen(kw_only=True)
class Experiment:
    """A whole file, checked."""

    name: str
    fleet: FleetSection
    load: LoadPlan
    steps: tuple[Step, ...]
    promises: tuple[Promise, ...]


def read_experiment(path: Path) -> Experiment:
    """Read and check a file.

    Raises
    ------
    SettingsError
        With every fault of the file.
    """
    check = SectionCheck(str(path), read_sections(path))
    check.refuse_sections_but(
        'fleet', 'load', 'traffic:', 'phase:', 'fault:', 'promise:'
    )
    fleet = check.one('fleet', FleetSection)
    load = check_load(check)
    steps = _steps(check)
    promises = check.many('promise', Promise)
    if fleet is not None:
        _check_targets(check, steps, fleet)
    _check_promises(check, promises)
    check.end()
    # Nothing is None once there is no fault; the type checker can't know.
    assert fleet is not None
    assert load is not None
    return Experiment(
        name=path.stem,
        fleet=fleet,
        load=load,
        steps=tuple(sorted(steps, key=lambda step: step.at_s)),
        promises=promises,
    )


def _steps(check: SectionCheck) -> list[Step]:
    """Read each `[fault:NAME]` as the class that its `kind` names."""
    kind_of = word(*_STEPS)
    steps = []
    for section, step_name in check.named('fault'):
        texts = dict(check.sections[section])
        found = texts.pop('kind', None)
        if found not in _STEPS:
            check.refuse(section, 'kind', found, kind_of.allowed)
            continue
        inner = SectionCheck(check.file, {section: texts}, check.faults)
        step = inner.one(section, _STEPS[found], name=step_name)
        if step is not None:
            steps.append(step)
    return steps


def _check_targets(
    check: SectionCheck, steps: list[Step], fleet: FleetSection
) -> None:
    for step in steps:
        section = f'fault:{step.name}'
        match step:
            case Kill() | Restart() | Freeze() | Drain() | Roll():
                known = fleet.hosts()
                named = step.target
            case EngineFault():
                known = fleet.upstreams()
                named = step.target
            case _:
                continue
        if named not in known and not named.startswith(_DOMAIN):
            check.refuse(section, 'target', named, f'one of {", ".join(known)}')


def _check_promises(check: SectionCheck, promises: tuple[Promise, ...]) -> None:
    phases = ('', *(phase for _, phase in check.named('phase')))
    customers = (
        '',
        *(
            check.sections[section].get('customer', '')
            for section, _ in check.named('traffic')
        ),
    )
    for promise in promises:
        section = f'promise:{promise.name}'
        if promise.phase not in phases:
            check.refuse(section, 'phase', promise.phase, _either(phases))
        if promise.customer not in customers:
            found = promise.customer
            check.refuse(section, 'customer', found, _either(customers))
        if promise.least > promise.most:
            allowed = f'least = {promise.least:g} or more'
            check.refuse(section, 'most', f'{promise.most:g}', allowed)


def _either(names: tuple[str, ...]) -> str:
    return f'empty or one of {", ".join(sorted(set(names)))}'
