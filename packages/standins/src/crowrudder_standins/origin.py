"""Stand-in of the origin of weights, and of the weight store.

Usage:
  origin --port=PORT [--address=IP] [--rate=B] [--name=NAME]

Options:
  --address=IP  IP number to listen on [default: 127.0.0.1].
  --port=PORT   Port to listen on.
  --rate=B      Bytes a second over all connections, 0 for no limit
                [default: 0].
  --name=NAME   Name in the books [default: origin].
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import random
from collections import Counter
from collections.abc import Mapping
from typing import Any

from attrs import define, field

from crowrudder_standins._faults import DropError, RefusedError, flip_first_bit
from crowrudder_standins._serving import Answer, Call, Standin, route, run

_SLICE_BYTES = 16384
_CORRUPT_PROBABILITY = 0.1
_CORRUPT_SEED = 7


@define
class Pacer:
    """A rate limit shared by all connections.

    Connections acquire it per slice, so that one long chunk can't use the
    whole rate.
    """

    rate: float
    _next_at: float = 0

    async def acquire(self, size: int) -> None:
        if self.rate:
            now = asyncio.get_running_loop().time()
            self._next_at = max(self._next_at, now) + size / self.rate
            await asyncio.sleep(self._next_at - now)


@define
class Weights:
    """One version: its chunks, its manifest and read counts."""

    chunks: list[bytes]
    manifest: bytes
    reads: Counter[int] = field(factory=Counter)
    sent_bytes: int = 0

    @classmethod
    def generate(
        cls, version: str, size: int, chunk_bytes: int, seed: int
    ) -> Weights:
        """Generate a version; equal arguments give equal bytes on any host."""
        rng = random.Random(seed)
        lengths = [
            min(chunk_bytes, size - start)
            for start in range(0, size, chunk_bytes)
        ]
        chunks = [rng.randbytes(length) for length in lengths]
        manifest = {
            'version': version,
            'chunk_bytes': chunk_bytes,
            'size': size,
            'digest': hashlib.sha256(b''.join(chunks)).hexdigest(),
            'chunks': [hashlib.sha256(each).hexdigest() for each in chunks],
        }
        return cls(chunks, json.dumps(manifest).encode())

    def read_log(self) -> dict[str, Any]:
        size = sum(len(each) for each in self.chunks)
        copies = round(self.sent_bytes / max(1, size), 4)
        sent = {'bytes': self.sent_bytes, 'copies': copies}
        return {'size': size, **sent, 'reads': self.reads}


class Origin(Standin):
    """Serves the versions at the shared rate."""

    fault_names = ('down', 'stall', 'corrupt')

    def __init__(self, options: Mapping[str, Any]) -> None:
        super().__init__(options)
        self.pacer = Pacer(float(options['--rate']))
        self.versions: dict[str, Weights] = {}
        self._rng = random.Random(_CORRUPT_SEED)

    def request_log(self) -> dict[str, Any]:
        versions = {
            name: each.read_log() for name, each in self.versions.items()
        }
        return {'name': self.options['--name'], 'versions': versions}

    @route('GET', '/v1/weights/([^/]+)/manifest')
    async def get_manifest(self, call: Call, version: str) -> Answer:
        call.set_header('Content-Type', 'application/json')
        await call.finish(self._find_version(version).manifest)
        return None

    @route('GET', r'/v1/weights/([^/]+)/chunks/(\d+)')
    async def get_chunk(self, call: Call, version: str, index: str) -> Answer:
        weights = self._find_version(version)
        if int(index) >= len(weights.chunks):
            raise RefusedError(404, 'unknown chunk')
        weights.reads[int(index)] += 1
        chunk = self._maybe_corrupt(weights.chunks[int(index)])
        call.set_header('Content-Length', str(len(chunk)))
        stalls = self.faults.take('stall') is not None
        for start in range(0, len(chunk), _SLICE_BYTES):
            if stalls and start + _SLICE_BYTES > len(chunk) // 2:
                await self.faults.wait_cleared('stall')
            part = chunk[start : start + _SLICE_BYTES]
            await self.pacer.acquire(len(part))
            weights.sent_bytes += len(part)
            await call.send(part)
        return None

    @route('PUT', '/control/weights/([^/]+)')
    async def put_weights(self, call: Call, version: str) -> Answer:
        size, chunk_bytes, seed = [
            int(call.number(name)) for name in ('size', 'chunk_bytes', 'seed')
        ]
        weights = Weights.generate(version, size, chunk_bytes, seed)
        self.versions[version] = weights
        digest = hashlib.sha256(weights.manifest).hexdigest()
        return {'version': version, 'manifest_digest': digest}

    def _find_version(self, version: str) -> Weights:
        if self.faults.take('down'):
            raise DropError
        if version not in self.versions:
            raise RefusedError(404, 'unknown version')
        return self.versions[version]

    def _maybe_corrupt(self, chunk: bytes) -> bytes:
        fault = self.faults.peek('corrupt')
        if fault is None:
            return chunk
        if self._rng.random() >= (fault.amount or _CORRUPT_PROBABILITY):
            return chunk
        self.faults.take('corrupt')
        return flip_first_bit(chunk)


if __name__ == '__main__':
    run(Origin, __doc__)
