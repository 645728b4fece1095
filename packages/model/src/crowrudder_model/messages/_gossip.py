"""Datagrams and RPC messages for membership, load and published records.

Datagrams are sent many times a second and share slow links with answers and
weights. Encoded as arrays, without field names, they take a third of the
bytes. attrs classes can't be encoded as arrays, so these are msgspec structs.
"""

from __future__ import annotations

import zlib
from typing import Annotated, Literal

import msgspec
from attrs import frozen

from crowrudder_model._position import StorePosition
from crowrudder_model.messages._suspects import SuspicionUpdate
from crowrudder_model.statements import LeavingUpdate, LimitUpdate

MAX_LISTED = 128
"""Items in one list of a datagram. Senders put 48 at most into one."""

_Bounded = msgspec.Meta(max_length=MAX_LISTED)

MemberRole = Literal['entry', 'agent']


class MemberStatus(msgspec.Struct, frozen=True, array_like=True):
    """The status that a process sends about itself.

    ``started_at`` is its start in seconds since 1970; it distinguishes the
    status of two incarnations at one address. ``callers`` is the address at
    which callers reach an entry. ``ready`` is whether the entry accepts
    callers.
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


class ForwardedStatus(msgspec.Struct, frozen=True, array_like=True):
    """Another process's forwarded status, and its age in seconds."""

    status: MemberStatus
    age_s: float


class LastSeen(msgspec.Struct, frozen=True, array_like=True):
    """When an entry was last seen, without its complete status.

    It takes a fifth of the bytes of a status. ``incarnation_hash`` identifies the
    incarnation of the process, see `incarnation_hash`; ``age_ms`` is the age
    of its last status in milliseconds.
    """

    ip: str
    incarnation_hash: int
    age_ms: int
    ready: bool = False
    leaving: bool = False


def incarnation_hash(status: MemberStatus) -> int:
    """Return a 32-bit hash of a process's incarnation."""
    return zlib.crc32(status.incarnation.encode())


class EngineLoad(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag=2,
    kw_only=True,
):
    """The load that an agent has just read from its engine.

    ``address`` is the engine's. ``weights`` is the loaded version, 0 for
    none. ``is_changing`` is set from the moment at which the agent accepts no
    more requests because it is about to load a version. ``pace`` is the
    slowdown factor: over 1 the engine is slow. ``started_ms`` distinguishes
    incarnations of the engine, as in `Upstream`. An engine that holds only
    some layers has ``weights`` 0; it holds those of ``partial_version`` from
    ``first_layer`` up to but not including ``end_layer``. ``is_close`` is set
    for the few entries to which the agent sends load reports most often.
    ``is_leaving`` is set if the engine states in its answers that it leaves.
    ``link_delay_s`` is the queueing delay on the link of the agent's host.
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
    partial_version: int = 0
    first_layer: int = 0
    end_layer: int = 0
    is_close: bool = False
    is_leaving: bool = False
    link_delay_s: float = 0


class LoadBatch(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag=4,
    kw_only=True,
):
    """Load reports of one region's engines, as an entry has received them.

    ``ages_ms`` are the ages of the reports, in milliseconds. ``forward`` asks
    the receiver to forward them to the entries of its own region.
    """

    loads: Annotated[tuple[EngineLoad, ...], _Bounded]
    ages_ms: Annotated[tuple[int, ...], _Bounded]
    forward: bool = False


class ChunkInventory(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag=3,
    kw_only=True,
):
    """The chunks of a version that an agent holds, as bits (little-endian).

    ``wanted`` is false if the agent only serves them to others. ``passes`` are
    the chunks whose read from the origin it leaves to the next agent in order.
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
    """The sender's status and what it knows of others.

    ``revision`` is the revision of the published records that the sender has,
    in the store's ``era``; releases that know no eras send none.
    ``confirmed_s`` is the age of the last confirmation that these records are
    all that the platform has. ``asks_for_reply`` requests the receiver's
    status. ``is_alone`` is set by a sender that knows no other process: the
    reply has ``others``, the status of some entries known to the replier.
    ``last_seen_entries`` tells when some entries were last seen.

    ``number`` is the sender's number of this message, ``echo`` the last number
    that it read from the receiver, and ``held_ms`` how many milliseconds ago,
    see `Exchanges`; 0 for none. Releases that know no echoes send neither.
    """

    status: MemberStatus
    revision: int = 0
    confirmed_s: float = 1.0e9
    asks_for_reply: bool = False
    is_alone: bool = False
    others: Annotated[tuple[ForwardedStatus, ...], _Bounded] = ()
    last_seen_entries: Annotated[tuple[LastSeen, ...], _Bounded] = ()
    era: int | None = None
    number: int = 0
    echo: int = 0
    held_ms: int = 0

    @property
    def position(self) -> StorePosition | None:
        """Return the position of the sender's records; None if unknown."""
        if self.era is None:
            return None
        return StorePosition(self.era, self.revision)


Datagram = (
    Heartbeat
    | EngineLoad
    | ChunkInventory
    | LoadBatch
    | SuspicionUpdate
    | LimitUpdate
    | LeavingUpdate
)


@frozen(kw_only=True)
class PublishedItem:
    """A published record as the platform has it.

    ``payload`` is None if the record was removed at ``revision``. If
    ``is_deflated`` is set, the payload is compressed: one process compresses
    it for all others. The revision identifies the record within the era of the
    list or of the changes that it is part of. ``age_s`` is how long ago the
    sender saw it published, negative if it was already published when the
    sender first read it.

    ``version`` is the number that the operator gave the record, 0 for one
    without. It never decreases, also if the store comes back from a copy with
    an older one.
    """

    key: str
    revision: int
    payload: bytes | None
    age_s: float = -1
    is_deflated: bool = False
    version: int = 0


@frozen
class ChangesRequest:
    """Request all records published after a revision.

    ``takes_deflated`` isn't set by releases that can't decompress a payload,
    ``era`` not by releases that know no eras.
    """

    after: int
    takes_deflated: bool = False
    era: int | None = None


@frozen(kw_only=True)
class Changes:
    """All records published after the requested revision.

    ``is_whole`` is set if the list is complete, whichever revision was
    requested: records that aren't listed were removed. ``confirmed_s`` as in
    `Heartbeat`.
    """

    through: int
    items: tuple[PublishedItem, ...] = ()
    is_whole: bool = False
    confirmed_s: float = 1.0e9
    era: int = 0

    @property
    def position(self) -> StorePosition:
        """Return the position up to which the changes are complete."""
        return StorePosition(self.era, self.through)


class RecordAge(msgspec.Struct, frozen=True, array_like=True):
    """The age of a published record, without its payload.

    The age applies only to the record with this key and revision.
    """

    key: str
    revision: int
    age_s: float


@frozen
class ProbeRequest:
    """Request an answer at once, to measure the time that it takes."""


@frozen
class ProbeReply:
    """The answer to a `ProbeRequest`."""


@frozen
class AgesRequest:
    """Request the ages of the current records."""


@frozen
class Ages:
    """Ages of the current records, as far as the sender knows them.

    A record that isn't listed is of unknown age, but may be current. The
    revisions are of ``era``. ``kept`` are records whose version in the store
    went back, so that a process that lists it finds an older one.
    """

    ages: tuple[RecordAge, ...] = ()
    era: int = 0
    kept: tuple[PublishedItem, ...] = ()
