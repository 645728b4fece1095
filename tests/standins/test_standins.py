from __future__ import annotations

import asyncio
import contextlib
import hashlib
import json
from collections import Counter

import pytest
from tornado.httpclient import AsyncHTTPClient, HTTPError
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port

from crowrudder_standins._serving import application
from crowrudder_standins.engine import Engine
from crowrudder_standins.origin import Origin
from crowrudder_standins.plain import Plain
from crowrudder_standins.platform import Platform
from support.aio import run

ENGINE_OPTIONS = {
    '--slots': '2',
    '--queue': '4',
    '--token-interval': '0.001',
    '--prefill': '0',
    '--cache': '2',
    '--fencing': 'checked',
    '--load-s': '0',
    '--load-lag': '0',
    '--event-lag': '0',
}
ORIGIN_OPTIONS = {'--rate': '0', '--name': 'origin'}
PLATFORM_OPTIONS = {'--rate': '1000', '--member-lag': '0'}


class RunningStandin:
    """Serves a stand-in on a free port of the test's event loop."""

    def __init__(self, standin):
        self.standin = standin
        self._client = AsyncHTTPClient(force_instance=True)
        socket, port = bind_unused_port()
        self.base = f'http://127.0.0.1:{port}'
        self._http = HTTPServer(application(standin))
        self._http.add_socket(socket)
        self._work = asyncio.create_task(standin.run())

    async def call(self, method, path, body=None, **options):
        encoded = json.dumps(body) if isinstance(body, dict) else body
        return await self._client.fetch(
            self.base + path,
            method=method,
            body=encoded,
            allow_nonstandard_methods=True,
            raise_error=False,
            **options,
        )

    async def json(self, method, path, body=None):
        answer = await self.call(method, path, body)
        return answer.code, json.loads(answer.body)

    async def fault(self, name, **more):
        code, _ = await self.json(
            'POST', '/control/faults', {'fault': name, **more}
        )
        assert code == 200

    def close(self):
        self._work.cancel()
        self._http.stop()
        self._client.close()


@contextlib.asynccontextmanager
async def serving(kind, options):
    running = RunningStandin(kind(options))
    try:
        yield running
    finally:
        running.close()


async def until(holds):
    """Run the event loop until the condition holds."""
    for _ in range(100_000):
        if holds():
            return
        await asyncio.sleep(0)
    raise AssertionError('the condition never held')


async def load(engine, version='v1', fence=1):
    await engine.call('PUT', f'/v1/weights/{version}/chunks/0', b'weights')
    order = {
        'order': 'load',
        'fence': fence,
        'model': 'm',
        'version': version,
        'chunks': 1,
        'digest': hashlib.sha256(b'weights').hexdigest(),
    }
    return await engine.json('POST', '/v1/orders', order)


async def generate(engine, request_id='r1', **more):
    order = {
        'request_id': request_id,
        'model': 'm',
        'version': 'v1',
        'prompt': 'hello',
        'max_tokens': 4,
        **more,
    }
    try:
        answer = await engine.call('POST', '/v1/generate', order)
    except (HTTPError, OSError):
        return 0, []
    if answer.code != 200:
        return answer.code, []
    blocks = answer.body.decode().split('\n\n')[:-1]
    events = [block.split('\ndata: ', 1) for block in blocks]
    return 200, [(name[7:], json.loads(data)) for name, data in events]


class TestEngine:
    def test_stream_is_complete_and_resumes(self):
        async def case():
            async with serving(Engine, ENGINE_OPTIONS) as engine:
                assert (await generate(engine))[0] == 409
                assert (await load(engine))[0] == 200
                _, events = await generate(engine)
                _, rest = await generate(engine, resume_from=2)
                _, request_log = await engine.json('GET', '/control/books')
            return events, rest, request_log

        events, rest, request_log = run(case())
        digest = hashlib.sha256(b'hello').hexdigest()[:8]
        texts = [data['text'] for name, data in events if name == 'token']
        assert texts == [f'v1:{index}:{digest} ' for index in range(4)]
        assert events[-1] == (
            'done',
            {'request_id': 'r1', 'version': 'v1', 'tokens': 4},
        )
        assert [data.get('index') for _, data in rest] == [2, 3, None]
        assert [each['ranges'] for each in request_log['runs']] == [
            [['v1', 0, 3]],
            [['v1', 2, 3]],
        ]

    def test_orders_are_fenced_and_weights_verified(self):
        async def case():
            async with serving(Engine, ENGINE_OPTIONS) as engine:
                assert (await load(engine, fence=5))[0] == 200
                stale = await load(engine, 'v2', fence=4)
                await engine.fault('corrupt_chunk', count=1)
                corrupted = await load(engine, 'v2', fence=6)
                state = await engine.json('GET', '/v1/state')
            return stale, corrupted, state

        stale, corrupted, state = run(case())
        assert stale == (409, {'error': 'stale_fence', 'fence': 5})
        assert corrupted == (422, {'error': 'bad_weights'})
        assert (state[1]['version'], state[1]['fence']) == ('v1', 6)

    @pytest.mark.parametrize('fault', ['cut', 'answer_crossed'])
    def test_fault_affects_the_counted_requests(self, fault):
        async def case():
            async with serving(Engine, ENGINE_OPTIONS) as engine:
                await load(engine)
                await engine.fault(fault, count=1)
                return [
                    await generate(engine, 'a'),
                    await generate(engine, 'b'),
                ]

        first, second = run(case())
        assert not is_complete_stream(first, 'a')
        assert is_complete_stream(second, 'b')

    def test_cancel_and_bounded_queue(self):
        async def case():
            options = {**ENGINE_OPTIONS, '--slots': '1', '--queue': '1'}
            async with serving(Engine, options) as engine:
                await load(engine)
                batch = engine.standin.batch
                tasks = []
                for count, name in enumerate('ab', start=1):
                    long_run = generate(engine, name, max_tokens=9999)
                    tasks.append(asyncio.create_task(long_run))
                    await until(lambda n=count: len(batch.runs) == n)
                    await until(lambda: batch.counts()['running'])
                refused = await generate(engine, 'c')
                cancelled = [
                    await engine.json(
                        'POST', '/v1/cancel', {'request_id': name}
                    )
                    for name in 'bab'
                ]
                ends = await asyncio.gather(*tasks)
                _, request_log = await engine.json('GET', '/control/books')
            return refused, cancelled, ends, request_log

        refused, cancelled, ends, request_log = run(case())
        assert refused[0] == 429
        assert [each[1]['cancelled'] for each in cancelled] == [
            True,
            True,
            False,
        ]
        assert not any(is_complete_stream(each, 'a') for each in ends)
        assert [each['state'] for each in request_log['runs']] == [
            'cancelled',
            'cancelled_unstarted',
        ]

    def test_load_during_a_run_is_recorded(self):
        async def case():
            async with serving(Engine, ENGINE_OPTIONS) as engine:
                await load(engine)
                task = asyncio.create_task(generate(engine, max_tokens=200))
                await until(lambda: engine.standin.batch.tokens > 4)
                await load(engine, 'v2', fence=2)
                await task
                _, request_log = await engine.json('GET', '/control/books')
            return request_log['runs'][0]['ranges']

        assert [each[0] for each in run(case())] == ['v1', 'v2']


def is_complete_stream(answer, request_id):
    code, events = answer
    ids = Counter(data['request_id'] for _, data in events)
    last = events[-1][0] if events else ''
    return code == 200 and last == 'done' and set(ids) == {request_id}


class TestOrigin:
    def test_chunks_are_deterministic_and_counted(self):
        async def case():
            async with serving(Origin, ORIGIN_OPTIONS) as origin:
                _, made = await origin.json(
                    'PUT',
                    '/control/weights/v1?size=50000&chunk_bytes=20000&seed=3',
                )
                read = await origin.call('GET', '/v1/weights/v1/manifest')
                chunks = [
                    (
                        await origin.call('GET', f'/v1/weights/v1/chunks/{n}')
                    ).body
                    for n in range(3)
                ]
                missing = await origin.call('GET', '/v1/weights/v1/chunks/3')
                _, request_log = await origin.json('GET', '/control/books')
            return made, read.body, chunks, missing.code, request_log

        made, manifest_body, chunks, missing, request_log = run(case())
        manifest = json.loads(manifest_body)
        digests = [hashlib.sha256(each).hexdigest() for each in chunks]
        whole = hashlib.sha256(b''.join(chunks)).hexdigest()
        assert (
            hashlib.sha256(manifest_body).hexdigest() == made['manifest_digest']
        )
        assert (manifest['chunks'], manifest['digest']) == (digests, whole)
        assert missing == 404
        assert request_log['versions']['v1']['copies'] == 1
        assert request_log['versions']['v1']['reads'] == {
            '0': 1,
            '1': 1,
            '2': 1,
        }

    def test_corrupt_probability(self):
        async def case():
            async with serving(Origin, ORIGIN_OPTIONS) as origin:
                path = '/v1/weights/v1/chunks/0'
                await origin.call(
                    'PUT', '/control/weights/v1?size=10&chunk_bytes=10&seed=3'
                )
                good = (await origin.call('GET', path)).body
                await origin.fault('corrupt', amount=1, count=1)
                return good, [
                    (await origin.call('GET', path)).body for _ in range(2)
                ]

        good, (corrupted, intact) = run(case())
        assert corrupted != good
        assert intact == good


class TestPlatform:
    def test_watch_returns_on_a_publication(self):
        async def case():
            async with serving(Platform, PLATFORM_OPTIONS) as platform:
                path = '/v1/config/bundle'
                empty = await platform.call('GET', path)
                await platform.call('PUT', '/control/bundle', b'one')
                watch = asyncio.create_task(
                    platform.call('GET', f'{path}?after=1&wait=10')
                )
                await until(lambda: platform.standin.request_log()['calls'] > 1)
                await platform.call('PUT', '/control/bundle', b'two')
                woken = await watch
                late = await platform.call('GET', f'{path}?after=2&wait=0')
            return empty.code, woken, late.code

        empty, woken, late = run(case())
        assert (empty, late) == (404, 204)
        assert (woken.body, woken.headers['X-Revision']) == (b'two', '2')

    def test_faults(self):
        async def case():
            async with serving(Platform, PLATFORM_OPTIONS) as platform:
                for content in (b'one', b'two'):
                    await platform.call('PUT', '/control/bundle', content)
                seen = {}
                for name in ('stale', 'half', 'garbage', 'down', 'rebuilt'):
                    await platform.fault(name)
                    try:
                        read = await platform.call('GET', '/v1/config/bundle')
                        seen[name] = (read.headers.get('X-Revision'), read.body)
                    except (HTTPError, OSError):
                        seen[name] = ('closed', b'')
                    await platform.fault(name, on=False)
            return seen

        seen = run(case())
        assert seen['stale'] == ('1', b'one')
        assert seen['half'] == ('2', b't')
        assert seen['garbage'][1] != b'two'
        assert seen['down'][0] != '2'
        assert seen['rebuilt'] == ('1', b'two')

    def test_calls_over_the_rate_are_refused(self):
        async def case():
            options = {**PLATFORM_OPTIONS, '--rate': '3'}
            async with serving(Platform, options) as platform:
                codes = [
                    (await platform.call('GET', '/v1/members')).code
                    for _ in range(8)
                ]
                _, request_log = await platform.json('GET', '/control/books')
            return Counter(codes), request_log

        codes, request_log = run(case())
        assert request_log['refused'] > 0
        assert codes[429] == request_log['refused']
        assert request_log['calls'] == 8


class TestPlain:
    def test_runs_are_counted_by_id(self):
        async def case():
            async with serving(Plain, {}) as plain:
                headers = {'X-Request-Id': 'r1'}
                answers = [
                    await plain.call('PATCH', '/a/b', b'x', headers=headers)
                    for _ in range(2)
                ]
                _, request_log = await plain.json('GET', '/control/books')
            return answers, request_log

        answers, request_log = run(case())
        seen = json.loads(answers[1].body)
        assert (seen['run'], seen['path'], seen['method']) == (
            2,
            '/a/b',
            'PATCH',
        )
        assert answers[0].headers['X-Request-Id'] == 'r1'
        assert request_log['runs'] == {'r1': 2}
