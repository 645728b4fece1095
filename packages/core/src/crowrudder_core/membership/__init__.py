"""Membership: who is there, as far as this process can know."""

from crowrudder_core.membership._list import DeltaError, MemberList
from crowrudder_core.membership._neighbours import NEIGHBOURS, neighbours_of
from crowrudder_core.membership._roster import Roster
from crowrudder_core.membership._view import Heard, MembershipView
from crowrudder_core.membership._word import OwnWord

__all__ = (
    'NEIGHBOURS',
    'DeltaError',
    'Heard',
    'MemberList',
    'MembershipView',
    'OwnWord',
    'Roster',
    'neighbours_of',
)
