"""Datagrams with the limits that upstreams state in their answers."""

from __future__ import annotations

import msgspec


class LimitReport(msgspec.Struct, frozen=True, array_like=True):
    """The limit that an upstream stated last, as an entry has received it.

    ``per_s`` is how many requests a second it accepts from all entries
    together, -1 for no limit. ``age_ms`` is the age of the answer, in
    milliseconds.
    """

    upstream_id: str
    per_s: float
    age_ms: int


class LimitUpdate(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Limit reports of some upstreams."""

    reports: tuple[LimitReport, ...]
