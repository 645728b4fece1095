"""Tell whether two requests ask for the same work."""

from __future__ import annotations

from hashlib import blake2b

DIGEST_BYTES = 8


def request_digest(
    *,
    method: str,
    host: str,
    target: str,
    customer: str,
    body: bytes,
) -> int:
    """Give a number that requests for the same work share, whatever their ids.

    The hash resists collisions made on purpose: a caller can't have another
    caller's request taken for its own.

    Parameters
    ----------
    target
        Path and query.

    Example
    -------
    >>> asked = {'method': 'POST', 'host': 'h', 'target': '/a', 'body': b'x'}
    >>> own = request_digest(customer='shop', **asked)
    >>> own == request_digest(customer='shop', **asked)
    True
    >>> own == request_digest(customer='bank', **asked)
    False
    """
    digest = blake2b(digest_size=DIGEST_BYTES)
    for part in (method, host, target, customer):
        text = part.encode(errors='surrogateescape')
        # With its length, so that no two lists of parts share their bytes.
        digest.update(len(text).to_bytes(DIGEST_BYTES))
        digest.update(text)
    digest.update(body)
    return int.from_bytes(digest.digest())


def digest_text(digest: int) -> str:
    """Give a digest as logs and answers show it."""
    return f'{digest:0{2 * DIGEST_BYTES}x}'
