"""The platform's member list and its hosts."""

from __future__ import annotations

from typing import Literal

import msgspec
from attrs import frozen


class MembersError(ValueError):
    """A member list that is invalid; the list in use stays in force."""


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
        """Address for RPC from other crowrudder processes."""
        return f'{self.address}:{self.rpc_port}'

    @property
    def admin_address(self) -> str:
        """Address of the health, metrics, status and audit endpoints."""
        return f'{self.address}:{self.admin_port}'


@frozen
class _MemberList:
    revision: int
    members: tuple[Member, ...]


def decode_members(encoded: bytes) -> tuple[int, tuple[Member, ...]]:
    """Decode a member list and return its revision and members.

    Raises
    ------
    MembersError
        When it is malformed or truncated, or lists a host twice.
    """
    try:
        found = msgspec.json.decode(encoded, type=_MemberList)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        raise MembersError(f'not a member list: {exc}') from exc
    hosts = {member.host for member in found.members}
    if len(hosts) != len(found.members):
        raise MembersError('not a member list: a host stands in it twice')
    return found.revision, found.members
