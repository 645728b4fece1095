"""Digests that identify requests for the same work, and parts of prompts."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

DIGEST_BYTES = 8


def request_digest(
    *,
    method: str,
    host: str,
    target: str,
    customer: str,
    body: bytes,
) -> int:
    """Compute a digest that is equal for requests for the same work.

    It doesn't depend on the request id. The hash resists deliberate
    collisions, so that a caller can't get another caller's request mistaken
    for its own.

    Parameters
    ----------
    target
        Path and query.

    Example
    -------
    >>> request = {'method': 'POST', 'host': 'h', 'target': '/a', 'body': b'x'}
    >>> own = request_digest(customer='shop', **request)
    >>> own == request_digest(customer='shop', **request)
    True
    >>> own == request_digest(customer='bank', **request)
    False
    """
    return _digest((method, host, target, customer), body)


def part_digest(*, model: str, part: str) -> int:
    """Compute the digest of a part of the prompts for a model.

    It differs from that of any request.

    Example
    -------
    >>> part_digest(model='m', part='5c1e') == part_digest(model='n', part='5c1e')
    False
    """
    return _digest((model, part), b'')


def _digest(texts: Iterable[str], rest: bytes) -> int:
    digest = blake2b(digest_size=DIGEST_BYTES)
    for each in texts:
        text = each.encode(errors='surrogateescape')
        # The length prefix keeps different lists of texts from sharing bytes.
        digest.update(len(text).to_bytes(DIGEST_BYTES))
        digest.update(text)
    digest.update(rest)
    return int.from_bytes(digest.digest())


def digest_text(digest: int) -> str:
    """Return a digest as it appears in logs and answers."""
    return f'{digest:0{2 * DIGEST_BYTES}x}'
