"""Membership: who is there, as far as this process can know."""

from crowrudder_core.membership._view import MembershipView

__all__ = ('MembershipView',)
