"""Stand-in of a model engine.

Usage:
  engine --port=PORT [options]

Options:
  --address=IP        IP number to listen on [default: 127.0.0.1].
  --port=PORT         Port to listen on.
  --slots=N           Requests in the batch [default: 8].
  --queue=N           Requests that may wait [default: 64].
  --token-interval=S  Seconds a token [default: 0.01].
  --prefill=S         Seconds to the first token, cache missed [default: 0.05].
  --cache=N           Prompt prefixes kept [default: 64].
  --fencing=KIND      checked or ignored [default: checked].
  --load-s=S          Seconds that a load takes [default: 0.3].
  --load-lag=S        Age of load reports [default: 0.2].
  --event-lag=S       Age of cache events [default: 0.2].
  --journal=FILE      Append each run to this file.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import os
import time
from collections import deque
from collections.abc import Mapping
from functools import partial
from typing import Any

from crowrudder_standins import _serving
from crowrudder_standins._batch import Batch, PrefixCache, Run, token_text
from crowrudder_standins._faults import (
    DropError,
    Fault,
    FaultSwitch,
    RefusedError,
    flip_first_bit,
)
from crowrudder_standins._serving import Answer, Call, Standin, route

_DEFAULT_DELAY_S = 5.0
_REPORT_INTERVAL_S = 0.02


class Engine(Standin):
    """Loads weights and runs requests in a batch.

    ``shown`` is the state that the engine reports; after the fault
    ``lie_about_load`` it differs from the weights that generate the tokens.
    """

    fault_names = (
        'die', 'freeze', 'stall', 'answer_late', 'answer_crossed', 'cut',
        'corrupt_text', 'corrupt_chunk', 'lie_about_load',
    )  # fmt: skip

    def __init__(self, options: Mapping[str, Any]) -> None:
        super().__init__(options)
        cache_size = int(options['--cache'])
        self.batch = Batch(
            slots=int(options['--slots']),
            token_interval_s=float(options['--token-interval']),
            prefill_s=float(options['--prefill']),
            cache=PrefixCache(cache_size, float(options['--event-lag'])),
            append_journal=self.append_journal,
        )
        self.load_lag_s = float(options['--load-lag'])
        self.fence = 0
        self.shown = {'model': '', 'version': '', 'role': '', 'loading': ''}
        self.adapters: list[str] = []
        self.staged: dict[str, dict[int, bytes]] = {}
        self.loads: list[dict[str, Any]] = []
        self.refused: list[dict[str, Any]] = []
        self._order_lock = asyncio.Lock()
        self._reports: deque[tuple[float, dict[str, Any]]] = deque()

    def request_log(self) -> dict[str, Any]:
        return {
            'runs': [run.log_entry() for run in self.batch.runs],
            'loads': self.loads,
            'refused': self.refused,
        }

    def on_fault(self, fault: Fault) -> None:
        if fault.name == 'die':
            asyncio.get_running_loop().call_later(fault.amount, os._exit, 1)

    def state(self) -> dict[str, Any]:
        return {**self.shown, 'adapters': self.adapters, 'fence': self.fence}

    @route('GET', '/v1/state')
    async def get_state(self, call: Call) -> Answer:
        return self.state()

    @route('PUT', r'/v1/weights/([^/]+)/chunks/(\d+)')
    async def put_chunk(self, call: Call, version: str, index: str) -> Answer:
        chunk = call.request.body
        if self.faults.take('corrupt_chunk'):
            chunk = flip_first_bit(chunk)
        self.staged.setdefault(version, {})[int(index)] = chunk
        call.set_status(204)
        return None

    @route('POST', '/v1/orders')
    async def post_order(self, call: Call) -> Answer:
        order = call.body_json()
        try:
            return await self._execute(order)
        except RefusedError as exc:
            self.refused.append({**order, **exc.answer})
            raise

    @route('POST', '/v1/generate')
    async def post_generate(self, call: Call) -> Answer:
        order = call.body_json()
        self._check_loaded(order)
        run = self.batch.submit(order)
        # Engines stop a run when its reader disconnects.
        call.on_disconnect = partial(self.batch.stop, run, 'left')
        if delay_fault := self.faults.take('answer_late'):
            await asyncio.sleep(delay_fault.amount or _DEFAULT_DELAY_S)
        call.set_header('Content-Type', 'text/event-stream')
        try:
            await Stream(call, run, self.faults).send()
        finally:
            self.batch.stop(run, 'cut')
        return None

    @route('POST', '/v1/cancel')
    async def post_cancel(self, call: Call) -> Answer:
        request_id = call.body_json()['request_id']
        return {'cancelled': self.batch.cancel(request_id)}

    @route('GET', '/v1/load')
    async def get_load(self, call: Call) -> Answer:
        return self.report()

    @route('GET', '/v1/cache-events')
    async def get_events(self, call: Call) -> Answer:
        return self.batch.cache.events(int(call.number('after', '0')))

    def report(self) -> dict[str, Any]:
        visible_until = time.monotonic() - self.load_lag_s
        while len(self._reports) > 1 and self._reports[1][0] <= visible_until:
            self._reports.popleft()
        at, report = self._reports[0]
        return {**report, 'age_s': round(time.monotonic() - at, 4)}

    async def run(self) -> None:
        await asyncio.gather(self._run_batch(), self._run_reports())

    async def _run_batch(self) -> None:
        while True:
            await self.faults.wait_cleared('freeze')
            await self.batch.step()

    async def _run_reports(self) -> None:
        """Record the load periodically; it is reported with a lag."""
        tokens = 0
        while True:
            rate = (self.batch.tokens - tokens) / _REPORT_INTERVAL_S
            tokens = self.batch.tokens
            counts = {**self.batch.counts(), 'slots': self.batch.slots}
            report = {**counts, 'tokens_per_s': rate}
            self._reports.append((time.monotonic(), report))
            self.report()
            await asyncio.sleep(_REPORT_INTERVAL_S)

    def _check_loaded(self, order: dict[str, Any]) -> None:
        wanted = (order.get('model'), order.get('version'))
        adapter = order.get('adapter') or ''
        loaded = (self.shown['model'], self.shown['version'])
        if wanted != loaded or adapter not in ('', *self.adapters):
            raise RefusedError(409, 'not_loaded')
        max_requests = self.batch.slots + int(self.options['--queue'])
        if sum(self.batch.counts().values()) >= max_requests:
            raise RefusedError(429, 'full')

    def _check_fence(self, order: dict[str, Any]) -> None:
        if self.options['--fencing'] != 'checked':
            return
        if int(order['fence']) < self.fence:
            raise RefusedError(409, 'stale_fence', fence=self.fence)
        self.fence = int(order['fence'])

    async def _execute(self, order: dict[str, Any]) -> Answer:
        self._check_fence(order)
        async with self._order_lock:
            self._check_fence(order)
            match order['order']:
                case 'load':
                    return await self._load(order)
                case 'load_adapter':
                    await self._read_staged(order)
                    self.adapters.append(order['adapter'])
                case 'unload':
                    self.shown.update(model='', version='')
                    self.batch.version = ''
                case 'role':
                    self.shown.update(role=order['role'])
                case other:
                    raise ValueError(f'unknown order {other}')
            return self.state()

    async def _load(self, order: dict[str, Any]) -> Answer:
        target = {'model': order['model'], 'version': order['version']}
        if target.items() <= self.shown.items():
            return self.state()
        self.shown.update(loading=order['version'])
        try:
            await self._read_staged(order)
        finally:
            self.shown.update(loading='')
        self.loads.append({**target, 'fence': order['fence']})
        load_fault = self.faults.take('lie_about_load')
        if load_fault is not None and not load_fault.amount:
            return {**self.state(), **target}
        if load_fault is None:
            self.batch.version = order['version']
            self.batch.cache.clear()
        self.adapters = []
        self.shown.update(target)
        return self.state()

    async def _read_staged(self, order: dict[str, Any]) -> None:
        """Verify the staged chunks against the digest of the version."""
        await asyncio.sleep(float(self.options['--load-s']))
        chunks = self.staged.pop(order['version'], {})
        content = b''.join(
            chunks.get(index, b'') for index in range(int(order['chunks']))
        )
        if hashlib.sha256(content).hexdigest() != order['digest']:
            raise RefusedError(422, 'bad_weights')


class Stream:
    """The event stream of one run, with the faults that occur midway."""

    def __init__(self, call: Call, run: Run, faults: FaultSwitch) -> None:
        self._call = call
        self._run = run
        self._faults = faults
        self._response_id, self._prompt = run.request_id, run.prompt
        if faults.take('answer_crossed'):
            self._response_id, self._prompt = f'{run.request_id}-other', 'other'

    async def send(self) -> None:
        run = self._run
        fault_at = run.resume_from + (run.end - run.resume_from) // 2
        version = ''
        while (token := await run.events.get()) is not None:
            version, index = token
            if index == fault_at:
                await self._apply_faults()
            await self._faults.wait_cleared('freeze')
            text = token_text(version, index, self._prompt)
            shown = {'version': version, 'index': index, 'text': text}
            await self._send_event('token', shown)
        if run.state != 'finished':
            raise DropError
        tokens = run.next_index()
        await self._send_event('done', {'version': version, 'tokens': tokens})

    async def _apply_faults(self) -> None:
        if self._faults.take('stall'):
            await self._faults.wait_cleared('stall')
        if self._faults.take('corrupt_text'):
            await self._call.send('event: token\ndata: {"request_id": \0\n\n')
        if self._faults.take('cut'):
            raise DropError

    async def _send_event(self, event: str, shown: dict[str, Any]) -> None:
        body = json.dumps({'request_id': self._response_id, **shown})
        await self._call.send(f'event: {event}\ndata: {body}\n\n')


if __name__ == '__main__':
    _serving.run(Engine, __doc__)
