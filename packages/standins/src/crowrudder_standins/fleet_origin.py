"""Stand-in of the users' origin of weights: digests and pieces.

Usage:
  fleet_origin --port=PORT --model=NAME [--address=IP] [--rate=B]
               [--chunks=N] [--bytes=B]

Options:
  --address=IP  IP number to listen on [default: 127.0.0.1].
  --port=PORT   Port to listen on.
  --model=NAME  The model whose versions it has.
  --rate=B      Bytes a second over all connections, 0 for no limit
                [default: 0].
  --chunks=N    Pieces of a version [default: 8].
  --bytes=B     Bytes of a piece [default: 4096].
"""

from __future__ import annotations

import hashlib
import random
from collections import Counter
from collections.abc import Mapping
from typing import Any

from crowrudder_standins._faults import DropError, RefusedError, flip_first_bit
from crowrudder_standins._serving import Answer, Call, Standin, route, run
from crowrudder_standins.origin import Pacer


class FleetOrigin(Standin):
    """Generates versions from seeds; serves the newest by default.

    Faults: ``down`` drops calls, ``corrupt`` flips a bit in pieces,
    ``wrong_digest`` returns a wrong digest.
    """

    fault_names = ('down', 'corrupt', 'wrong_digest')

    def __init__(self, options: Mapping[str, Any]) -> None:
        super().__init__(options)
        self.model = str(options['--model'])
        self.count = int(options.get('--chunks') or 8)
        self.size = int(options.get('--bytes') or 4096)
        self.newest = 1
        self.reads: Counter[int] = Counter()
        self.pacer = Pacer(float(options.get('--rate') or 0))

    def piece(self, version: int, index: int) -> bytes:
        """Return a piece of a version."""
        seed = f'{self.model}/{version}/{index}'
        return random.Random(seed).randbytes(self.size)

    def request_log(self) -> dict[str, Any]:
        return {'reads': self.reads}

    @route('GET', '/-/manifest/([^/]+)')
    async def manifest(self, call: Call, model: str) -> Answer:
        version = self._version(call, model)
        digests = [
            hashlib.sha256(self.piece(version, index)).hexdigest()
            for index in range(self.count)
        ]
        if self.faults.take('wrong_digest'):
            digests[0] = digests[0][::-1]
        return {
            'model': model,
            'version': version,
            'chunk_bytes': self.size,
            'layers': 16,
            'digests': digests,
        }

    @route('GET', '/-/piece/([^/]+)')
    async def on_piece(self, call: Call, model: str) -> Answer:
        version = self._version(call, model)
        payload = self.piece(version, int(call.number('sample_count')))
        self.reads[version] += 1
        await self.pacer.acquire(self.size)
        if self.faults.take('corrupt'):
            payload = flip_first_bit(payload)
        await call.finish(payload)
        return None

    def _version(self, call: Call, model: str) -> int:
        if self.faults.take('down'):
            raise DropError
        if model != self.model:
            raise RefusedError(404, 'no such model')
        version = int(call.number('version', str(self.newest)))
        if version <= self.newest - 2:
            raise RefusedError(410, 'too old')
        return version


if __name__ == '__main__':
    run(FleetOrigin, __doc__)
