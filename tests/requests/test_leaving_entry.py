"""The HTTP side of an entry that leaves."""

from __future__ import annotations

import asyncio
import json
from collections import Counter

from tornado.httpclient import AsyncHTTPClient
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port

from crowrudder_daemon.entry._handlers import make_application
from crowrudder_daemon.entry._open_answers import OpenAnswers
from crowrudder_daemon.entry._requests import SnapshotCame
from crowrudder_daemon.knowledge import Snapshot
from crowrudder_model import Member
from support.aio import run
from support.path import BUNDLE, start_entry

MEMBERS = tuple(
    Member(f'entry-{number}', 'entry', '127.0.0.1', http_port=7000 + number)
    for number in range(4)
)


class Served:
    """An entry's application on a free port; for `async with`."""

    async def __aenter__(self) -> Served:
        self.entry = start_entry(0)
        self.entry.requests.post(SnapshotCame(Snapshot(BUNDLE, MEMBERS)))
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

    async def listed(self) -> list[str]:
        client = AsyncHTTPClient(force_instance=True)
        url = f'http://127.0.0.1:{self.port}/v1/entries'
        answer = await client.fetch(url)
        return [each['host'] for each in json.loads(answer.body)['entries']]


class TestEntries:
    """The list that callers work with."""

    def test_callers_are_spread(self):
        async def story() -> None:
            async with Served() as served:
                firsts = Counter(
                    [(await served.listed())[0] for _ in range(80)],
                )
                assert set(firsts) == {member.host for member in MEMBERS}
                assert max(firsts.values()) < 45

        run(story())

    def test_a_leaving_entry_names_the_others(self):
        """Symptom: a leaving entry goes on to name itself.

        Sequence: it gets SIGTERM; the member list, which lags, still calls
        it live; a caller asks it for the entries.
        Cause: only the list was looked at.
        """

        async def story() -> None:
            async with Served() as served:
                served.entry.requests.leaving = True
                assert 'entry-0' not in await served.listed()

        run(story())


class TestKeptConnection:
    """A caller that keeps its connection to a leaving entry."""

    def test_it_is_closed_after_the_last_answer(self):
        """Symptom: a leaving entry gets new requests until it ends.

        Sequence: a caller keeps its connection and doesn't heed
        `Connection: close`.
        Cause: the header alone closes nothing on the entry's side.
        """

        async def story() -> None:
            async with Served() as served:
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

        run(story())
