"""Tests of the HTTP interface of a leaving entry."""

from __future__ import annotations

import asyncio
import json
from collections import Counter

from tornado.httpclient import AsyncHTTPClient
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port

from crowrudder_daemon.entry._handlers import make_application
from crowrudder_daemon.entry._open_answers import OpenAnswers
from crowrudder_daemon.entry._requests import SnapshotReceived
from crowrudder_daemon.knowledge import Snapshot
from crowrudder_model import Member
from support.aio import run
from support.path import BUNDLE, start_entry

MEMBERS = tuple(
    Member(f'entry-{number}', 'entry', '127.0.0.1', http_port=7000 + number)
    for number in range(4)
)


class ServedEntry:
    """An entry's application on a free port; for `async with`."""

    async def __aenter__(self) -> ServedEntry:
        self.entry = start_entry(0)
        self.entry.requests.post(SnapshotReceived(Snapshot(BUNDLE, MEMBERS)))
        socket, self.port = bind_unused_port()
        self.http = HTTPServer(
            make_application(
                self.entry.runtime, self.entry.requests, OpenAnswers()
            ),
        )
        self.http.add_socket(socket)
        await asyncio.sleep(0)
        return self

    async def __aexit__(self, *_exc: object) -> None:
        self.http.stop()
        await self.entry.kill()

    async def listed_hosts(self) -> list[str]:
        client = AsyncHTTPClient(force_instance=True)
        url = f'http://127.0.0.1:{self.port}/v1/entries'
        answer = await client.fetch(url)
        return [each['host'] for each in json.loads(answer.body)['entries']]


class TestEntries:
    """The list of entries that callers use."""

    def test_list_order_is_random(self):
        async def scenario() -> None:
            async with ServedEntry() as served:
                first_hosts = Counter(
                    [(await served.listed_hosts())[0] for _ in range(80)],
                )
                assert set(first_hosts) == {member.host for member in MEMBERS}
                assert max(first_hosts.values()) < 45

        run(scenario())

    def test_a_leaving_entry_lists_only_the_others(self):
        """Guard against a leaving entry that lists itself.

        After SIGTERM the member list lags and still shows the entry as live.
        An entry that reads only that list names itself to callers.
        """

        async def scenario() -> None:
            async with ServedEntry() as served:
                served.entry.requests.leaving = True
                assert 'entry-0' not in await served.listed_hosts()

        run(scenario())


class TestKeptConnection:
    """A caller with a keep-alive connection to a leaving entry."""

    def test_connection_is_closed_after_the_last_answer(self):
        """Guard against new requests to a leaving entry until it ends.

        A caller keeps its connection and ignores `Connection: close`; the
        header alone doesn't close the connection on the entry's side.
        """

        async def scenario() -> None:
            async with ServedEntry() as served:
                served.entry.requests.leaving = True
                reader, writer = await asyncio.open_connection(
                    '127.0.0.1', served.port
                )
                writer.write(
                    b'POST /v1/completions HTTP/1.1\r\nHost: a\r\n'
                    b'X-Customer: small\r\nContent-Length: 33\r\n\r\n'
                    b'{"model": "listing","prompt":"p"}'
                )
                answer = await reader.read()
                assert answer.startswith(b'HTTP/1.1 503')
                assert b'X-Outcome: not_run' in answer
                assert b'Retry-After: 1' in answer
                writer.close()

        run(scenario())
