"""Client of crowrudder: chooses entries, sends requests, checks answers."""

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
# The connection was refused, so nothing was sent.
REFUSED = 'refused'
_TIMEOUT_MARGIN_S = 10
_MAX_RETRIES = 40


@frozen(kw_only=True)
class Request:
    """Request of a caller; with a `service`, a call of a plain service."""

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
    """Defect of an answer whose status reports success."""

    NONE = 'none'
    CUT = 'cut'
    MIXED = 'mixed'
    CROSSED = 'crossed'


@frozen(kw_only=True)
class Answer:
    """Result of sending a request once.

    `outcome` is that of the answer, or `no_answer` if no answer arrived or it
    has none; `broken` is set if the connection ended before the answer was
    complete, and `left` if the caller closed it. Times are seconds of the
    monotonic clock.
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
        """Return whether this is the complete answer to its own request."""
        return self.outcome == 'answered' and self.flaw is Flaw.NONE


def flaw_of_text(request: Request, text: str) -> Flaw:
    """Return the defect of a completion's text, checked against its request.

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
class _ResponseBuffer:
    """Status, headers and body of an answer as they arrive."""

    status: int = 0
    headers: dict[str, str] = field(factory=dict)
    body: bytearray = field(factory=bytearray)
    on_chunk: Callable[[], None] | None = None

    def add_header(self, line: str) -> None:
        if line.startswith('HTTP/'):
            self.status = parse_response_start_line(line.strip()).code
        elif ':' in line:
            name, text = line.split(':', 1)
            self.headers[name.strip().lower()] = text.strip()

    def add_chunk(self, chunk: bytes) -> None:
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
    """Address of an entry that callers may use."""

    host: str
    address: str
    port: int

    @property
    def url(self) -> str:
        """Return the URL of the entry."""
        return f'http://{self.address}:{self.port}'


class Caller:
    """Sends requests through the entries that the fleet lists."""

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
        """Return the entries to use, read again after they expire."""
        if time.monotonic() >= self._read_again_at:
            await self._read_entries()
        return self._entries

    async def call(self, request: Request) -> Answer:
        """Send a request, retried until it is answered or may have run.

        Only a request that is known not to have run is resent, as http.md
        allows.
        """
        answer = await self.send(request)
        for _ in range(_MAX_RETRIES):
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
        """Send a request once, and record and return its answer.

        Parameters
        ----------
        on_chunk
            Called on each received chunk of the answer's body.
        leave_after_s
            Seconds after which the caller closes the connection; 0: never.
        """
        response = _ResponseBuffer(on_chunk=on_chunk)
        url = await self._choose_entry_url()
        began_at = time.monotonic()
        error = ''
        try:
            await self._fetch(url, request, response, leave_after_s)
        except ConnectionRefusedError:
            # Nothing was sent, so another entry may be tried.
            self._read_again_at = 0
            error = REFUSED
        except (OSError, HTTPError) as exc:
            self._read_again_at = 0
            error = repr(exc)
        answer = _parse_answer(request, response, error)
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
        response: _ResponseBuffer,
        leave_after_s: float,
    ) -> None:
        answer_timeout_s = request.deadline_ms / 1000 + _TIMEOUT_MARGIN_S
        await self._client.fetch(
            HTTPRequest(
                f'{url}{request.path()}',
                method='POST',
                headers=request.headers(),
                body=request.body(),
                header_callback=response.add_header,
                streaming_callback=response.add_chunk,
                request_timeout=leave_after_s or answer_timeout_s,
                decompress_response=False,
            ),
            raise_error=False,
        )

    async def _choose_entry_url(self) -> str:
        entries = await self.entries()
        if not entries:
            return self._first_url
        return self._rng.choice(entries).url

    async def _read_entries(self) -> None:
        """Read the list from a known entry, or from the first URL."""
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


def _parse_answer(
    request: Request, response: _ResponseBuffer, error: str
) -> Answer:
    if not response.status:
        return Answer(request=request, detail=error)
    outcome = response.headers.get('x-outcome', '')
    retry_after_s = float(response.headers.get('retry-after', 0))
    answer = Answer(
        request=request,
        status=response.status,
        outcome=outcome or NO_ANSWER,
        detail=error,
        retry_after_s=retry_after_s,
    )
    if response.headers.get('x-request-id') != request.request_id:
        return evolve(answer, flaw=Flaw.CROSSED, detail='X-Request-Id')
    if response.status != 200:
        detail = error or response.body.decode(errors='replace')
        return evolve(answer, detail=detail)
    try:
        return _parse_success(answer, response)
    except (ValueError, KeyError, TypeError) as exc:
        return evolve(answer, flaw=Flaw.CUT, detail=f'{error} {exc!r}')


def _parse_success(answer: Answer, response: _ResponseBuffer) -> Answer:
    request = answer.request
    if request.service:
        return _check_service_echo(answer, response)
    if request.streamed:
        return _parse_stream(answer, response)
    completion = json.loads(response.body)
    if completion['id'] != request.request_id:
        return evolve(answer, flaw=Flaw.CROSSED, detail='id')
    return _with_text(answer, completion['text'])


def _check_service_echo(answer: Answer, response: _ResponseBuffer) -> Answer:
    echoed = json.loads(response.body)
    digest = hashlib.sha256(answer.request.body()).hexdigest()
    identity = (echoed['request_id'], echoed['body_sha256'])
    if identity == (answer.request.request_id, digest):
        return answer
    return evolve(answer, flaw=Flaw.CROSSED, detail=str(echoed))


def _parse_stream(answer: Answer, response: _ResponseBuffer) -> Answer:
    """Return the answer of a stream, complete only with its final event."""
    events = response.events()
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
