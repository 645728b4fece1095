"""Compares the status of every host with the declared state."""

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
SHORT_DIGEST_CHARS = 12


@frozen
class MissingStatus:
    """The reason why a process returned no usable status."""

    reason: str


Answer = Status | MissingStatus


@frozen(kw_only=True)
class HostRow:
    """The state of one host relative to the expected bundle."""

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
    # Why the host refused a published value. It doesn't keep the host from
    # the declared state: the bundle in force stays in force.
    refused: str = ''
    lost: LostBundle | None = None

    @property
    def is_counted(self) -> bool:
        """Return whether the host must be in the declared state."""
        return self.state != LEAVING


@frozen(kw_only=True)
class ServiceRow:
    """The state of a service, aggregated over its hosts."""

    service: str
    version: str
    replicas: int
    hosts: int
    declared: int
    progress: float

    @property
    def is_declared(self) -> bool:
        """Return whether enough hosts run it and all are as declared."""
        return self.declared == self.hosts and self.hosts >= max(
            1, self.replicas
        )


@frozen(kw_only=True)
class FleetState:
    """The state of the fleet relative to one bundle."""

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


def newest_digest(statuses: Iterable[Answer]) -> str:
    """Return the digest that is highest in the order of bundles."""
    bundle_orders = [
        item.bundle_order for item in statuses if isinstance(item, Status)
    ]
    return max(bundle_orders, default=(0, ''))[1]


def has_bundle(expected_digest: str, status: Answer) -> bool:
    """Return whether the digest in force starts with `expected_digest`."""
    if isinstance(status, MissingStatus):
        return False
    return bool(expected_digest) and (status.digest or '').startswith(
        expected_digest
    )


def evaluate(
    expected_digest: str,
    *,
    members: tuple[Member, ...],
    statuses: Mapping[str, Answer],
    bundle: Bundle | None,
) -> FleetState:
    """Compare each member's status with the expected bundle.

    Parameters
    ----------
    wanted
        the expected digest, or a prefix of it.
    members
        the hosts that were queried.
    answers
        the status of each member, by host.
    bundle
        the expected bundle, when a process returned it; without it the
        declared version is the one that each host reports. Which host runs
        which service is always taken from the hosts' reports: they detect
        failed hosts before the member list does.
    """
    declaration = bundle.declaration if bundle else None
    rows = tuple(
        _build_host_row(
            expected_digest, member, statuses[member.host], declaration
        )
        for member in sorted(members, key=lambda item: (item.role, item.host))
    )
    return FleetState(
        digest=bundle.digest if bundle else expected_digest,
        hosts=rows,
        services=_build_service_rows(rows, bundle),
    )


def _build_host_row(
    expected_digest: str,
    member: Member,
    status: Answer,
    declaration: Declaration | None,
) -> HostRow:
    is_leaving = member.state == 'leaving'
    if isinstance(status, MissingStatus):
        return HostRow(
            host=member.host,
            role=member.role,
            service='',
            state=LEAVING if is_leaving else UNREACHABLE,
            hinders=(status.reason,),
        )
    version = _declared_version(status, declaration)
    hinders = tuple(
        _blocking_reasons(expected_digest, status, version, declaration)
    )
    return HostRow(
        host=member.host,
        role=member.role,
        service=status.service or '',
        state=_host_state(expected_digest, status, is_leaving, hinders),
        generation=status.generation,
        digest=status.digest or '',
        in_force_since=status.in_force_since,
        declared_version=version,
        loaded_version=status.loaded_version or '',
        progress=status.progress,
        hinders=hinders,
        refused=status.refused.reason if status.refused else '',
        lost=status.lost,
    )


def _declared_version(status: Status, declaration: Declaration | None) -> str:
    if declaration is None:
        return status.declared_version or ''
    service = declaration.service(status.service or '')
    return service.version if service else ''


def _host_state(
    expected_digest: str,
    status: Status,
    is_leaving: bool,
    hinders: tuple[str, ...],
) -> str:
    if is_leaving or status.leaving:
        return LEAVING
    if not has_bundle(expected_digest, status):
        return BEHIND
    return CHANGING if hinders else DECLARED


def _blocking_reasons(
    expected_digest: str,
    status: Status,
    version: str,
    declaration: Declaration | None,
) -> Iterable[str]:
    """Yield why the host isn't as declared, its own reasons first."""
    yield from status.hinders
    if not has_bundle(expected_digest, status):
        digest = (status.digest or '')[:SHORT_DIGEST_CHARS]
        yield f'bundle {digest} is in force' if digest else 'no bundle in force'
    if status.service and declaration and _is_undeclared(status, declaration):
        yield f'service {status.service!r} is not declared'
    loaded = status.loaded_version or ''
    if version and loaded != version:
        yield f'{loaded or "no version"} is loaded'


def _is_undeclared(status: Status, declaration: Declaration) -> bool:
    return declaration.service(status.service or '') is None


def _build_service_rows(
    rows: tuple[HostRow, ...],
    bundle: Bundle | None,
) -> tuple[ServiceRow, ...]:
    if bundle is None:
        return ()
    return tuple(
        _build_service_row(service, rows)
        for service in bundle.declaration.services
    )


def _build_service_row(
    service: Service, rows: tuple[HostRow, ...]
) -> ServiceRow:
    service_rows = [
        row for row in rows if row.is_counted and row.service == service.name
    ]
    shares = [
        1.0 if row.state == DECLARED else row.progress or 0.0
        for row in service_rows
    ]
    return ServiceRow(
        service=service.name,
        version=service.version,
        replicas=service.replicas,
        hosts=len(service_rows),
        declared=sum(row.state == DECLARED for row in service_rows),
        progress=sum(shares) / len(service_rows) if service_rows else 0.0,
    )
