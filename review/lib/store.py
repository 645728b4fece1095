"""Stand-in of the platform's store: read calls as PROTOCOL.md has them."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
from urllib.parse import parse_qs, urlsplit

from wire import Cut, encode, read_request

PAGE_ITEMS = 500
HISTORY = 2000


class Store:
    """Items, one revision counter, and a history of changes.

    ``down`` makes it drop each call and each connection, as a store that is
    down does.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self.compacted_to = 0
        self.down = False
        self.address = ''
        self._changed = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self, ip: str, port: int) -> None:
        self.address = f'{ip}:{port}'
        await asyncio.start_server(self._serve, ip, port)

    def put(self, key: str, value: dict | bytes) -> int:
        """Write an item; the return of this call is its acknowledgement."""
        payload = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        before = self.items.get(key)
        item = {
            'key': key,
            'value': base64.b64encode(payload).decode(),
            'rev': self.revision,
            'create_revision': before['create_revision'] if before else self.revision,
            'lease': 0,
        }
        self.items[key] = item
        self._append(item)
        return self.revision

    def remove(self, key: str) -> int:
        if key not in self.items:
            return self.revision
        self.revision += 1
        del self.items[key]
        self._append({'key': key, 'rev': self.revision, 'tombstone': True})
        return self.revision

    def set_down(self, down: bool) -> None:
        self.down = down
        if down:
            for writer in list(self._writers):
                writer.transport.abort()

    def _append(self, event: dict) -> None:
        self.history.append(event)
        if len(self.history) > HISTORY:
            self.compacted_to = self.history.pop(0)['rev']
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while not self.down and (call := await read_request(reader)):
                if self.down:
                    break
                status, body = await self._answer(call)
                if self.down:
                    break
                writer.write(
                    encode(
                        f'HTTP/1.1 {status} X',
                        [('Content-Type', 'application/json')],
                        json.dumps(body).encode(),
                    )
                )
                await writer.drain()
        except (ConnectionError, Cut, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            pass  # the case ends
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.transport.abort()

    async def _answer(self, call) -> tuple[int, dict]:
        url = urlsplit(call.target)
        query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
        prefix = query.get('prefix', '')
        if url.path == '/-/kv-range':
            after = query.get('after', '')
            keys = sorted(
                k for k in self.items if k.startswith(prefix) and k > after
            )
            return 200, {
                'items': [self.items[k] for k in keys[:PAGE_ITEMS]],
                'more_pages': len(keys) > PAGE_ITEMS,
                'store_revision': self.revision,
            }
        if url.path == '/-/kv-key':
            item = self.items.get(query.get('key', ''))
            if item is None:
                return 404, {'store_revision': self.revision}
            return 200, {**item, 'store_revision': self.revision}
        if url.path == '/-/kv-watch':
            after = int(query.get('after', '0'))
            if after < self.compacted_to:
                return 410, {}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(int(query.get('wait_ms', '0')) / 1000):
                    while not self._events(prefix, after):
                        await self._changed.wait()
            return 200, {
                'events': self._events(prefix, after),
                'store_revision': self.revision,
            }
        return 404, {}

    def _events(self, prefix: str, after: int) -> list[dict]:
        return [
            e
            for e in self.history
            if e['rev'] > after and e['key'].startswith(prefix)
        ]
