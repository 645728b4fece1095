"""Datagrams with the upstreams whose answers state that they leave."""

from __future__ import annotations

import msgspec


class LeavingReport(msgspec.Struct, frozen=True, array_like=True):
    """An upstream whose answer to an entry stated that it leaves.

    ``started_ms`` is the start time of its incarnation, as in `Upstream`; 0 if
    it isn't known.
    """

    upstream_id: str
    started_ms: int = 0


class LeavingUpdate(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Reports on some upstreams that leave."""

    reports: tuple[LeavingReport, ...]
