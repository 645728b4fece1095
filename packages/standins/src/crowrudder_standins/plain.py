"""Stand-in of a plain service: it echoes and keeps books.

Usage:
  plain --port=PORT [--address=IP] [--journal=FILE]

Options:
  --address=IP    IP number to listen on [default: 127.0.0.1].
  --port=PORT     Port to listen on.
  --journal=FILE  Append each run to this file.
"""

from __future__ import annotations

import asyncio
import hashlib
from collections import Counter
from collections.abc import Mapping
from typing import Any

from crowrudder_standins._faults import DropError
from crowrudder_standins._serving import Answer, Call, Standin, route, run

_DEFAULT_DELAY_S = 2.0


class Plain(Standin):
    """Echoes requests and counts the runs of each request id."""

    fault_names = ('late', 'cut', 'freeze', 'crossed')

    def __init__(self, options: Mapping[str, Any]) -> None:
        super().__init__(options)
        self.runs: Counter[str] = Counter()

    def request_log(self) -> dict[str, Any]:
        return {'runs': self.runs}

    @route('*', '/.*')
    async def echo(self, call: Call) -> Answer:
        request_id = call.request.headers.get('X-Request-Id', '')
        self.runs[request_id] += 1
        run_number = self.runs[request_id]
        self.append_journal({'plain': request_id, 'run': run_number})
        if delay_fault := self.faults.take('late'):
            await asyncio.sleep(delay_fault.amount or _DEFAULT_DELAY_S)
        if self.faults.take('cut'):
            call.set_header('Content-Length', '1000')
            await call.send(b'{"request_id": ')
            raise DropError
        if self.faults.take('crossed'):
            request_id = f'{request_id}-other'
        call.set_header('X-Request-Id', request_id)
        return {
            'request_id': request_id,
            'method': call.request.method,
            'path': call.request.path,
            'body_sha256': hashlib.sha256(call.request.body).hexdigest(),
            'run': run_number,
        }


if __name__ == '__main__':
    run(Plain, __doc__)
