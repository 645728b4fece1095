"""The status of a process, as its admin address returns it."""

from __future__ import annotations

from attrs import frozen


@frozen
class RefusedBundle:
    """The last published value that the process refused."""

    reason: str = ''
    revision: int = 0


@frozen
class LostBundle:
    """A published bundle that lost to another operator's bundle."""

    digest: str = ''
    generation: int = 0
    parent: str = ''
    winner: str = ''


@frozen
class Status:
    """The status message of a process.

    `in_force_since` is in seconds since 1970, `progress` the share of the
    chunks of the declared version that the host has.
    """

    host: str
    role: str
    incarnation: int | str = 0
    generation: int = 0
    digest: str | None = ''
    in_force_since: float | str | None = None
    refused: RefusedBundle | None = None
    lost: LostBundle | None = None
    leaving: bool = False
    service: str | None = ''
    declared_version: str | None = ''
    loaded_version: str | None = ''
    progress: float | None = None
    hinders: tuple[str, ...] = ()

    @property
    def bundle_order(self) -> tuple[int, str]:
        """The position of its bundle in the order of bundles."""
        return self.generation, self.digest or ''
