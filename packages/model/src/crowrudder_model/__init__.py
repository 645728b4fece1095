"""Declared configuration, bundles, shared values and messages.

Nothing here does input or output, reads a clock or uses random numbers.
"""

from crowrudder_model._codec import (
    decode_datagram,
    decode_message,
    encode_message,
)
from crowrudder_model._errors import (
    CrowrudderError,
    InvariantError,
    MalformedMessageError,
    PeerLostError,
    UpstreamError,
)
from crowrudder_model._inflate import inflate
from crowrudder_model._member import Member, MembersError, decode_members
from crowrudder_model._outcome import Outcome
from crowrudder_model._position import NO_POSITION, StorePosition
from crowrudder_model._rendezvous import ranked, score

__all__ = (
    'CrowrudderError',
    'InvariantError',
    'MalformedMessageError',
    'Member',
    'MembersError',
    'NO_POSITION',
    'Outcome',
    'PeerLostError',
    'StorePosition',
    'UpstreamError',
    'decode_datagram',
    'decode_members',
    'decode_message',
    'encode_message',
    'inflate',
    'ranked',
    'score',
)
