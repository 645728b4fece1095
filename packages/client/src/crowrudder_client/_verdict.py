"""Whether the fleet is in the declared state, and what keeps it from it."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from attrs import field, frozen

from crowrudder_client._status import LostBundle, Status
from crowrudder_model._member import Member
from crowrudder_model.declared import Bundle, Declaration, Service

DECLARED = 'declared'
CHANGING = 'changing'
BEHIND = 'behind'
UNREACHABLE = 'unreachable'
LEAVING = 'leaving'
SHOWN_DIGITS = 12


@frozen
class Unreached:
    """Stands for the status of a process that gave none."""

    why: str


Answer = Status | Unreached


@frozen(kw_only=True)
class HostRow:
    """A host, and how far it is."""

    host: str
    role: str
    service: str
    state: str
    generation: int = 0
    digest: str = ''
    in_force_since: float | str | None = None
    declared_version: str = ''
    loaded_version: str = ''
    progress: float | None = None
    hinders: tuple[str, ...] = ()
    # Of a published value that can't come into force; no hindrance to the
    # bundle that is.
    refused: str = ''
    lost: LostBundle | None = None

    @property
    def is_counted(self) -> bool:
        """Tell whether the declared state asks anything of the host."""
        return self.state != LEAVING


@frozen(kw_only=True)
class ServiceRow:
    """A service over all its hosts."""

    service: str
    version: str
    replicas: int
    hosts: int
    declared: int
    progress: float

    @property
    def is_declared(self) -> bool:
        """Tell whether it has its hosts, all in the declared state."""
        return self.declared == self.hosts and self.hosts >= max(
            1, self.replicas
        )


@frozen(kw_only=True)
class Verdict:
    """The fleet against one bundle."""

    digest: str
    hosts: tuple[HostRow, ...]
    services: tuple[ServiceRow, ...]
    is_declared: bool = field(init=False)

    def __attrs_post_init__(self) -> None:
        counted = [
            row.state == DECLARED for row in self.hosts if row.is_counted
        ]
        rows_ok = bool(counted) and all(counted)
        services_ok = all(row.is_declared for row in self.services)
        object.__setattr__(self, 'is_declared', rows_ok and services_ok)


def newest(answers: Iterable[Answer]) -> str:
    """Give the digest that comes last in the order of all bundles."""
    orders = [item.order for item in answers if isinstance(item, Status)]
    return max(orders, default=(0, ''))[1]


def has(wanted: str, answer: Answer) -> bool:
    """Tell whether the wanted bundle, or one that starts so, is in force."""
    if isinstance(answer, Unreached):
        return False
    return bool(wanted) and (answer.digest or '').startswith(wanted)


def judge(
    wanted: str,
    *,
    members: tuple[Member, ...],
    answers: Mapping[str, Answer],
    bundle: Bundle | None,
) -> Verdict:
    """Hold each member's answer against the wanted bundle.

    Parameters
    ----------
    wanted
        the digest, or the start of it.
    members
        the hosts that are asked.
    answers
        by host, for each member.
    bundle
        the wanted one, when a process has it; without it the hosts' own
        words say which version they should have. Which host runs which
        service is always their word: they know of dead hosts before the
        member list does.
    """
    declaration = bundle.declaration if bundle else None
    rows = tuple(
        _row(wanted, member, answers[member.host], declaration)
        for member in sorted(members, key=lambda item: (item.role, item.host))
    )
    return Verdict(
        digest=bundle.digest if bundle else wanted,
        hosts=rows,
        services=_services(rows, bundle),
    )


def _row(
    wanted: str,
    member: Member,
    answer: Answer,
    declaration: Declaration | None,
) -> HostRow:
    is_leaving = member.state == 'leaving'
    if isinstance(answer, Unreached):
        return HostRow(
            host=member.host,
            role=member.role,
            service='',
            state=LEAVING if is_leaving else UNREACHABLE,
            hinders=(answer.why,),
        )
    version = _version(answer, declaration)
    hinders = tuple(_hinders(wanted, answer, version, declaration))
    return HostRow(
        host=member.host,
        role=member.role,
        service=answer.service or '',
        state=_state(wanted, answer, is_leaving, hinders),
        generation=answer.generation,
        digest=answer.digest or '',
        in_force_since=answer.in_force_since,
        declared_version=version,
        loaded_version=answer.loaded_version or '',
        progress=answer.progress,
        hinders=hinders,
        refused=answer.refused.reason if answer.refused else '',
        lost=answer.lost,
    )


def _version(answer: Status, declaration: Declaration | None) -> str:
    if declaration is None:
        return answer.declared_version or ''
    service = declaration.service(answer.service or '')
    return service.version if service else ''


def _state(
    wanted: str,
    answer: Status,
    is_leaving: bool,
    hinders: tuple[str, ...],
) -> str:
    if is_leaving or answer.leaving:
        return LEAVING
    if not has(wanted, answer):
        return BEHIND
    return CHANGING if hinders else DECLARED


def _hinders(
    wanted: str,
    answer: Status,
    version: str,
    declaration: Declaration | None,
) -> Iterable[str]:
    """Give what keeps the host from the declared state, its words first."""
    yield from answer.hinders
    if not has(wanted, answer):
        digest = (answer.digest or '')[:SHOWN_DIGITS]
        yield f'bundle {digest} is in force' if digest else 'no bundle in force'
    if answer.service and declaration and _is_unknown(answer, declaration):
        yield f'service {answer.service!r} is not declared'
    loaded = answer.loaded_version or ''
    if version and loaded != version:
        yield f'{loaded or "no version"} is loaded'


def _is_unknown(answer: Status, declaration: Declaration) -> bool:
    return declaration.service(answer.service or '') is None


def _services(
    rows: tuple[HostRow, ...],
    bundle: Bundle | None,
) -> tuple[ServiceRow, ...]:
    if bundle is None:
        return ()
    return tuple(
        _service_row(service, rows) for service in bundle.declaration.services
    )


def _service_row(service: Service, rows: tuple[HostRow, ...]) -> ServiceRow:
    own = [
        row for row in rows if row.is_counted and row.service == service.name
    ]
    shares = [
        1.0 if row.state == DECLARED else row.progress or 0.0 for row in own
    ]
    return ServiceRow(
        service=service.name,
        version=service.version,
        replicas=service.replicas,
        hosts=len(own),
        declared=sum(row.state == DECLARED for row in own),
        progress=sum(shares) / len(own) if own else 0.0,
    )
