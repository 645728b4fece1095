"""Datagrams on requests under which upstreams have ended."""

from __future__ import annotations

import msgspec


class LifeEnd(msgspec.Struct, frozen=True, array_like=True):
    """An upstream's life that ended while it had a request.

    ``ended_ms`` is how long ago, in milliseconds. ``is_fresh`` is set where the
    request had not begun there, or had begun just before.
    """

    life: str
    ended_ms: int
    is_fresh: bool = True


class SuspectWord(msgspec.Struct, frozen=True, array_like=True):
    """What the sender knows of one request, named by its digest.

    ``whole_ms`` is how long ago a run of it ended whole, -1 for never;
    ``refused_ms`` the same for its last refusal. Both in milliseconds.
    """

    digest: int
    ends: tuple[LifeEnd, ...] = ()
    whole_ms: int = -1
    refused_ms: int = -1


class SuspectNews(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag=5,
):
    """Words on some requests."""

    words: tuple[SuspectWord, ...]
