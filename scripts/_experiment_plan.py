"""Read an experiment's file: its fleet, faults and promises."""

from __future__ import annotations

from typing import TYPE_CHECKING

from _fleet_plan import FleetPlan
from _load_ini import SectionCheck, ini_key, read_sections
from _load_plan import MAX_DURATION_S, LoadPlan, check_load, optional
from attrs import frozen

from crowrudder_daemon.settings.schema import Kind, decimal, whole, word
from crowrudder_daemon.settings.schema import name as name_kind

if TYPE_CHECKING:
    from pathlib import Path

_TIME_S = decimal(0, MAX_DURATION_S)
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
    """Return the kind of a host name, or of `domain:NAME` for its hosts."""

    def parse(text: str) -> str:
        name_kind().parse(text.removeprefix(_DOMAIN))
        return text

    return Kind(parse, 'a host such as agent-1, or domain:NAME')


@frozen(kw_only=True)
class FleetSection:
    """Size of the fleet to start, and the speed of its engines.

    Rates are in bytes a second.
    """

    entries: int = ini_key(whole(1, 4), default=2)
    engines: int = ini_key(whole(3, 8), default=4)
    plains: int = ini_key(whole(0, 2), default=1)
    slots: int = ini_key(whole(1, 64), default=8)
    token_interval_s: float = ini_key(decimal(0.001, 1), default=0.005)
    prefill_s: float = ini_key(decimal(0, 1), default=0.02)
    load_s: float = ini_key(decimal(0, 5), default=0.2)
    origin_rate: int = ini_key(whole(1, 1 << 30), default=8_000_000)
    member_lag_s: float = ini_key(decimal(0, 10), default=0.5)

    def plan(self) -> FleetPlan:
        """Return the plan for the fleet launcher."""
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
        """Return the names that the fleet launcher gives to the hosts."""
        return (
            *_numbered('entry', self.entries),
            *_numbered('agent', self.engines),
            *_numbered('agent-plain', self.plains),
        )

    def upstreams(self) -> tuple[str, ...]:
        """Return the names of the engines."""
        return _numbered('engine', self.engines)


def _numbered(prefix: str, count: int) -> tuple[str, ...]:
    return tuple(f'{prefix}-{number}' for number in range(1, count + 1))


@frozen(kw_only=True)
class Kill:
    """Hosts are killed (SIGKILL) together with their upstreams.

    The platform removes them from its member list `unlisted_after_s` seconds
    later.
    """

    name: str
    at_s: float = ini_key(_TIME_S)
    target: str = ini_key(target())
    unlisted_after_s: float = ini_key(_TIME_S, default=2.0)


@frozen(kw_only=True)
class Restart:
    """Killed hosts are restarted."""

    name: str
    at_s: float = ini_key(_TIME_S)
    target: str = ini_key(target())


@frozen(kw_only=True)
class Freeze:
    """The daemons of hosts are paused for `lasts_s` seconds."""

    name: str
    at_s: float = ini_key(_TIME_S)
    target: str = ini_key(target())
    lasts_s: float = ini_key(_TIME_S)


@frozen(kw_only=True)
class Drain:
    """The daemons of hosts are drained (SIGTERM)."""

    name: str
    at_s: float = ini_key(_TIME_S)
    target: str = ini_key(target())


@frozen(kw_only=True)
class Roll:
    """The daemons of hosts are drained and restarted."""

    name: str
    at_s: float = ini_key(_TIME_S)
    target: str = ini_key(target())


@frozen(kw_only=True)
class EngineFault:
    """An engine is faulty for `lasts_s` seconds."""

    name: str
    at_s: float = ini_key(_TIME_S)
    target: str = ini_key(name_kind())
    fault: str = ini_key(word(*_ENGINE_FAULTS))
    lasts_s: float = ini_key(_TIME_S)
    amount: float = ini_key(_TIME_S, default=0.0)


@frozen(kw_only=True)
class PlatformFault:
    """The platform is faulty for `lasts_s` seconds."""

    name: str
    at_s: float = ini_key(_TIME_S)
    fault: str = ini_key(word(*_PLATFORM_FAULTS))
    lasts_s: float = ini_key(_TIME_S)
    amount: float = ini_key(_TIME_S, default=0.0)


@frozen(kw_only=True)
class Hostile:
    """Entries receive malformed and stalling calls for `lasts_s` seconds."""

    name: str
    at_s: float = ini_key(_TIME_S)
    lasts_s: float = ini_key(_TIME_S)


@frozen(kw_only=True)
class Publish:
    """A new version is published; every engine must load it in `within_s`."""

    name: str
    at_s: float = ini_key(_TIME_S)
    version: str = ini_key(name_kind())
    within_s: float = ini_key(_TIME_S)


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
_STEP_CLASSES: dict[str, type[Step]] = {
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
    """Bounds on a figure of all requests, a phase, a customer, or both."""

    name: str
    figure: str = ini_key(word(*FIGURES))
    phase: str = ini_key(optional(name_kind()), default='')
    customer: str = ini_key(optional(name_kind()), default='')
    least: float = ini_key(decimal(0, 1_000_000), default=0.0)
    most: float = ini_key(decimal(0, 1_000_000), default=float('inf'))


@frozen(kw_only=True)
class Experiment:
    """The contents of a valid experiment file."""

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
        If the file has faults; all of them are reported.
    """
    check = SectionCheck(str(path), read_sections(path))
    check.reject_other_sections(
        'fleet', 'load', 'traffic:', 'phase:', 'fault:', 'promise:'
    )
    fleet = check.read_section('fleet', FleetSection)
    load = check_load(check)
    steps = _steps(check)
    promises = check.read_named_sections('promise', Promise)
    if fleet is not None:
        _check_targets(check, steps, fleet)
    _check_promises(check, promises)
    check.raise_faults()
    # Neither is None when there is no fault, which mypy can't infer.
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
    """Return the step of each `[fault:NAME]`, of the class given by `kind`."""
    kind_of = word(*_STEP_CLASSES)
    steps = []
    for section, step_name in check.named_sections('fault'):
        texts = dict(check.sections[section])
        found = texts.pop('kind', None)
        if found not in _STEP_CLASSES:
            check.add_fault(section, 'kind', found, kind_of.allowed)
            continue
        inner = SectionCheck(check.file, {section: texts}, check.faults)
        step = inner.read_section(section, _STEP_CLASSES[found], name=step_name)
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
            check.add_fault(
                section, 'target', named, f'one of {", ".join(known)}'
            )


def _check_promises(check: SectionCheck, promises: tuple[Promise, ...]) -> None:
    phases = ('', *(phase for _, phase in check.named_sections('phase')))
    customers = (
        '',
        *(
            check.sections[section].get('customer', '')
            for section, _ in check.named_sections('traffic')
        ),
    )
    for promise in promises:
        section = f'promise:{promise.name}'
        if promise.phase not in phases:
            check.add_fault(
                section, 'phase', promise.phase, _allowed_names(phases)
            )
        if promise.customer not in customers:
            found = promise.customer
            check.add_fault(
                section, 'customer', found, _allowed_names(customers)
            )
        if promise.least > promise.most:
            allowed = f'least = {promise.least:g} or more'
            check.add_fault(section, 'most', f'{promise.most:g}', allowed)


def _allowed_names(names: tuple[str, ...]) -> str:
    return f'empty or one of {", ".join(sorted(set(names)))}'
