"""Membership: the hosts and entries of the fleet, as known to a process."""

from crowrudder_core.membership._list import DeltaError, MemberList
from crowrudder_core.membership._neighbours import NEIGHBOURS, neighbours_of
from crowrudder_core.membership._partners import (
    CONTACTS,
    NEWS_PARTNERS,
    close_entries,
    contacts,
    drawn,
    partners,
    relays,
    split_by_region,
)
from crowrudder_core.membership._roster import Roster
from crowrudder_core.membership._view import Heard, MembershipView
from crowrudder_core.membership._word import OwnWord

__all__ = (
    'NEIGHBOURS',
    'CONTACTS',
    'NEWS_PARTNERS',
    'DeltaError',
    'Heard',
    'MemberList',
    'MembershipView',
    'OwnWord',
    'Roster',
    'close_entries',
    'contacts',
    'drawn',
    'neighbours_of',
    'partners',
    'relays',
    'split_by_region',
)
