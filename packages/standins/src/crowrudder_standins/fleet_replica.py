"""Stand-in of the users' replicas: plain answers, streams, staged pieces.

Usage:
  fleet_replica --port=PORT --id=ID [--address=IP] [--slots=N] [--queue=N]
                [--model=NAME] [--loaded=VERSION] [--journal=FILE]

Options:
  --address=IP      IP number to listen on [default: 127.0.0.1].
  --port=PORT       Port to listen on.
  --id=ID           Name of this life.
  --slots=N         Requests at once [default: 8].
  --queue=N         Requests that wait for a slot [default: 0].
  --model=NAME      The model that it serves; none for a plain service.
  --loaded=VERSION  The version held at the start [default: 0].
  --journal=FILE    Append each run to this file.
"""

from __future__ import annotations

import asyncio
import hashlib
import math
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Mapping
from functools import partial
from typing import Any

from attrs import define, field

from crowrudder_standins._cold import WarmUp
from crowrudder_standins._faults import DropError, RefusedError
from crowrudder_standins._serving import Answer, Call, Standin, route, run
from crowrudder_standins._slots import Slots

EVENT_INTERVAL_S = 0.01
LOAD_DURATION_S = 0.05
LAYERS = 16
EVENTS = 6
SEAL = 'X-Replica-Seal'
REQUEST_ID = 'X-Attempt-Id'
DEADLINE = 'X-Deadline-Ms'
LIMIT = 'Server-Limit'
LEAVING = 'Server-Leaving'
PAUSE = 'Retry-After'
PARTS = 'X-Prompt-Prefix'
COLD = 'X-Cold-Ms'
PIPELINE = 'Path'
_Send = Callable[[bytes], Awaitable[None]]


@define
class Run:
    """A request that this replica started to run.

    ``cut_by`` says how its connection was dropped: ``fin`` or ``reset``,
    ``last_event`` is the number of the last event that was sent. ``parts``
    are those of its prompt, without the last. ``is_unframed`` and ``is_sized``
    say what delimits its answer; chunks do if neither is set. ``closed_at`` is
    when its connection was closed by the other side before the run ended, and
    ``is_hung`` whether the replica would never have gone on with it.
    """

    request_id: str
    method: str
    target: str
    body: bytes
    customer: str
    resumed_after: int
    weights: int
    ended: str = ''
    began_at: float = field(factory=time.monotonic)
    left_ms: int = 0
    is_unframed: bool = False
    cut_by: str = ''
    last_event: int = 0
    ended_at: float = math.inf
    parts: tuple[str, ...] = ()
    is_sized: bool = False
    closed_at: float = math.inf
    is_unvouched: bool = False
    is_hung: bool = False

    @property
    def framing(self) -> str:
        """What delimits the body of its answer."""
        if self.is_unframed:
            return 'connection'
        return 'length' if self.is_sized else 'chunks'

    def on_disconnect(self) -> None:
        """Record a connection that is closed while the request runs."""
        if not math.isfinite(self.ended_at):
            self.closed_at = time.monotonic()


@define
class Statements:
    """What a replica states about itself in its answers.

    While ``is_leaving`` is set, all answers say so, or only those to requests if
    ``is_silent_to_agent`` is set. While ``pause_s`` isn't empty,
    each request is refused with it as the pause that is asked for; ``pauses``
    holds time, request id and pause of these refusals. ``misdirected`` holds
    the arrivals of requests for another replica, ``accepted`` those that weren't
    answered with 421, with their pipelines. ``stray_headers`` are further
    header lines of answers to other requests. ``memory_used`` is the
    memory in use that its report tells, in tokens times layers.
    """

    is_leaving: bool = False
    is_silent_to_agent: bool = False
    pause_s: str = ''
    stray_headers: str = ''
    memory_used: int = 0
    pauses: list[tuple[float, str, str]] = field(factory=list)
    misdirected: set[tuple[float, str]] = field(factory=set)
    accepted: list[tuple[float, str, str]] = field(factory=list)
    warm_up: WarmUp = field(factory=WarmUp)


class FleetReplica(Standin):
    """Runs requests and records each run.

    Faults, each applied to its next requests: ``full`` refuses, ``fail`` runs
    and answers 500, ``cut`` drops the connection midway, ``lost`` runs and
    closes without an answer, ``hang`` runs and never answers, ``extra``
    answers twice, ``crossed`` first sends the answer to another request,
    ``unvouched`` omits the seal, ``half_event`` drops the connection within an
    event, ``half_first`` within the first one, ``head_only`` after the headers,
    ``slow`` waits for ``amount`` seconds before it answers, ``head_alone``
    sends nothing after the headers. ``rot`` corrupts a staged piece. While
    ``stall`` is on, requests run, but nothing is sent to any caller and no
    connection ends; then all of them go on.

    Three faults change the form of answers and are combined with others:
    ``unframed`` answers without length and chunks, so that the connection's end
    delimits the body (a crash then leaves half an event, with an ``amount`` a
    whole one), ``sized`` sends a stream with its length, and ``reset``
    turns each drop into a reset.

    A non-empty ``limit_per_s`` is sent with each answer, unchanged;
    ``arrivals`` holds the time and id of every request. For ``stated`` see
    `Statements`.

    A request whose body contains ``fatal_marker`` crashes the replica when its
    run starts, one that has a part of ``fatal_parts`` in its prompt, but for
    the last part, when it begins to write: `on_fatal` must close the
    connections and start the next incarnation. So must the `on_overrun` of its
    warm-up, which is called when it gets too many requests while it is cold.
    """

    event_interval_s = EVENT_INTERVAL_S
    fatal_marker = b'fatal'
    fatal_parts: frozenset[str] = frozenset()

    fault_names = (
        'full',
        'fail',
        'cut',
        'lost',
        'hang',
        'extra',
        'crossed',
        'unvouched',
        'half_event',
        'half_first',
        'head_only',
        'unframed',
        'sized',
        'reset',
        'slow',
        'head_alone',
        'rot',
        'stall',
    )

    def __init__(self, options: Mapping[str, Any]) -> None:
        super().__init__(options)
        self.id = str(options['--id'])
        self.slots = int(options.get('--slots') or 8)
        self.model = str(options.get('--model') or '')
        self.weights = int(options.get('--loaded') or 0)
        self.born = 0
        self.layers = (0, LAYERS) if self.weights else (0, 0)
        self.paths: list[str] = []
        self.staged: dict[int, bytes] = {}
        self.taken: list[dict[int, bytes]] = []
        self.runs: list[Run] = []
        self.refused: Counter[str] = Counter()
        self.orders: list[dict[str, Any]] = []
        self.places = Slots(self.slots, int(options.get('--queue') or 0))
        self.is_busy = False
        self.limit_per_s = ''
        self.stated = Statements()
        self.arrivals: list[tuple[float, str]] = []
        self.crashed_by = ''
        self.crashed_at = math.inf
        self.on_fatal: Callable[[], object] | None = None
        self._load_tasks: set[asyncio.Task[None]] = set()

    def entry(
        self, service: str, address: str, zone: str, state: str = 'ready'
    ) -> dict[str, Any]:
        """Return the entry with which the replica registers itself."""
        models = [{'name': self.model, 'version': self.weights}]
        entry = {
            'service': service,
            'address': address,
            'zone': zone,
            'version': 'v1',
            'slots': self.slots,
            'state': state,
            'cold_left_ms': self.stated.warm_up.left_ms,
            'seq': 1,
            'models': models if self.model else [],
            'layers': self._held_layers(),
        }
        return {**entry, 'born': self.born} if self.born else entry

    @property
    def whole_weights(self) -> int:
        """The version that it holds all layers of, or 0."""
        return self.weights if self.layers == (0, LAYERS) else 0

    def _held_layers(self) -> dict[str, int] | None:
        first, end = self.layers
        if not self.weights:
            return None
        return {'from': first, 'target': end, 'version': self.weights}

    def runs_of(self, request_id: str) -> list[Run]:
        """Return the runs of one request."""
        return [each for each in self.runs if each.request_id == request_id]

    def request_log(self) -> dict[str, Any]:
        return {
            'id': self.id,
            'weights': self.weights,
            'refused': self.refused,
            'runs': [
                {'request_id': each.request_id, 'ended': each.ended}
                for each in self.runs
            ],
        }

    def prepare(self, call: Call) -> None:
        """Set the header of an upstream that is leaving."""
        is_own_interface = call.request.path.startswith('/-/')
        if is_own_interface and self.stated.is_silent_to_agent:
            return
        if self.stated.is_leaving:
            call.set_header(LEAVING, '1')
            call.set_header('Connection', 'close')

    @route('GET', '/-/report')
    async def report(self, call: Call) -> Answer:
        return {
            'stage': 'both',
            'models': [
                {'name': self.model, 'version': self.weights, 'adapters': []},
            ],
            'layers': self._held_layers(),
            'busy': self.is_busy,
            'seq': len(self.orders),
            'queued': self.places.queued,
            'running': self.places.running,
            'kv_used': self.stated.memory_used,
            'kv_total': 1000,
            'handles': 0,
            **({'born': self.born} if self.born else {}),
        }

    @route('PUT', '/-/stage-put/([^/]+)')
    async def stage_put(self, call: Call, _model: str) -> Answer:
        index = int(call.number('sample_count'))
        self.staged[index] = call.request.body
        return {'held': len(self.staged)}

    @route('GET', '/-/stage-get/([^/]+)')
    async def stage_get(self, call: Call, _model: str) -> Answer:
        index = int(call.number('sample_count', '-1'))
        if index < 0:
            return {'held': sorted(self.staged)}
        if index not in self.staged:
            raise RefusedError(404, 'no such piece')
        payload = self.staged[index]
        if self.faults.take('rot'):
            payload = bytes((payload[0] ^ 1,)) + payload[1:]
        await call.finish(payload)
        return None

    @route('POST', '/-/order')
    async def order(self, call: Call) -> Answer:
        order = call.body_json()
        if order.get('op') != 'start':
            raise RefusedError(400, 'no such order')
        if self.is_busy:
            raise RefusedError(409, 'busy')
        if order.get('expect', len(self.orders)) != len(self.orders):
            raise RefusedError(409, 'seq differs')
        self.orders.append(order)
        self.taken.append(dict(self.staged))
        self.is_busy = True
        self.places.close()
        layers = (int(order.get('from', 0)), int(order.get('target', LAYERS)))
        if int(order['version']) == self.weights:
            # Layers outside the range are given up before running requests end.
            self.layers = layers
        load_task = asyncio.ensure_future(
            self._load(int(order['version']), layers)
        )
        self._load_tasks.add(load_task)
        load_task.add_done_callback(self._load_tasks.discard)
        call.set_status(202)
        return {}

    @route('GET', '/health')
    async def health(self, call: Call) -> Answer:
        await self.faults.wait_cleared('stall')
        call.set_header('X-Replica-Id', self.id)
        call.set_header(COLD, str(self.stated.warm_up.left_ms))
        return {}

    @route('*', '/(?!-/|control/).*')
    async def serve(self, call: Call) -> Answer:
        try:
            await self._serve(call)
        finally:
            # Refusals and drops are sent after this.
            await self.faults.wait_cleared('stall')
        return None

    async def _serve(self, call: Call) -> None:
        self._drop_if_crashed()
        request_id = call.request.headers.get(REQUEST_ID, '')
        arrival = (time.monotonic(), request_id)
        self.arrivals.append(arrival)
        if self.limit_per_s:
            call.set_header(LIMIT, self.limit_per_s)
        self._check_expectations(call, arrival)
        pipeline = call.request.headers.get(PIPELINE, '')
        self.stated.accepted.append((*arrival, pipeline))
        if not self.stated.warm_up.take():
            self.refused['overrun'] += 1
            raise DropError
        if self.stated.pause_s:
            await self._ask_for_pause(call, request_id, self.stated.pause_s)
        if self.faults.take('full'):
            raise self._refusal(call, 503, 'full')
        granted = self.places.take()
        call.on_disconnect = partial(self.places.leave, granted)
        if not await granted:
            raise self._refusal(call, 503, 'full')
        try:
            self._drop_if_crashed()
            run_record = self._record_run(call)
            call.on_disconnect = run_record.on_disconnect
            try:
                await self._answer(call, run_record)
            finally:
                run_record.ended_at = time.monotonic()
        finally:
            self.places.release()

    async def _ask_for_pause(
        self, call: Call, request_id: str, pause_s: str
    ) -> None:
        """Refuse a request; a caller that has left isn't told of the pause."""
        left = asyncio.Event()
        call.on_disconnect = left.set
        await self.faults.wait_cleared('stall')
        if not left.is_set():
            self.stated.pauses.append((time.monotonic(), request_id, pause_s))
        call.set_header(PAUSE, pause_s)
        raise self._refusal(call, 503, 'pause')

    def on_crash(self, ended_by: str) -> None:
        """Record how the connections end; only the first end counts."""
        if not self.crashed_by:
            self.crashed_by = ended_by
            self.crashed_at = time.monotonic()

    def _drop_if_crashed(self) -> None:
        """Drop a request that a crashed replica would never have run.

        Its connection may have been set up or its request have waited while the
        replica crashed. Runs that began before go on, but reach nobody.
        """
        if self.crashed_by:
            raise DropError

    async def _load(self, version: int, layers: tuple[int, int]) -> None:
        await self.places.until_idle()
        await asyncio.sleep(LOAD_DURATION_S)
        self.weights = version
        self.layers = layers
        self.is_busy = False
        self.places.open()

    def _check_expectations(
        self, call: Call, arrival: tuple[float, str]
    ) -> None:
        headers = call.request.headers
        if headers.get('X-Expect-Replica', self.id) != self.id:
            call.set_header('X-Replica-Id', self.id)
            self.stated.misdirected.add(arrival)
            raise self._refusal(call, 421, 'other replica')
        wanted = headers.get('X-Expect-Version')
        if wanted and int(wanted) != self.weights:
            raise self._refusal(call, 421, 'other version')
        path = headers.get(PIPELINE, '')
        if path:
            self.paths.append(path)
        first, end = _first_stage_layers(path)
        is_held = self.layers[0] <= first and end <= self.layers[1]
        if self.model and not is_held:
            raise self._refusal(call, 421, 'other layers')

    def _refusal(self, call: Call, status: int, reason: str) -> RefusedError:
        self.refused[reason] += 1
        call.set_header('X-Not-Executed', '1')
        call.set_header(REQUEST_ID, call.request.headers.get(REQUEST_ID, ''))
        return RefusedError(status, reason)

    def _record_run(self, call: Call) -> Run:
        request = call.request
        run_record = Run(
            request_id=request.headers.get(REQUEST_ID, ''),
            method=request.method or '',
            target=request.uri or '',
            body=request.body,
            customer=request.headers.get('X-Tenant', ''),
            resumed_after=int(request.headers.get('Last-Event-Id') or 0),
            weights=self.weights,
            left_ms=int(request.headers.get(DEADLINE) or 0),
            parts=parts_of(request.headers.get(PARTS, '')),
        )
        self.runs.append(run_record)
        self.append_journal({'replica': self.id, 'run': run_record.request_id})
        return run_record

    async def _answer(self, call: Call, run_record: Run) -> None:
        if self._is_fatal(run_record):
            await self._crash(call, run_record)
        if delay_fault := self.faults.take('slow'):
            await asyncio.sleep(delay_fault.amount)
        if self.faults.take('lost'):
            raise self._drop_error(run_record)
        if self.faults.take('hang'):
            run_record.is_hung = True
            await self.faults.wait_cleared('hang')
            raise self._drop_error(run_record)
        await self.faults.wait_cleared('stall')
        if self.faults.take('crossed'):
            await self._write_raw(call, self._mismatched_answer())
        call.set_header(REQUEST_ID, run_record.request_id)
        run_record.is_unvouched = self.faults.take('unvouched') is not None
        if not run_record.is_unvouched:
            call.set_header(SEAL, seal_of(self.id, run_record.request_id))
        if self.faults.take('fail'):
            run_record.is_sized = True
            call.set_status(500)
            await call.finish(b'failed')
            return
        if self.model:
            await self._stream(call, run_record)
        else:
            await self._plain(call, run_record)
        run_record.ended = 'whole'
        if self.faults.take('extra'):
            await self._write_raw(call, self._mismatched_answer())

    def _is_fatal(self, run_record: Run) -> bool:
        return self.on_fatal is not None and (
            self.fatal_marker in run_record.body
            or not self.fatal_parts.isdisjoint(run_record.parts)
        )

    async def _crash(self, call: Call, run_record: Run) -> None:
        """Send what the crash leaves of the answer, and end."""
        run_record.ended = 'crashed'
        form = self.faults.take('unframed')
        if form is not None:
            run_record.is_unframed = True
            call.set_header(REQUEST_ID, run_record.request_id)
            call.set_header(SEAL, seal_of(self.id, run_record.request_id))
            event = event_of(run_record.request_id, 1)
            size = len(event) if form.amount else len(event) // 2
            await call.send_unframed(event[:size])
        error = self._drop_error(run_record)
        if self.on_fatal is not None:
            self.on_fatal()
        raise error

    async def _plain(self, call: Call, run_record: Run) -> None:
        body = body_of(run_record.request_id)
        if self.faults.take('unframed'):
            run_record.is_unframed = True
            await call.send_unframed(b'')
            if self.faults.take('head_only'):
                raise self._drop_error(run_record)
            await call.send_unframed(body)
            raise self._drop_error(run_record, is_whole=True)
        run_record.is_sized = True
        if self.faults.take('cut'):
            call.set_header('Content-Length', str(len(body) + 9))
            await call.send(body)
            raise self._drop_error(run_record)
        await call.finish(body)

    async def _stream(self, call: Call, run_record: Run) -> None:
        call.set_header('Content-Type', 'text/event-stream')
        numbers = range(run_record.resumed_after + 1, EVENTS + 1)
        events = [event_of(run_record.request_id, each) for each in numbers]
        is_unframed = self.faults.take('unframed') is not None
        run_record.is_unframed = is_unframed
        send: _Send = call.send_unframed if is_unframed else call.send
        if not is_unframed and self.faults.take('sized'):
            run_record.is_sized = True
            call.set_header('Content-Length', str(len(b''.join(events))))
        if self.faults.take('head_alone'):
            run_record.is_hung = True
            await send(b'')
            await self.faults.wait_cleared('head_alone')
            raise self._drop_error(run_record)
        if self.faults.take('head_only'):
            await send(b'')
            raise self._drop_error(run_record)
        for number, event in zip(numbers, events, strict=True):
            await self.faults.wait_cleared('stall')
            await self._check_cut(send, run_record, number)
            await send(event)
            run_record.last_event = number
            await asyncio.sleep(self.event_interval_s)
        await self.faults.wait_cleared('stall')
        if is_unframed:
            await send(b'')
            raise self._drop_error(run_record, is_whole=True)
        await call.finish()

    async def _check_cut(
        self, send: _Send, run_record: Run, number: int
    ) -> None:
        """Drop the connection before or within an event, if a fault says so."""
        fault_name = 'half_event' if number > 2 else 'half_first'
        is_possible = number > 2 or number == 1
        is_half = is_possible and self.faults.take(fault_name) is not None
        if is_half:
            event = event_of(run_record.request_id, number)
            await send(event[: len(event) // 2])
        if is_half or (number > 2 and self.faults.take('cut')):
            raise self._drop_error(run_record)

    def _drop_error(
        self, run_record: Run, *, is_whole: bool = False
    ) -> DropError:
        """Return the end of a connection; a whole answer's is never a reset."""
        if is_whole:
            run_record.ended = 'whole'
            return DropError()
        is_reset = self.faults.take('reset') is not None
        run_record.cut_by = 'reset' if is_reset else 'fin'
        return DropError(is_reset=is_reset)

    def _mismatched_answer(self) -> bytes:
        return (
            'HTTP/1.1 200 OK\r\nX-Attempt-Id: somebody-elses\r\n'
            f'X-Replica-Seal: x\r\n{self.stated.stray_headers}'
            'Content-Length: 5\r\n\r\nother'
        ).encode()

    async def _write_raw(self, call: Call, text: bytes) -> None:
        """Write raw bytes to the connection, outside the HTTP answer."""
        conn: Any = call.request.connection
        await conn.stream.write(text)


def _first_stage_layers(path: str) -> tuple[int, int]:
    """Return the layer range of the pipeline's first stage.

    Without a pipeline, return all layers.
    """
    if not path:
        return 0, LAYERS
    layers = path.partition(',')[0].partition('=')[2]
    first, _, end = layers.partition('-')
    return int(first), int(end)


def body_of(request_id: str) -> bytes:
    """Return the complete answer to a plain request."""
    return hashlib.sha256(request_id.encode()).hexdigest().encode()


def event_of(request_id: str, number: int) -> bytes:
    """Return one event of a request's stream."""
    text = hashlib.sha256(f'{request_id}/{number}'.encode()).hexdigest()
    return f'id: {number}\ndata: {text}\n\n'.encode()


def stream_of(request_id: str) -> bytes:
    """Return the complete stream of a request."""
    return b''.join(
        event_of(request_id, number) for number in range(1, EVENTS + 1)
    )


def parts_of(text: str) -> tuple[str, ...]:
    """Return the ids of a prompt's parts, without the last."""
    return tuple(entry.partition(':')[0] for entry in text.split(',')[:-1])


def seal_of(replica_id: str, request_id: str) -> str:
    """Return the seal that authenticates an answer of the replica."""
    text = f'{replica_id}/{request_id}'.encode()
    return hashlib.sha256(text).hexdigest()[:16]


if __name__ == '__main__':
    run(FleetReplica, __doc__)
