"""Digest that identifies requests for the same work."""

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
    digest = blake2b(digest_size=DIGEST_BYTES)
    for part in (method, host, target, customer):
        text = part.encode(errors='surrogateescape')
        # The length prefix keeps different lists of parts from sharing bytes.
        digest.update(len(text).to_bytes(DIGEST_BYTES))
        digest.update(text)
    digest.update(body)
    return int.from_bytes(digest.digest())


def digest_text(digest: int) -> str:
    """Return a digest as it appears in logs and answers."""
    return f'{digest:0{2 * DIGEST_BYTES}x}'
