"""Messages with which processes exchange configuration and member lists."""

from __future__ import annotations

from typing import Literal

from attrs import frozen

from crowrudder_model._member import Member

ProcessState = Literal['live', 'suspect', 'leaving']


@frozen(kw_only=True)
class ProcessStatus:
    """A process's status: its own, or a peer's suspicion.

    ``beat`` is a sequence number. It begins with the process's start in
    milliseconds since 1970, and only the process itself increases it.
    Therefore the status of a later incarnation supersedes that of an earlier
    one, and a process refutes a suspicion with a higher number.
    """

    host: str
    incarnation: str
    beat: int
    state: ProcessState = 'live'


@frozen(kw_only=True, order=True)
class MemberListEdition:
    """Identify a member list; ``epoch`` counts the restarts of the platform.

    ``revision`` is the platform's counter; ``digest`` identifies the content.
    """

    epoch: int = 0
    revision: int = 0
    digest: str = ''


@frozen(kw_only=True)
class Hello:
    """Hello message that opens an exchange; the reply has the same class.

    It names the versions that the sender has, so that both sides see which of
    them is behind. ``read_age_s`` is the age of the last read of the platform
    by any process that the sender knows of; ``news`` has a bounded number of
    status messages of other processes.
    """

    sender: ProcessStatus
    generation: int
    digest: str
    edition: MemberListEdition
    read_age_s: float
    news: tuple[ProcessStatus, ...] = ()


@frozen(kw_only=True)
class BundleUpdate:
    """A bundle: complete, or a delta to the one with the digest ``base``.

    ``body`` is compressed: the canonical value, or a `BundleDelta`.
    """

    digest: str
    revision: int
    base: str
    body: bytes


@frozen(kw_only=True)
class MemberListUpdate:
    """A member list: complete, or a delta to the one with the digest ``base``.

    ``body`` is a compressed `MemberListDelta`, from an empty list if complete.
    """

    edition: MemberListEdition
    base: str
    body: bytes


@frozen(kw_only=True)
class MemberListDelta:
    """Members that are new or changed, and hosts that were removed."""

    put: tuple[Member, ...] = ()
    dropped: tuple[str, ...] = ()


@frozen(kw_only=True)
class SnapshotRequest:
    """Request newer data from a peer; empty parts aren't requested."""

    host: str
    generation: int
    digest: str
    edition: MemberListEdition


@frozen(kw_only=True)
class Knowledge:
    """Newer data for a peer that is behind."""

    host: str
    bundle: BundleUpdate | None = None
    members: MemberListUpdate | None = None
