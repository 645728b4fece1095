"""Datagrams and calls by which processes of a fleet know each other.

Datagrams go out many times a second, beside answers and weights on the same
slow links. Written as arrays without the names of their fields they take a
third of the bytes; therefore they are msgspec's classes, which can be, and not
attrs'.
"""

from __future__ import annotations

import zlib
from typing import Literal

import msgspec
from attrs import frozen

from crowrudder_model.messages._limits import LimitNews
from crowrudder_model.messages._suspects import SuspectNews

MemberRole = Literal['entry', 'agent']


class MemberWord(msgspec.Struct, frozen=True, array_like=True):
    """What a process says of itself.

    ``started_at`` is its start in seconds since 1970, by which the words of
    two lives at one address are told apart. ``callers`` is where callers
    reach an entry. ``ready`` is whether callers are to be sent there.
    """

    ip: str
    role: MemberRole
    incarnation: str
    started_at: float
    callers: str = ''
    failure_domain: str = ''
    region: str = ''
    ready: bool = False
    leaving: bool = False


class HeardWord(msgspec.Struct, frozen=True, array_like=True):
    """Another process's word, passed on, and how old it is in seconds."""

    word: MemberWord
    age_s: float


class Sighting(msgspec.Struct, frozen=True, array_like=True):
    """How lately an entry was heard of, without its whole word.

    A fifth of the bytes of a word. ``life`` tells the lives of a process
    apart, see `life_of`; ``age_ms`` is the age of its last word in
    milliseconds.
    """

    ip: str
    life: int
    age_ms: int
    ready: bool = False
    leaving: bool = False


def life_of(word: MemberWord) -> int:
    """Give a short name of a process's life: 32 bits of its incarnation."""
    return zlib.crc32(word.incarnation.encode())


class EngineLoad(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag=2,
    kw_only=True,
):
    """What an agent has just read from the engine beside it.

    ``address`` is the engine's. ``weights`` is the loaded version, 0 for
    none. ``is_changing`` is set from the moment at which the agent wants no
    more requests for the sake of a load. ``pace`` over 1 means a slow engine.
    ``started_ms`` tells the engine's lives apart, as in `Upstream`. An engine
    that holds some layers only has ``weights`` 0, and its part is that of
    ``part_version`` from ``part_first`` up to but not including ``part_end``.
    ``is_close`` is set for the few entries that the agent tells the most often.
    """

    address: str
    reachable: bool
    weights: int = 0
    is_changing: bool = False
    running: int = 0
    queued: int = 0
    memory_used: int = 0
    pace: float = 1
    started_ms: int = 0
    part_version: int = 0
    part_first: int = 0
    part_end: int = 0
    is_close: bool = False


class LoadBatch(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag=4,
    kw_only=True,
):
    """Words on the load of one region's engines, as an entry has heard them.

    ``ages_ms`` are the ages of the words, in milliseconds. ``pass_on`` asks
    the receiver to tell the entries of its own region.
    """

    loads: tuple[EngineLoad, ...]
    ages_ms: tuple[int, ...]
    pass_on: bool = False


class ChunkNews(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag=3,
    kw_only=True,
):
    """The chunks of a version that an agent holds, as bits (little-endian).

    ``wanted`` is false where it only gives them to others. ``passes`` are
    those that it leaves to the next in order at the origin.
    """

    version: str
    manifest: str
    chunks: bytes
    passes: bytes = b''
    wanted: bool = True
    busy: int = 0
    slots: int = 1


class Heartbeat(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag=1,
    kw_only=True,
):
    """The sender's word and what it knows.

    ``revision`` counts the published records that the sender has.
    ``confirmed_s`` is how long ago the platform was last heard by any process
    that the sender knows of. ``asks_for_reply`` wants the receiver's word.
    ``is_alone`` is set by one that knows nobody: the reply to it has
    ``others``, words of some entries that the sender has heard of.
    ``sightings`` say how lately entries were heard of.
    """

    word: MemberWord
    revision: int = 0
    confirmed_s: float = 1.0e9
    asks_for_reply: bool = False
    is_alone: bool = False
    others: tuple[HeardWord, ...] = ()
    sightings: tuple[Sighting, ...] = ()


Datagram = (
    Heartbeat | EngineLoad | ChunkNews | LoadBatch | SuspectNews | LimitNews
)


@frozen(kw_only=True)
class PublishedItem:
    """A published record as it stands at the platform.

    ``payload`` is None where the record was taken away at ``revision``. Where
    ``is_deflated`` is set it is the published value deflated, as one process
    has done for all others; the revision alone says which record it is.
    ``age_s`` is how long ago the sender saw it published, negative where it
    found it already there.
    """

    key: str
    revision: int
    payload: bytes | None
    age_s: float = -1
    is_deflated: bool = False


@frozen
class ChangesAsk:
    """Ask for what was published after a revision.

    ``takes_deflated`` isn't set by releases that can't inflate a payload.
    """

    after: int
    takes_deflated: bool = False


@frozen(kw_only=True)
class Changes:
    """All that was published after the revision asked for.

    ``is_whole`` is set where the list is all there is, whatever was asked:
    what isn't listed is gone.
    """

    through: int
    items: tuple[PublishedItem, ...] = ()
    is_whole: bool = False
    confirmed_s: float = 1.0e9


class RecordAge(msgspec.Struct, frozen=True, array_like=True):
    """How long ago a record was published, without the record.

    It is the age of the record with this key and revision, and of no other.
    """

    key: str
    revision: int
    age_s: float


@frozen
class AgesAsk:
    """Ask for the ages of the records that stand."""


@frozen
class Ages:
    """Ages of the records that stand, as far as the sender knows them.

    What isn't listed is of unknown age; nothing follows on whether it stands.
    """

    ages: tuple[RecordAge, ...] = ()
