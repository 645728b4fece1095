"""A caller of crowrudder: picks entries, sends requests, checks answers."""

from __future__ import annotations

import asyncio
import enum
import hashlib
import json
import random
import time
from typing import TYPE_CHECKING, Any

from attrs import define, evolve, field, frozen
from tornado.httpclient import AsyncHTTPClient, HTTPError, HTTPRequest
from tornado.httputil import parse_response_start_line

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

NO_ANSWER = 'no_answer'
# No connection was made, so that nothing was sent.
REFUSED = 'refused'
_GRACE_S = 10
_TRIES = 40


@frozen(kw_only=True)
class Request:
    """What a caller wants; a `service` makes it a call of a plain service."""

    request_id: str
    customer: str
    model: str = ''
    service: str = ''
    prompt: str = ''
    max_tokens: int = 8
    streamed: bool = False
    idempotent: bool = False
    priority: int = 5
    deadline_ms: int = 30_000

    def headers(self) -> dict[str, str]:
        """Return the headers of http.md."""
        return {
            'X-Customer': self.customer,
            'X-Request-Id': self.request_id,
            'X-Deadline-Ms': str(self.deadline_ms),
            'X-Idempotent': str(self.idempotent).lower(),
            'X-Priority': str(self.priority),
            'Content-Type': 'application/json',
        }

    def path(self) -> str:
        """Return the path to post to."""
        if self.service:
            return f'/v1/services/{self.service}/enquiry'
        return '/v1/completions'

    def body(self) -> bytes:
        """Return the JSON body."""
        if self.service:
            return json.dumps({'enquiry': self.prompt}).encode()
        return json.dumps(
            {
                'model': self.model,
                'prompt': self.prompt,
                'max_tokens': self.max_tokens,
                'stream': self.streamed,
            }
        ).encode()


class Flaw(enum.Enum):
    """What is wrong with an answer that claims to be good."""

    NONE = 'none'
    CUT = 'cut'
    MIXED = 'mixed'
    CROSSED = 'crossed'


@frozen(kw_only=True)
class Answer:
    """What a caller got to one sending of a request.

    `outcome` is that of the answer, or `no_answer` where none came and none
    can be read off; `broken` is a connection that ended on the way, and `left`
    one that the caller closed. Times are seconds of the monotonic clock.
    """

    request: Request
    status: int = 0
    outcome: str = NO_ANSWER
    text: str = ''
    flaw: Flaw = Flaw.NONE
    detail: str = ''
    retry_after_s: float = 0
    left: bool = False
    broken: bool = False
    url: str = ''
    began_at: float = 0
    ended_at: float = 0
    versions: tuple[str, ...] = ()

    @property
    def whole(self) -> bool:
        """Whether it is the complete answer to its own request."""
        return self.outcome == 'answered' and self.flaw is Flaw.NONE


def flaw_of_text(request: Request, text: str) -> Flaw:
    """Check a completion's text against its request.

    The engine stand-in writes `VERSION:INDEX:HASH` for each token.
    """
    digest = hashlib.sha256(request.prompt.encode()).hexdigest()[:8]
    tokens = [token.rsplit(':', 2) for token in text.split()]
    if any(len(token) != 3 or token[2] != digest for token in tokens):
        return Flaw.CROSSED
    if len({token[0] for token in tokens}) > 1:
        return Flaw.MIXED
    indexes = [int(token[1]) for token in tokens]
    if indexes != list(range(request.max_tokens)):
        return Flaw.CUT
    return Flaw.NONE


@define
class _Reading:
    """The parts of one answer as they arrive."""

    status: int = 0
    headers: dict[str, str] = field(factory=dict)
    body: bytearray = field(factory=bytearray)
    on_chunk: Callable[[], None] | None = None

    def take_header(self, line: str) -> None:
        if line.startswith('HTTP/'):
            self.status = parse_response_start_line(line.strip()).code
        elif ':' in line:
            name, text = line.split(':', 1)
            self.headers[name.strip().lower()] = text.strip()

    def take_chunk(self, chunk: bytes) -> None:
        self.body.extend(chunk)
        if self.on_chunk is not None:
            self.on_chunk()

    def events(self) -> list[tuple[str, dict[str, Any]]]:
        blocks = self.body.decode(errors='replace').split('\n\n')[:-1]
        return [_event(block) for block in blocks]


def _event(block: str) -> tuple[str, dict[str, Any]]:
    name, _, content = block.partition('\ndata: ')
    return name.removeprefix('event: '), json.loads(content)


@frozen
class EntryAddress:
    """An entry that callers may use."""

    host: str
    address: str
    port: int

    @property
    def url(self) -> str:
        """Where it answers."""
        return f'http://{self.address}:{self.port}'


class Caller:
    """Sends requests through the entries that the system names."""

    def __init__(self, first_url: str, *, seed: int) -> None:
        self._first_url = first_url
        self._rng = random.Random(seed)
        self._client = AsyncHTTPClient(force_instance=True, max_clients=500)
        self._entries: list[EntryAddress] = []
        self._read_again_at = 0.0
        self.answers: list[Answer] = []

    def close(self) -> None:
        """Close the client."""
        self._client.close()

    async def entries(self) -> Sequence[EntryAddress]:
        """Return the entries to use, asked for again when their time is up."""
        if time.monotonic() >= self._read_again_at:
            await self._read_entries()
        return self._entries

    async def call(self, request: Request) -> Answer:
        """Send a request until it is answered or may have run.

        Only what is known not to have run is sent again, as http.md allows.
        """
        answer = await self.send(request)
        for _ in range(_TRIES):
            busy = answer.outcome == 'not_run' and answer.status in {429, 503}
            if not busy and answer.detail != REFUSED:
                break
            await asyncio.sleep(min(1, answer.retry_after_s))
            answer = await self.send(request)
        return answer

    async def send(
        self,
        request: Request,
        *,
        on_chunk: Callable[[], None] | None = None,
        leave_after_s: float = 0,
    ) -> Answer:
        """Send a request once and keep its answer.

        Parameters
        ----------
        on_chunk
            Called when a part of the answer's body has come.
        leave_after_s
            Seconds after which the caller closes the connection; 0 never.
        """
        reading = _Reading(on_chunk=on_chunk)
        url = await self._pick()
        began_at = time.monotonic()
        error = ''
        try:
            await self._fetch(url, request, reading, leave_after_s)
        except ConnectionRefusedError:
            # Nothing was sent, so that another entry may be tried.
            self._read_again_at = 0
            error = REFUSED
        except (OSError, HTTPError) as exc:
            self._read_again_at = 0
            error = repr(exc)
        answer = _judge(request, reading, error)
        answer = evolve(
            answer,
            url=url,
            began_at=began_at,
            ended_at=time.monotonic(),
            left=bool(error and leave_after_s),
            broken=error not in {'', REFUSED},
        )
        self.answers.append(answer)
        return answer

    async def _fetch(
        self,
        url: str,
        request: Request,
        reading: _Reading,
        leave_after_s: float,
    ) -> None:
        patience_s = request.deadline_ms / 1000 + _GRACE_S
        await self._client.fetch(
            HTTPRequest(
                f'{url}{request.path()}',
                method='POST',
                headers=request.headers(),
                body=request.body(),
                header_callback=reading.take_header,
                streaming_callback=reading.take_chunk,
                request_timeout=leave_after_s or patience_s,
                decompress_response=False,
            ),
            raise_error=False,
        )

    async def _pick(self) -> str:
        entries = await self.entries()
        if not entries:
            return self._first_url
        return self._rng.choice(entries).url

    async def _read_entries(self) -> None:
        """Ask the entries known so far, then the first one."""
        known = [each.url for each in self._entries]
        self._rng.shuffle(known)
        known.append(self._first_url)
        for url in known:
            try:
                read = await self._client.fetch(f'{url}/v1/entries')
            except (OSError, HTTPError):
                continue
            listed = json.loads(read.body)
            self._entries = [EntryAddress(**each) for each in listed['entries']]
            self._read_again_at = time.monotonic() + listed['keep_s']
            return


def _judge(request: Request, reading: _Reading, error: str) -> Answer:
    if not reading.status:
        return Answer(request=request, detail=error)
    outcome = reading.headers.get('x-outcome', '')
    retry_after_s = float(reading.headers.get('retry-after', 0))
    answer = Answer(
        request=request,
        status=reading.status,
        outcome=outcome or NO_ANSWER,
        detail=error,
        retry_after_s=retry_after_s,
    )
    if reading.headers.get('x-request-id') != request.request_id:
        return evolve(answer, flaw=Flaw.CROSSED, detail='X-Request-Id')
    if reading.status != 200:
        detail = error or reading.body.decode(errors='replace')
        return evolve(answer, detail=detail)
    try:
        return _judge_good(answer, reading)
    except (ValueError, KeyError, TypeError) as exc:
        return evolve(answer, flaw=Flaw.CUT, detail=f'{error} {exc!r}')


def _judge_good(answer: Answer, reading: _Reading) -> Answer:
    request = answer.request
    if request.service:
        return _judge_service(answer, reading)
    if request.streamed:
        return _judge_stream(answer, reading)
    whole = json.loads(reading.body)
    if whole['id'] != request.request_id:
        return evolve(answer, flaw=Flaw.CROSSED, detail='id')
    return _with_text(answer, whole['text'])


def _judge_service(answer: Answer, reading: _Reading) -> Answer:
    echoed = json.loads(reading.body)
    digest = hashlib.sha256(answer.request.body()).hexdigest()
    own = (echoed['request_id'], echoed['body_sha256'])
    if own == (answer.request.request_id, digest):
        return answer
    return evolve(answer, flaw=Flaw.CROSSED, detail=str(echoed))


def _judge_stream(answer: Answer, reading: _Reading) -> Answer:
    """Take a stream for whole only with its final event."""
    events = reading.events()
    last_name, last = events[-1] if events else ('', {})
    if last_name == 'error':
        outcome = last['error']['outcome']
        return evolve(answer, outcome=outcome, detail=str(last['error']))
    tokens = [each['text'] for name, each in events if name == 'token']
    if last_name == 'done':
        done = evolve(answer, outcome=last['outcome'])
        return _with_text(done, ''.join(tokens))
    detail = f'{answer.detail}; {len(tokens)} tokens, no final event'
    return evolve(answer, flaw=Flaw.CUT, detail=detail)


def _with_text(answer: Answer, text: str) -> Answer:
    versions = sorted({token.rsplit(':', 2)[0] for token in text.split()})
    return evolve(
        answer,
        text=text,
        versions=tuple(versions),
        flaw=flaw_of_text(answer.request, text),
    )
