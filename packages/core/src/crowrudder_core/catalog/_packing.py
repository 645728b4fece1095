"""Compression of published records for transfer between processes.

The configuration is one record. With 1,400 routes it has 268 KB of repetitive
text, and sending each change uncompressed occupies a link of 4.7 Mbit/s for
0.46 s, which stalls streams and delays requests. Deflated, it has 9 KB. The
process that read it from the platform deflates it once; the others forward it
as received.
"""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

from attrs import evolve

from crowrudder_model import inflate

if TYPE_CHECKING:
    from crowrudder_model.messages import PublishedItem

MIN_DEFLATED_BYTES = 1024
"""A smaller record fits into one packet (1,460 bytes) together with its
framing, so that deflating it wouldn't speed up the transfer."""

MAX_RECORD_BYTES = 1 << 20
"""The platform accepts no larger value. Without a bound, a few KB from a peer
could inflate to more memory than the process may use."""


def deflate_record(item: PublishedItem) -> PublishedItem:
    """Return a record in the form that is sent to other processes.

    A record that is too large to be inflated, or that doesn't get smaller, is
    returned unchanged.
    """
    payload = item.payload
    if payload is None or item.is_deflated:
        return item
    if not MIN_DEFLATED_BYTES <= len(payload) <= MAX_RECORD_BYTES:
        return item
    body = zlib.compress(payload)
    if len(body) >= len(payload):
        return item
    return evolve(item, payload=body, is_deflated=True)


def inflate_record(item: PublishedItem) -> PublishedItem:
    """Return a record in its published form.

    Raises
    ------
    MalformedMessageError
        When the payload isn't one complete deflated value within the
        platform's size limit.
    """
    if item.payload is None or not item.is_deflated:
        return item
    body = inflate(item.payload, max_bytes=MAX_RECORD_BYTES, peer=item.key)
    return evolve(item, payload=body, is_deflated=False)
