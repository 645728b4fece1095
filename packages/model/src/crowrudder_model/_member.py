"""Hosts as the platform's member list names them."""

from __future__ import annotations

from typing import Literal

import msgspec
from attrs import frozen


class MembersError(ValueError):
    """A member list that can't be read; the list in use stays."""


@frozen
class Member:
    """A host of the fleet, with the addresses of its process.

    >>> Member('a', 'agent', '127.0.0.1', rpc_port=7).rpc_address
    '127.0.0.1:7'
    """

    host: str
    role: Literal['entry', 'agent']
    address: str
    rpc_port: int = 0
    http_port: int = 0
    admin_port: int = 0
    region: str = ''
    failure_domain: str = ''
    upstream: str = ''
    state: Literal['live', 'leaving'] = 'live'

    @property
    def rpc_address(self) -> str:
        """Where other crowrudder processes reach it."""
        return f'{self.address}:{self.rpc_port}'

    @property
    def admin_address(self) -> str:
        """Where health, metrics, status and audit are."""
        return f'{self.address}:{self.admin_port}'


@frozen
class _MemberList:
    revision: int
    members: tuple[Member, ...]


def decode_members(encoded: bytes) -> tuple[int, tuple[Member, ...]]:
    """Read a member list: its revision, and the members in it.

    Raises
    ------
    MembersError
        when it is garbage or half, or names a host twice.
    """
    try:
        found = msgspec.json.decode(encoded, type=_MemberList)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        raise MembersError(f'not a member list: {exc}') from exc
    hosts = {member.host for member in found.members}
    if len(hosts) != len(found.members):
        raise MembersError('not a member list: a host stands in it twice')
    return found.revision, found.members
