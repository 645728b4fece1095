"""The sections of the settings file and the kinds of their keys.

These classes are the single source of the validation, the defaults and the
reference page.
"""

from __future__ import annotations

from attrs import frozen

from crowrudder_daemon.settings._kinds import (
    decimal,
    endpoint,
    ip_number,
    name,
    port,
    whole,
    word,
)
from crowrudder_daemon.settings._schema import Row, Scope, key, rows_of

MAX_BYTES = 2**50
MAX_COUNT = 1_000_000
HOUR_S = 3600


@frozen(kw_only=True)
class ProcessSection:
    """Identity of the process and its listening addresses.

    `http_port` is 0 in an agent, which has no callers. `rpc_listen_port` is 0
    if the process listens on `rpc_port`, the port that others call.
    """

    role: str = key(word('entry', 'agent'))
    host: str = key(name())
    address: str = key(ip_number())
    rpc_port: int = key(port())
    rpc_listen_port: int = key(port(), default=0)
    admin_port: int = key(port())
    http_port: int = key(port(), scope=Scope.ENTRY, absent=0)
    region: str = key(name())
    failure_domain: str = key(name())

    @property
    def rpc_listen_address(self) -> str:
        """Return the address for calls from other processes."""
        return f'{self.address}:{self.rpc_listen_port or self.rpc_port}'


@frozen(kw_only=True)
class PlatformSection:
    """Source of the configuration and member list, and its poll interval."""

    address: str = key(endpoint())
    poll_s: float = key(decimal(0.2, 300), default=5.0)


@frozen(kw_only=True)
class UpstreamSection:
    """The engine or plain service of an agent."""

    kind: str = key(word('engine', 'plain'))
    address: str = key(endpoint())
    service: str = key(name(), scope=Scope.PLAIN, absent='')
    fencing: str = key(
        word('checked', 'ignored'), scope=Scope.ENGINE, absent='ignored'
    )


@frozen(kw_only=True)
class WeightsSection:
    """Source of the weights, and the resources that transfers may use.

    `store` is empty if there is none. For a plain service the section may be
    omitted, as nothing is loaded.
    """

    origin: str = key(endpoint(), scope=Scope.ENGINE, absent='')
    store: str = key(endpoint(empty=True), scope=Scope.ENGINE, absent='')
    memory_bytes: int = key(
        whole(1, MAX_BYTES), scope=Scope.ENGINE_NEEDS, absent=0
    )
    link_bytes_per_s: int = key(
        whole(1, MAX_BYTES), scope=Scope.ENGINE_NEEDS, absent=0
    )
    upload_slots: int = key(whole(1, 64), default=2)
    live_share: float = key(decimal(0.05, 1), default=0.9)


@frozen(kw_only=True)
class LimitsSection:
    """Limits of accepted work, and deadlines."""

    max_body_bytes: int = key(whole(1, 2**30), default=2**20)
    max_concurrent: int = key(whole(1, MAX_COUNT), default=2000)
    queue_length: int = key(whole(0, MAX_COUNT), scope=Scope.AGENT, default=64)
    slots: int = key(whole(1, MAX_COUNT), scope=Scope.AGENT, default=8)
    default_deadline_s: float = key(
        decimal(0.01, HOUR_S), scope=Scope.ENTRY, default=30.0
    )
    drain_s: float = key(decimal(0, HOUR_S), default=60.0)
    retry_share: float = key(decimal(0, 1), scope=Scope.ENTRY, default=0.1)


@frozen(kw_only=True)
class LogsSection:
    """What is logged to standard error."""

    level: str = key(word('debug', 'info', 'warning', 'error'), default='info')


@frozen(kw_only=True)
class Settings:
    """All settings of one process.

    `upstream` and `weights` are None in an entry.
    """

    process: ProcessSection
    platform: PlatformSection
    upstream: UpstreamSection | None = None
    weights: WeightsSection | None = None
    limits: LimitsSection = LimitsSection()
    logs: LogsSection = LogsSection()


# Sections in the order of the reference page, each with its scope.
SECTIONS: tuple[tuple[str, type, Scope], ...] = (
    ('process', ProcessSection, Scope.BOTH),
    ('platform', PlatformSection, Scope.BOTH),
    ('upstream', UpstreamSection, Scope.AGENT),
    ('weights', WeightsSection, Scope.AGENT),
    ('limits', LimitsSection, Scope.BOTH),
    ('logs', LogsSection, Scope.BOTH),
)


def rows() -> tuple[Row, ...]:
    """List all keys of all sections in the order of the reference page."""
    return tuple(
        row
        for section, declared, _ in SECTIONS
        for row in rows_of(section, declared)
    )
