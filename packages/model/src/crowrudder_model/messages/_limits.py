"""Datagrams on limits that upstreams name in their answers."""

from __future__ import annotations

import msgspec


class LimitWord(msgspec.Struct, frozen=True, array_like=True):
    """What an upstream said last of its limit, as an entry has heard it.

    ``per_s`` is how many requests a second it takes from all entries together,
    -1 for no limit. ``age_ms`` is the age of the answer, in milliseconds.
    """

    upstream_id: str
    per_s: float
    age_ms: int


class LimitNews(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Words on the limits of some upstreams."""

    words: tuple[LimitWord, ...]
