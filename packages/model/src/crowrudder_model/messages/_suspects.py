"""Datagrams on requests during which upstreams ended."""

from __future__ import annotations

import msgspec


class IncarnationEnd(msgspec.Struct, frozen=True, array_like=True):
    """An incarnation of an upstream that ended while it had the request.

    ``ended_ms`` is how long ago, in milliseconds. ``is_fresh`` is set if the
    request had not begun there, or had begun just before the end, ``is_trial``
    if the request was let run in spite of its quarantine.
    """

    incarnation: str
    ended_ms: int
    is_fresh: bool = True
    is_trial: bool = False


class SuspicionReport(msgspec.Struct, frozen=True, array_like=True):
    """What the sender knows of one request, identified by its digest.

    ``completed_ms`` is how long ago a run of it completed, ``refused_ms`` how
    long ago it was last refused, ``tried_ms`` how long ago it was last let run
    in spite of its quarantine. All are in milliseconds, -1 for never.
    ``trials`` counts the latter.
    """

    digest: int
    ends: tuple[IncarnationEnd, ...] = ()
    completed_ms: int = -1
    refused_ms: int = -1
    tried_ms: int = -1
    trials: int = 0


class SuspicionUpdate(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag=5,
):
    """Suspicion reports on some requests."""

    reports: tuple[SuspicionReport, ...]
