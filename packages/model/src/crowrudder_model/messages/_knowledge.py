"""Messages by which processes tell each other of configuration and peers."""

from __future__ import annotations

from attrs import frozen


@frozen(kw_only=True)
class ProcessNews:
    """What a process says of itself, and others pass on.

    ``beat`` rises while the incarnation lives, so the newest word wins.
    """

    host: str
    role: str
    incarnation: str
    beat: int
    leaving: bool
    rpc_address: str = ''


@frozen(kw_only=True)
class Hello:
    """Opening of an exchange; the answer has the same form.

    A side whose (generation, digest) is behind asks for the bundle.
    """

    sender: ProcessNews
    generation: int
    digest: str
    news: tuple[ProcessNews, ...] = ()


@frozen(kw_only=True)
class BundleAsk:
    """Ask for the bundle in force."""

    host: str


@frozen(kw_only=True)
class BundleReply:
    """The canonical bytes in force and the platform's revision of them."""

    payload: bytes
    revision: int
