"""Bytes that another process has deflated."""

from __future__ import annotations

import zlib

from crowrudder_model._errors import MalformedMessageError


def inflate(body: bytes, *, most_bytes: int, peer: str) -> bytes:
    """Inflate, but never into more than any honest sender has deflated.

    Parameters
    ----------
    most_bytes
        Longest result. Without a bound some KB from a peer could become more
        memory than the process may have.

    Raises
    ------
    MalformedMessageError
        When it isn't a whole deflated value of at most that size, alone.
    """
    inflator = zlib.decompressobj()
    try:
        payload = inflator.decompress(body, most_bytes)
    except zlib.error as exc:
        raise _refused(str(exc), peer) from exc
    if not inflator.eof:
        raise _refused(f'cut off, or over {most_bytes} bytes', peer)
    if inflator.unused_data:
        raise _refused('followed by something else', peer)
    return payload


def _refused(reason: str, peer: str) -> MalformedMessageError:
    return MalformedMessageError(reason, step='inflate', peer=peer)
