"""Tornado handlers of the HTTP interface for callers."""

from __future__ import annotations

import asyncio
import math
import random
from typing import TYPE_CHECKING, Any

from tornado.http1connection import HTTP1Connection
from tornado.iostream import StreamClosedError
from tornado.web import Application, HTTPError, RequestHandler

from crowrudder_daemon.entry._answer_bodies import (
    error_body,
    final_event,
    token_event,
)
from crowrudder_daemon.entry._caller_request import (
    BadRequestError,
    CallerRequest,
    CallHead,
    PlainCall,
    answer_request_id,
    parse_completion,
    parse_head,
)
from crowrudder_daemon.entry._final_outcome import FinalOutcome
from crowrudder_daemon.entry._requests import (
    CallerDisconnected,
    RequestReceived,
)
from crowrudder_model import Outcome
from crowrudder_model.messages import Piece

if TYPE_CHECKING:
    from types import TracebackType

    from crowrudder_daemon.entry._caller_request import CompletionBody
    from crowrudder_daemon.entry._open_answers import OpenAnswers
    from crowrudder_daemon.entry._requests import RequestsTask
    from crowrudder_daemon.process import Runtime
    from crowrudder_model.declared import Service

ENTRIES_TTL_S = 30
FORWARDED_HEADERS = frozenset(('content-type', 'accept', 'accept-language'))
FORWARDED_ANSWER_HEADERS = frozenset(('content-type',))
METHOD_NOT_ALLOWED = 405
PLAIN_METHODS = ('GET', 'POST', 'PUT', 'DELETE', 'PATCH')


def make_application(
    runtime: Runtime,
    requests: RequestsTask,
    answers: OpenAnswers,
) -> Application:
    """Return the application that serves callers."""
    shared = {'runtime': runtime, 'requests': requests}
    counted = {**shared, 'answers': answers}
    return Application(
        [
            ('/v1/completions', CompletionsHandler, counted),
            ('/v1/entries', EntriesHandler, shared),
            ('/v1/services/([^/]+)/?(.*)', ServicesHandler, counted),
        ],
        default_handler_class=UnknownHandler,
        log_function=_log_nothing,
    )


def _log_nothing(_handler: RequestHandler) -> None:
    """Log nothing; the requests task logs requests."""


class UnknownHandler(RequestHandler):
    """Answers requests for unknown paths."""

    def prepare(self) -> None:
        """Answer with status 404."""
        request_id = answer_request_id(self.request.headers)
        self.set_status(404)
        self.set_header('X-Outcome', Outcome.NOT_RUN.value)
        self.set_header('X-Request-Id', request_id)
        self.finish(
            error_body('not_found', 'no such path', 'not_run', request_id),
        )


class EntriesHandler(RequestHandler):
    """Serves the list of entries that callers can use."""

    def initialize(self, runtime: Runtime, requests: RequestsTask) -> None:
        """Store the objects that the handlers share."""
        self._runtime = runtime
        self._requests = requests

    def get(self) -> None:
        """Send the live entries in random order, which spreads callers.

        Suspected entries are omitted, and so is this entry while it leaves,
        because the member list lags.
        """
        snapshot = self._requests.snapshot
        own = self._runtime.cfg.process.host
        excluded = {own} if self._requests.leaving else set()
        excluded.update(snapshot.suspects)
        entries = [
            {
                'host': member.host,
                'address': member.address,
                'port': member.http_port,
            }
            for member in snapshot.by_role('entry')
            if member.state == 'live' and member.host not in excluded
        ]
        random.shuffle(entries)
        if self._requests.leaving:
            self.set_header('Connection', 'close')
        self.write({'entries': entries, 'keep_s': ENTRIES_TTL_S})


class _CallHandler(RequestHandler):
    """Base of the handlers of completions and plain services."""

    def initialize(
        self,
        runtime: Runtime,
        requests: RequestsTask,
        answers: OpenAnswers,
    ) -> None:
        self._runtime = runtime
        self._requests = requests
        self._answers = answers
        self._answers.begin()
        self._is_open = True
        self._parts: asyncio.Queue[Piece | FinalOutcome] = asyncio.Queue()
        self._request_id = answer_request_id(self.request.headers)

    def on_connection_close(self) -> None:
        self._requests.post(CallerDisconnected(self._parts))
        self._on_answer_ended()

    def finish(
        self,
        chunk: str | bytes | dict[str, Any] | None = None,
    ) -> asyncio.Future[None]:
        """End the answer; count it as sent once its last byte is."""
        fut: asyncio.Future[None] = super().finish(chunk)
        fut.add_done_callback(lambda _: self._on_answer_ended())
        return fut

    def send_error(self, status_code: int = 500, **kwargs: Any) -> None:
        """Answer an error; truncate an answer that has begun.

        Tornado would end it as if it were whole.
        """
        if not self._headers_written:
            super().send_error(status_code, **kwargs)
            return
        self._close()
        self.on_connection_close()

    def log_exception(
        self,
        typ: type[BaseException] | None,
        value: BaseException | None,
        tb: TracebackType | None,
    ) -> None:
        """Log and count an error that no handler expects."""
        if isinstance(value, HTTPError):
            super().log_exception(typ, value, tb)
        else:
            self._runtime.fault('call', value, request_id=self._request_id)

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answer an internal error; whether the request ran is unknown."""
        if status_code == METHOD_NOT_ALLOWED:
            self._refuse(_wrong_method(self.request.method))
            return
        self._finish_ended(
            FinalOutcome(
                outcome=Outcome.UNKNOWN,
                code='internal',
                message='an error inside the entry',
                status=status_code,
            ),
        )

    def _on_answer_ended(self) -> None:
        if not self._is_open:
            return
        self._is_open = False
        self._answers.end()
        if self._requests.leaving:
            self._close()

    def _close(self) -> None:
        """Close a keep-alive connection after its last answer.

        Tornado only asks the caller to close. A caller that ignores this would
        send new requests to a leaving entry until the process ends.
        """
        conn = self.request.connection
        if isinstance(conn, HTTP1Connection):
            conn.close()

    def _parse_head(self) -> CallHead:
        limits = self._runtime.cfg.limits
        head = parse_head(
            self.request.headers,
            default_s=limits.default_deadline_s,
        )
        self._request_id = head.request_id
        return head

    def _refuse(self, exc: BadRequestError) -> None:
        self._finish_ended(
            FinalOutcome(
                outcome=Outcome.NOT_RUN,
                code=exc.code,
                message=str(exc),
                status=exc.status,
            ),
        )

    def _set_outcome(self, ended: FinalOutcome) -> None:
        self.set_status(ended.http_status)
        self.set_header('X-Outcome', ended.outcome.value)
        self.set_header('X-Request-Id', self._request_id)
        if self._requests.leaving:
            self.set_header('Connection', 'close')
        if ended.retry_after_s:
            retry_s = math.ceil(min(ended.retry_after_s, 3600))
            self.set_header('Retry-After', str(max(retry_s, 1)))

    def _finish_ended(self, ended: FinalOutcome) -> None:
        self._set_outcome(ended)
        self.finish(
            error_body(
                ended.code,
                ended.message,
                ended.outcome.value,
                self._request_id,
            ),
        )

    async def _collect(self) -> tuple[list[Piece], FinalOutcome]:
        pieces: list[Piece] = []
        while True:
            match await self._parts.get():
                case FinalOutcome() as ended:
                    return pieces, ended
                case piece:
                    pieces.append(piece)


class CompletionsHandler(_CallHandler):
    """Serves completions of models, complete or streamed."""

    async def post(self) -> None:
        """Run a completion."""
        try:
            req = self._parse()
        except BadRequestError as exc:
            self._refuse(exc)
            return
        self._requests.post(RequestReceived(req, self._parts))
        if req.completion is not None and req.completion.stream:
            await self._stream()
        else:
            await self._send_complete(req)

    def _parse(self) -> CallerRequest:
        head = self._parse_head()
        completion = parse_completion(self.request.body)
        service = self._requests.service_of(completion.model)
        if self._requests.snapshot.bundle is not None:
            _require_known(completion, service)
        return CallerRequest(
            head=head,
            service=service.name if service else '',
            completion=completion,
        )

    async def _send_complete(self, req: CallerRequest) -> None:
        pieces, ended = await self._collect()
        if ended.outcome is not Outcome.ANSWERED:
            self._finish_ended(ended)
            return
        self._set_outcome(ended)
        self.set_header('X-Weight-Version', ended.version)
        self.finish(
            {
                'id': self._request_id,
                'model': req.completion.model if req.completion else '',
                'version': ended.version,
                'text': ''.join(piece.text for piece in pieces),
                'tokens': ended.pieces,
            }
        )

    async def _stream(self) -> None:
        first = await self._parts.get()
        if (
            isinstance(first, FinalOutcome)
            and first.outcome is not Outcome.ANSWERED
        ):
            self._finish_ended(first)
            return
        self.set_header('Content-Type', 'text/event-stream')
        self.set_header('X-Request-Id', self._request_id)
        self.set_header('X-Weight-Version', first.version)
        if self._requests.leaving:
            self.set_header('Connection', 'close')
        part: Piece | FinalOutcome = first
        try:
            while isinstance(part, Piece):
                self.write(token_event(part))
                await self.flush()
                part = await self._parts.get()
            self.write(final_event(part, self._request_id))
            await self.finish()
        except StreamClosedError:
            return


class ServicesHandler(_CallHandler):
    """Forwards calls to plain services."""

    SUPPORTED_METHODS = PLAIN_METHODS

    async def prepare(self) -> None:
        """Forward any method; Tornado otherwise needs a handler for each."""
        service, path = self.path_args
        try:
            req = self._parse(service, path)
        except BadRequestError as exc:
            self._refuse(exc)
            return
        self._requests.post(RequestReceived(req, self._parts))
        pieces, ended = await self._collect()
        if ended.outcome is not Outcome.ANSWERED:
            self._finish_ended(ended)
            return
        self._set_outcome(ended)
        for name, text in ended.headers:
            if name.lower() in FORWARDED_ANSWER_HEADERS:
                self.set_header(name, text)
        self.finish(b''.join(piece.body for piece in pieces))

    def _parse(self, service: str, path: str) -> CallerRequest:
        head = self._parse_head()
        known = self._requests.service_of(service)
        # Without a bundle no service is known; the requests task refuses.
        has_bundle = self._requests.snapshot.bundle is not None
        if has_bundle and (known is None or known.is_engine):
            raise BadRequestError(
                f'no plain service {service[:64]!r}',
                status=404,
                code='unknown_service',
            )
        query = f'?{self.request.query}' if self.request.query else ''
        return CallerRequest(
            head=head,
            service=known.name if known else '',
            plain=PlainCall(
                method=self.request.method or 'GET',
                path=path + query,
                headers=tuple(
                    (name, text)
                    for name, text in self.request.headers.get_all()
                    if name.lower() in FORWARDED_HEADERS
                ),
                body=self.request.body,
            ),
        )


def _require_known(completion: CompletionBody, service: Service | None) -> None:
    """Raise if no engine is declared to serve this; a retry can't help."""
    if service is None or not service.is_engine:
        raise BadRequestError(
            f'no model {completion.model[:64]!r}',
            status=404,
            code='unknown_model',
        )
    if completion.adapter and completion.adapter not in service.adapters:
        raise BadRequestError(
            f'no adapter {completion.adapter[:64]!r} of this model',
            status=404,
            code='unknown_adapter',
        )


def _wrong_method(method: str | None) -> BadRequestError:
    return BadRequestError(
        f'{method} is not served here',
        status=METHOD_NOT_ALLOWED,
        code='wrong_method',
    )
