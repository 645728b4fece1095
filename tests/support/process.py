"""A process with a fake role that can be made to fail."""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging

from attrs import define, evolve, field
from tornado.httpclient import AsyncHTTPClient

from crowrudder_daemon.process import Lifecycle, Runtime, Stop
from crowrudder_daemon.settings import LimitsSection
from crowrudder_model import Member
from support.aio import run
from support.settings import entry_settings


@define
class FakeRole:
    """A role that records its calls and can be made to fail."""

    calls: list[str] = field(factory=list)
    started: asyncio.Event = field(factory=asyncio.Event)
    release: asyncio.Event = field(factory=asyncio.Event)
    draining: asyncio.Event = field(factory=asyncio.Event)
    reasons: list[str] = field(factory=list)
    broken: tuple[str, ...] = ()
    endless: str = ''
    cancelled: str = ''
    let_go: asyncio.Event = field(factory=asyncio.Event)

    async def start(self):
        self._record_call('start')
        self.started.set()

    async def drain(self):
        self._record_call('drain')
        self.draining.set()
        await self._block('drain')
        await self.release.wait()
        self.calls.append('drained')

    async def stop(self):
        self._record_call('stop')
        await self._block('stop')

    def status(self):
        self._record_call('status')
        return {'queue': 3}

    def readiness(self):
        return self.reasons

    def members(self):
        return (Member('e1', 'entry', '127.0.0.1'),)

    def bundle(self):
        return b''

    def explain(self, customer, model):
        if 'explain' in self.broken:
            raise NotImplementedError
        return {'customer': customer, 'model': model}

    async def _block(self, step):
        """Block in a step and ignore cancellation until `let_go` is set."""
        while step == self.endless and not self.let_go.is_set():
            with contextlib.suppress(asyncio.CancelledError):
                await self.let_go.wait()

    def _record_call(self, step):
        self.calls.append(step)
        if step == self.cancelled:
            raise asyncio.CancelledError
        if step in self.broken:
            raise OSError(f'{step} is broken')


@define
class ProcessFixture:
    """One running process with a fake role."""

    role: FakeRole
    life: Lifecycle
    stop: Stop
    task: asyncio.Task

    async def get(self, path):
        res = await AsyncHTTPClient(force_instance=True).fetch(
            f'http://127.0.0.1:{self.life.admin_port}{path}',
            raise_error=False,
        )
        is_json = res.headers['Content-Type'].startswith('application/json')
        return res.code, json.loads(res.body) if is_json else res.body

    async def finish(self):
        self.role.release.set()
        self.stop.ask('SIGTERM')
        return await self.task


async def bench(role=None, drain_s=10.0):
    role = role or FakeRole()
    cfg = evolve(entry_settings(), limits=LimitsSection(drain_s=drain_s))
    runtime = Runtime(cfg=cfg, log=logging.getLogger('test'))
    life, stop = Lifecycle(runtime, role), Stop()
    fixture = ProcessFixture(
        role, life, stop, asyncio.ensure_future(life.run(stop))
    )
    await role.started.wait()
    return fixture


def with_bench(check, role=None):
    async def scenario():
        fixture = await bench(role)
        await check(fixture)
        assert await fixture.finish() == 0

    run(scenario())
