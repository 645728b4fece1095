"""Membership: the hosts and entries of the fleet, as known to a process."""

from crowrudder_core.membership._list import DeltaError, MemberList
from crowrudder_core.membership._neighbours import NEIGHBOURS, neighbours_of
from crowrudder_core.membership._own_status import OwnStatus
from crowrudder_core.membership._partners import (
    CONTACTS,
    UPDATE_PARTNERS,
    close_entries,
    contacts,
    partners,
    relays,
    sample_ips,
    split_by_region,
)
from crowrudder_core.membership._roster import Roster
from crowrudder_core.membership._view import MembershipView, UpdateResult

__all__ = (
    'NEIGHBOURS',
    'CONTACTS',
    'UPDATE_PARTNERS',
    'DeltaError',
    'UpdateResult',
    'MemberList',
    'MembershipView',
    'OwnStatus',
    'Roster',
    'close_entries',
    'contacts',
    'sample_ips',
    'neighbours_of',
    'partners',
    'relays',
    'split_by_region',
)
