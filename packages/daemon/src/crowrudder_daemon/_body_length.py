"""The length of a body as its request announces it."""

from __future__ import annotations

_MAX_DIGITS = 18


def is_too_long(length: str, max_bytes: int) -> bool:
    """Return whether a `Content-Length` is a number over the limit.

    >>> is_too_long('11', 10), is_too_long('10', 10), is_too_long('-1', 10)
    (True, False, False)
    """
    if not (length.isascii() and length.isdigit()):
        return False
    return len(length) > _MAX_DIGITS or int(length) > max_bytes
