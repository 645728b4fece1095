"""Two small versions that share chunks, and transfers of them."""

from __future__ import annotations

import hashlib
import random

from crowrudder_core.transfer import (
    ChunkStore,
    FromOrigin,
    Manifest,
    Place,
    start_transfer,
)

PLACE = Place('rennes', 'rennes-1')
CHUNKS = 6


def version(name, payloads):
    return Manifest(
        version=name,
        chunk_bytes=4,
        size=4 * len(payloads),
        digest=hashlib.sha256(b''.join(payloads)).hexdigest(),
        chunks=tuple(hashlib.sha256(each).hexdigest() for each in payloads),
    )


OLD = [f'old{index}'.encode() for index in range(CHUNKS)]
NEW = [*OLD[:2], *(f'new{index}'.encode() for index in range(2, CHUNKS))]


def begin(manifest, store=None, host='a', hosts=('a',), **changes):
    if store is None:
        store = ChunkStore(1000)
    store.want([manifest])
    transfer = start_transfer(
        manifest,
        host=host,
        place=PLACE,
        store=store,
        link_bytes_per_s=4,
        random=random.Random(1),
        changes=changes,
    )
    transfer.on_hosts(dict.fromkeys(hosts, PLACE))
    return transfer


def fill(transfer, payloads):
    for index, payload in enumerate(payloads):
        assert transfer.on_chunk(FromOrigin(index), payload, now=0)
