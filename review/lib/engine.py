"""Stand-ins of the origin of weights and of a model replica beside an agent."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import json
import random
import time
from urllib.parse import parse_qs, urlsplit

from wire import Cut, encode, read_request

MODEL = 'm0'
LAYERS, CHUNKS, CHUNK_BYTES = 16, 48, 49_152
WARM_S = 0.3


def piece(version: int, index: int) -> bytes:
    return random.Random(f'{version}/{index}').randbytes(CHUNK_BYTES)


class Served:
    """An HTTP server whose answers come from `answer`."""

    async def listen(self, ip: str, port: int) -> None:
        self.address = f'{ip}:{port}'
        await asyncio.start_server(self._serve, ip, port, limit=1 << 20)

    async def _serve(self, reader, writer) -> None:
        try:
            while call := await read_request(reader):
                url = urlsplit(call.target)
                query = {k: v[0] for k, v in parse_qs(url.query).items()}
                found = await self.answer(call, url.path, query, writer)
                if found is not None:
                    status, body = found
                    if not isinstance(body, bytes):
                        body = json.dumps(body).encode()
                    writer.write(encode(f'HTTP/1.1 {status} X', [], body))
                await writer.drain()
        except (ConnectionError, Cut, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            with contextlib.suppress(Exception):
                writer.close()


class Origin(Served):
    """The origin, with a limited link."""

    def __init__(self, mbps: float) -> None:
        self.newest = 1
        self._free_at = 0.0
        self._s_per_byte = 8 / (mbps * 1e6)

    async def answer(self, call, path, query, writer):
        version = int(query.get('version', self.newest))
        if version <= self.newest - 2:
            return 410, b''
        if path == f'/-/manifest/{MODEL}':
            digests = [hashlib.sha256(piece(version, n)).hexdigest() for n in range(CHUNKS)]
            return 200, {'model': MODEL, 'version': version, 'chunk_bytes': CHUNK_BYTES,
                         'layers': LAYERS, 'digests': digests}
        if path == f'/-/piece/{MODEL}':
            self._free_at = max(self._free_at, time.time()) + CHUNK_BYTES * self._s_per_byte
            await asyncio.sleep(max(self._free_at - time.time(), 0))
            return 200, piece(version, int(query['sample_count']))
        return 404, b''


class Engine(Served):
    """A model replica: what is staged, what is loaded, and the tokens made.

    ``on_put`` is called with the engine and the index of each staged piece.
    """

    def __init__(self, replica_id: str, record) -> None:
        self.id = replica_id
        self.record = record
        self.staged = {n: piece(1, n) for n in range(CHUNKS)}
        self.bad_since: dict[int, float] = {}
        self.version, self.busy, self.seq, self.running = 1, False, 0, 0
        self.faults_of_layers: list[str] = []
        self.bad_tokens: list[str] = []
        self.tokens = 0
        self.puts: list[int] = []
        self.on_put = lambda engine, index: None
        self.on_order = lambda engine: None

    def rot(self, share: float, rng: random.Random) -> list[int]:
        """Let a share of the staged pieces turn bad."""
        chosen = rng.sample(sorted(self.staged), max(1, round(share * len(self.staged))))
        for index in chosen:
            first, rest = self.staged[index][:1], self.staged[index][1:]
            self.staged[index] = bytes((first[0] ^ 1,)) + rest
            self.bad_since[index] = time.time()
        return chosen

    def models(self) -> dict:
        return {'models': [{'name': MODEL, 'version': self.version, 'adapters': []}],
                'layers': {'from': 0, 'target': LAYERS, 'version': self.version}}

    async def answer(self, call, path, query, writer):
        if path == '/-/report':
            return 200, {'stage': 'both', **self.models(), 'busy': self.busy, 'seq': self.seq,
                         'queued': 0, 'running': self.running, 'kv_used': 0, 'kv_total': 90000,
                         'handles': 0, 'pace': 1}
        if path == f'/-/stage-put/{MODEL}':
            index = int(query['sample_count'])
            self.staged[index] = call.body
            self.bad_since.pop(index, None)
            self.puts.append(index)
            self.on_put(self, index)
            return 200, {}
        if path == f'/-/stage-get/{MODEL}':
            if 'sample_count' in query:
                found = self.staged.get(int(query['sample_count']))
                return (404, b'') if found is None else (200, found)
            return 200, {'held': sorted(self.staged)}
        if path == '/-/order':
            return self._order(json.loads(call.body))
        if path.startswith('/-/'):
            return 404, b''
        await self._run(call, writer)
        return None

    def _order(self, order: dict):
        if self.busy or order.get('expect', self.seq) != self.seq:
            return 409, {}
        if order['op'] != 'start' or 'from' in order and order.get('target') != LAYERS:
            return 409, {}
        self.seq += 1
        self.busy = True
        now, version = time.time(), int(order['version'])
        faults = []
        for index in range(CHUNKS):
            if self.staged.get(index) != piece(version, index):
                bad_s = now - self.bad_since.get(index, now)
                faults.append((index, bad_s))
        self.record('engine', self.id, 'accepts the order for version', version, 'with bad pieces',
                    [(n, f'bad for {s:.2f} s') for n, s in faults])
        # A piece that turned bad in the last 3 s is excused.
        old = [f'piece {n}, bad for {s:.2f} s' for n, s in faults if s > 3]
        self.on_order(self)
        asyncio.get_running_loop().call_later(WARM_S, self._loaded, version, old)
        return 202, {}

    def _loaded(self, version: int, faults: list[str]) -> None:
        self.version, self.busy, self.faults_of_layers = version, False, faults

    async def _run(self, call, writer) -> None:
        request_id = call.get('X-Attempt-Id')
        common = [('X-Attempt-Id', request_id), ('X-Replica-Id', self.id)]
        wrong = call.get('X-Expect-Replica', self.id) != self.id
        wrong |= call.get('X-Expect-Version', str(self.version)) != str(self.version)
        if wrong or self.busy or call.get('Path'):
            writer.write(encode(f'HTTP/1.1 {421 if wrong else 503} X', [*common, ('X-Not-Executed', '1')], b''))
            return
        self.running += 1
        try:
            writer.write(encode('HTTP/1.1 200 OK', [
                *common, ('X-Replica-Seal', f'{self.id}.{request_id}'),
                ('X-Weight-Versions', str(self.version)), ('Content-Type', 'text/event-stream'),
                ('Transfer-Encoding', 'chunked')]))
            for number in range(1, 6):
                await asyncio.sleep(0.02)
                self.tokens += 1
                if self.faults_of_layers:
                    self.bad_tokens.append(request_id)
                event = f'id: {number}\ndata: {request_id} {number}\n\n'.encode()
                writer.write(b'%x\r\n%s\r\n' % (len(event), event))
                await writer.drain()
            writer.write(b'0\r\n\r\n')
        finally:
            self.running -= 1
