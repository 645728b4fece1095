"""Messages by which processes tell each other of configuration and peers."""

from __future__ import annotations

from typing import Literal

from attrs import frozen

from crowrudder_model._member import Member

ProcessState = Literal['live', 'suspect', 'leaving']


@frozen(kw_only=True)
class ProcessNews:
    """A word about a process: its own, or a peer's suspicion.

    ``beat`` starts at the process's start in milliseconds since 1970 and is
    raised by the process alone, so that a later life's word beats an earlier
    one's, and a process refutes a suspicion by a higher beat.
    """

    host: str
    incarnation: str
    beat: int
    state: ProcessState = 'live'


@frozen(kw_only=True, order=True)
class ListEdition:
    """Which member list: ``epoch`` counts how often the platform started anew.

    ``revision`` is the platform's count; ``digest`` names the content.
    """

    epoch: int = 0
    revision: int = 0
    digest: str = ''


@frozen(kw_only=True)
class Hello:
    """Opening of an exchange; the answer has the same form.

    It names what the sender has, so that either side sees who is behind.
    ``read_age_s`` is the age of the last reading of the platform, by any
    process, that the sender knows of; ``news`` is a bounded part of what it
    has heard of others.
    """

    sender: ProcessNews
    generation: int
    digest: str
    edition: ListEdition
    read_age_s: float
    news: tuple[ProcessNews, ...] = ()


@frozen(kw_only=True)
class BundlePart:
    """A bundle, whole or as the way from the one with the digest ``base``.

    ``body`` is compressed: the canonical value, or a `BundleDelta`.
    """

    digest: str
    revision: int
    base: str
    body: bytes


@frozen(kw_only=True)
class MembersPart:
    """A member list, whole or as the way from the one named ``base``.

    ``body`` is compressed: a `MembersDelta`, against nothing if whole.
    """

    edition: ListEdition
    base: str
    body: bytes


@frozen(kw_only=True)
class MembersDelta:
    """Members that are new or differ, and hosts that are gone."""

    put: tuple[Member, ...] = ()
    dropped: tuple[str, ...] = ()


@frozen(kw_only=True)
class TakeAsk:
    """Ask a peer for what is newer than this; empty parts aren't wanted."""

    host: str
    generation: int
    digest: str
    edition: ListEdition


@frozen(kw_only=True)
class Knowledge:
    """What a peer that is behind lacks."""

    host: str
    bundle: BundlePart | None = None
    members: MembersPart | None = None
