"""Stand-in of the platform: published configuration and the member list.

Usage:
  platform --port=PORT [options]

Options:
  --address=IP    IP number to listen on [default: 127.0.0.1].
  --port=PORT     Port to listen on.
  --rate=N        Calls a second before 429 [default: 2000].
  --member-lag=S  Seconds until a change of members shows [default: 0.5].
  --state=FILE    Keep bundle and members there over a restart.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from collections import Counter
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from attrs import define, field, frozen

from crowrudder_standins._faults import DropError, Fault, RefusedError
from crowrudder_standins._serving import Answer, Call, Standin, route, run

_DEFAULT_DELAY_S = 2.0
_FLAP_HALF_PERIOD_S = 0.5
_GARBAGE = bytes(range(128, 256)) * 4


@frozen
class Edition:
    """One revision of a value and the time from which it is visible."""

    revision: int
    content: bytes
    shows_at: float


@define
class PublishedEditions:
    """All revisions of a value; lets watchers wait for the next."""

    editions: list[Edition] = field(factory=list)
    _changed: asyncio.Event = field(factory=asyncio.Event)

    def next_revision(self) -> int:
        return self.editions[-1].revision + 1 if self.editions else 1

    def put(self, content: bytes, lag_s: float = 0) -> int:
        """Add a revision that becomes visible after the lag."""
        revision = self.next_revision()
        shows_at = time.monotonic() + lag_s
        self.editions.append(Edition(revision, content, shows_at))
        asyncio.get_running_loop().call_later(lag_s, self.notify)
        return revision

    def rebuild(self) -> None:
        """Drop the history; the last value becomes revision 1."""
        last = self.editions[-1:]
        self.editions = [Edition(1, each.content, 0) for each in last]
        self.notify()

    def read(self, stale: Fault | None) -> Edition | None:
        """Return the newest visible revision, or an earlier one when stale."""
        now = time.monotonic()
        shown = [each for each in self.editions if each.shows_at <= now]
        if stale is None or not shown:
            return shown[-1] if shown else None
        newest = int(stale.amount) or shown[-1].revision - 1
        return ([each for each in shown if each.revision <= newest] or shown)[
            -1
        ]

    async def wait_changed(self, timeout_s: float) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()

    def notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


class Platform(Standin):
    """Serves the published bundle and the members, and counts calls."""

    fault_names = (
        'down', 'stale', 'slow', 'garbage', 'half', 'flapping', 'rebuilt',
    )  # fmt: skip

    def __init__(self, options: Mapping[str, Any]) -> None:
        super().__init__(options)
        self.rate = int(options['--rate'])
        self.bundle = PublishedEditions()
        self.members = PublishedEditions()
        self.hosts: dict[str, dict[str, Any]] = {}
        self.calls: Counter[int] = Counter()
        self.refused = 0
        self._started = time.monotonic()
        path = options.get('--state')
        self._state = Path(path) if path else None
        self._restore_state()
        self._publish_members(0)

    def request_log(self) -> dict[str, Any]:
        calls = sum(self.calls.values())
        seconds = {'calls_per_second': self.calls, 'refused': self.refused}
        return {'calls': calls, **seconds, 'hosts': sorted(self.hosts)}

    def on_fault(self, fault: Fault) -> None:
        if fault.name == 'rebuilt':
            self.faults.switch_off(fault.name)
            self.bundle.rebuild()

    @route('GET', '/v1/config/bundle')
    async def get_bundle(self, call: Call) -> Answer:
        return await self._read(call, self.bundle)

    @route('GET', '/v1/members')
    async def get_members(self, call: Call) -> Answer:
        return await self._read(call, self.members)

    @route('PUT', '/control/bundle')
    async def put_bundle(self, call: Call) -> Answer:
        revision = self.bundle.put(call.request.body)
        self._save_state()
        return {'revision': revision}

    @route('PUT', '/control/members/([^/]+)')
    async def put_member(self, call: Call, host: str) -> Answer:
        self.hosts[host] = {**call.body_json(), 'host': host}
        self._save_state()
        return self._publish_members(float(self.options['--member-lag']))

    @route('DELETE', '/control/members/([^/]+)')
    async def delete_member(self, call: Call, host: str) -> Answer:
        self.hosts.pop(host, None)
        self._save_state()
        return self._publish_members(float(self.options['--member-lag']))

    async def _read(self, call: Call, shelf: PublishedEditions) -> Answer:
        self._count_call()
        if delay_fault := self.faults.take('slow'):
            await asyncio.sleep(delay_fault.amount or _DEFAULT_DELAY_S)
        self._require_up()
        after = call.number('after', '-1')
        ends_at = time.monotonic() + call.number('wait', '0')
        edition = shelf.read(self.faults.peek('stale'))
        while edition is None or edition.revision == after:
            remaining_s = ends_at - time.monotonic()
            if remaining_s <= 0 or self.is_down():
                break
            await shelf.wait_changed(remaining_s)
            edition = shelf.read(self.faults.peek('stale'))
        self._require_up()
        if edition is None and after < 0:
            raise RefusedError(404, 'no value')
        if edition is None or edition.revision == after:
            call.set_status(204)
            return None
        call.set_header('X-Revision', str(edition.revision))
        await call.finish(self._corrupt_content(edition.content))
        return None

    def _count_call(self) -> None:
        elapsed_s = int(time.monotonic() - self._started)
        self.calls[elapsed_s] += 1
        if self.calls[elapsed_s] > self.rate:
            self.refused += 1
            raise RefusedError(429, 'rate')

    def is_down(self) -> bool:
        flapping = self.faults.peek('flapping')
        if flapping is None:
            return self.faults.peek('down') is not None
        return bool(
            int(time.monotonic() / (flapping.amount or _FLAP_HALF_PERIOD_S)) % 2
        )

    def _require_up(self) -> None:
        if self.is_down():
            self.faults.take('down')
            raise DropError

    def _corrupt_content(self, content: bytes) -> bytes:
        if self.faults.take('garbage'):
            return _GARBAGE
        half = self.faults.take('half')
        return content[: len(content) // 2] if half else content

    def _restore_state(self) -> None:
        """Restore the published state; revisions restart at 1."""
        if self._state is not None and self._state.exists():
            saved = json.loads(self._state.read_text())
            self.hosts = saved['hosts']
            for bundle in saved['bundle']:
                self.bundle.put(bundle.encode())

    def _save_state(self) -> None:
        if self._state is not None:
            last = [each.content.decode() for each in self.bundle.editions[-1:]]
            saved = {'hosts': self.hosts, 'bundle': last}
            self._state.write_text(json.dumps(saved))

    def _publish_members(self, lag_s: float) -> Answer:
        revision = self.members.next_revision()
        member_list = {
            'revision': revision,
            'members': list(self.hosts.values()),
        }
        self.members.put(json.dumps(member_list).encode(), lag_s)
        return {'revision': revision}


if __name__ == '__main__':
    run(Platform, __doc__)
