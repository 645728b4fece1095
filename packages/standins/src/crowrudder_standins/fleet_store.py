"""Stand-in of the users' store: list, watch, forget, come back from a copy.

Usage:
  fleet_store --port=PORT [--address=IP]

Options:
  --address=IP  IP number to listen on [default: 127.0.0.1].
  --port=PORT   Port to listen on.
"""

from __future__ import annotations

import asyncio
import base64
from collections import Counter
from collections.abc import Mapping
from http import HTTPStatus
from typing import Any

from attrs import define, frozen

from crowrudder_standins._faults import DropError, RefusedError
from crowrudder_standins._serving import Answer, Call, Standin, route, run

ERA_HEADER = 'Store-Era'
PAGE_ITEMS = 50
_MS_PER_S = 1000.0
_MAX_HISTORY = 1000


@define
class Record:
    """A revision of a value, or a tombstone (value None).

    ``text`` is returned in place of an encoded value, unchanged.
    """

    key: str
    rev: int
    value: bytes | None
    create_revision: int = 0
    text: str = ''

    def shown(self) -> dict[str, Any]:
        if self.value is None:
            return {'key': self.key, 'rev': self.rev, 'tombstone': True}
        return {
            'key': self.key,
            'value': self.text or base64.b64encode(self.value).decode(),
            'rev': self.rev,
            'create_revision': self.create_revision,
            'lease': 0,
        }


@frozen
class StoreCopy:
    """The records and the history as they were at a revision."""

    revision: int
    records: dict[str, Record]
    history: tuple[Record, ...]
    compacted_to: int


class FleetStore(Standin):
    """Records, one revision counter, and a bounded history of changes.

    `restore` brings it back from a copy, in the next era: all that was written
    since the copy is lost, and its revisions are given out again. ``era`` is
    in the header of every answer; a store of era 0 sends no such header.

    Faults: ``down`` drops calls, ``busy`` refuses them, ``slow`` delays them
    by ``amount`` seconds, ``silent`` never answers, ``garbage`` answers
    malformed JSON, ``deaf`` returns no change to a watch until it is switched
    off, which cuts the watch.
    """

    fault_names = ('down', 'busy', 'slow', 'silent', 'garbage', 'deaf')

    def __init__(self, options: Mapping[str, Any] | None = None) -> None:
        super().__init__(options or {})
        self.era = 1
        self.revision = 1
        self.records: dict[str, Record] = {}
        self.history: list[Record] = []
        self.compacted_to = 0
        self.calls: Counter[str] = Counter()
        self.refusals: Counter[int] = Counter()
        self._changed = asyncio.Event()

    def put(self, key: str, value: bytes) -> int:
        """Write a record."""
        previous = self.records.get(key)
        created = previous.create_revision if previous else self.revision + 1
        return self._change(
            Record(key, self.revision + 1, value, created), remove=False
        )

    def put_text(self, key: str, text: str) -> int:
        """Write a record whose value is returned as this text."""
        record = Record(key, self.revision + 1, b'', self.revision + 1, text)
        return self._change(record, remove=False)

    def remove(self, key: str) -> int:
        """Remove a record and append a tombstone to the history."""
        return self._change(Record(key, self.revision + 1, None), remove=True)

    def compact(self) -> None:
        """Drop the history of changes up to the current revision."""
        self.compacted_to = self.revision
        self.history.clear()

    def copy(self) -> StoreCopy:
        """Return a copy of what the store has now."""
        return StoreCopy(
            self.revision,
            dict(self.records),
            tuple(self.history),
            self.compacted_to,
        )

    def restore(self, copy: StoreCopy) -> None:
        """Come back from a copy, in the next era; waiting watches are cut."""
        self.era += 1
        self.revision = copy.revision
        self.records = dict(copy.records)
        self.history = list(copy.history)
        self.compacted_to = copy.compacted_to
        self._notify()

    def prepare(self, call: Call) -> None:
        """Set the era, which every answer has."""
        if self.era:
            call.set_header(ERA_HEADER, str(self.era))

    def request_log(self) -> dict[str, Any]:
        return {
            'era': self.era,
            'revision': self.revision,
            'calls': self.calls,
            'refusals': self.refusals,
        }

    @route('GET', '/-/kv-range')
    async def on_range(self, call: Call) -> Answer:
        await self._apply_faults(call, 'range')
        prefix = call.get_query_argument('prefix', '')
        after = call.get_query_argument('after', '')
        keys = sorted(
            key
            for key in self.records
            if key.startswith(prefix) and key > after
        )
        shown = [self.records[key].shown() for key in keys[:PAGE_ITEMS]]
        return {
            'items': shown,
            'more_pages': len(keys) > PAGE_ITEMS,
            'store_revision': self.revision,
        }

    @route('GET', '/-/kv-watch')
    async def on_watch(self, call: Call) -> Answer:
        await self._apply_faults(call, 'watch')
        prefix = call.get_query_argument('prefix', '')
        after = int(call.number('after'))
        events: list[Record] = []
        try:
            async with asyncio.timeout(call.number('wait_ms') / _MS_PER_S):
                events = await self._next_events(prefix, after)
        except TimeoutError:
            events = []
        return {
            'events': [event.shown() for event in events],
            'store_revision': self.revision,
        }

    @route('PUT', '/control/record')
    async def on_put(self, call: Call) -> Answer:
        key = call.get_query_argument('key')
        return {'revision': self.put(key, call.request.body)}

    @route('DELETE', '/control/record')
    async def on_remove(self, call: Call) -> Answer:
        return {'revision': self.remove(call.get_query_argument('key'))}

    @route('POST', '/control/compact')
    async def on_compact(self, call: Call) -> Answer:
        self.compact()
        return {'revision': self.revision}

    async def _next_events(self, prefix: str, after: int) -> list[Record]:
        """Wait for changes; a watch is cut if the store is restored meanwhile."""
        era = self.era
        is_deaf = False
        while True:
            if era != self.era or (is_deaf and not self.faults.peek('deaf')):
                raise DropError
            is_deaf = self.faults.peek('deaf') is not None
            if is_deaf:
                await self.faults.wait_cleared('deaf')
                continue
            if events := self._events(prefix, after):
                return events
            await self._changed.wait()

    async def _apply_faults(self, call: Call, kind: str) -> None:
        """Count the call and apply the active faults to it."""
        self.calls[kind] += 1
        if self.faults.take('down'):
            raise DropError
        if self.faults.take('busy'):
            raise RefusedError(503, 'busy')
        if delay_fault := self.faults.take('slow'):
            await asyncio.sleep(delay_fault.amount)
        if self.faults.peek('silent'):
            await self.faults.wait_cleared('silent')
        if self.faults.take('garbage'):
            await call.finish(b'{"events": [')

    def _events(self, prefix: str, after: int) -> list[Record]:
        if after < self.compacted_to or after > self.revision:
            self.refusals[HTTPStatus.GONE] += 1
            raise RefusedError(HTTPStatus.GONE, 'history is gone')
        return [
            record
            for record in self.history
            if record.rev > after and record.key.startswith(prefix)
        ]

    def _change(self, record: Record, *, remove: bool) -> int:
        self.revision = record.rev
        if remove:
            self.records.pop(record.key, None)
        else:
            self.records[record.key] = record
        self.history.append(record)
        if len(self.history) > _MAX_HISTORY:
            self.compacted_to = self.history.pop(0).rev
        self._notify()
        return record.rev

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


if __name__ == '__main__':
    run(FleetStore, __doc__)
