"""Bounded decompression of data from other processes."""

from __future__ import annotations

import zlib

from crowrudder_model._errors import MalformedMessageError


def inflate(body: bytes, *, max_bytes: int, peer: str) -> bytes:
    """Decompress a zlib stream of bounded size.

    Parameters
    ----------
    max_bytes
        Maximum size of the result. Without a bound, a few KB from a peer
        could expand to more memory than the process may use.

    Raises
    ------
    MalformedMessageError
        When ``body`` isn't exactly one complete zlib stream of at most that
        size.
    """
    inflator = zlib.decompressobj()
    try:
        payload = inflator.decompress(body, max_bytes)
    except zlib.error as exc:
        raise _inflate_error(str(exc), peer) from exc
    if not inflator.eof:
        raise _inflate_error(
            f'truncated, or larger than {max_bytes} bytes', peer
        )
    if inflator.unused_data:
        raise _inflate_error('followed by trailing data', peer)
    return payload


def _inflate_error(reason: str, peer: str) -> MalformedMessageError:
    return MalformedMessageError(reason, step='inflate', peer=peer)
