"""The task that admits callers' requests and tracks those in progress."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from crowrudder_core.admission import PriorityLevels
from crowrudder_daemon.fleet.ports import BadCallError
from crowrudder_daemon.fleet_entry._admission import Admitted
from crowrudder_daemon.fleet_entry._caller_side import CallerGoneError
from crowrudder_daemon.fleet_entry._deadline_watch import DeadlineWatch
from crowrudder_daemon.fleet_entry._drive import RequestExecution
from crowrudder_daemon.fleet_entry._error_answer import (
    ErrorAnswer,
    encode_error,
    send_error,
)
from crowrudder_daemon.fleet_entry._long_bodies import MAX_BODY_BYTES
from crowrudder_daemon.fleet_entry._open_request import (
    INTERNAL_ERROR,
    FaultLog,
    OpenRequest,
)
from crowrudder_daemon.fleet_entry._overload import OverloadGate
from crowrudder_daemon.fleet_entry._request_step import RequestStep
from crowrudder_daemon.fleet_entry._retry_after import ABSENT_RETRY_AFTER_S

if TYPE_CHECKING:
    from tornado.httputil import HTTPHeaders

    from crowrudder_daemon.fleet import CatalogTask
    from crowrudder_daemon.fleet.ports import Call
    from crowrudder_daemon.fleet_entry._caller_side import (
        CallerRequest,
        CallerSide,
    )
    from crowrudder_daemon.fleet_entry._context import EntryContext
    from crowrudder_daemon.process import Runtime
    from crowrudder_model.fleet import FleetConfig, Route

RETRY_AFTER_S = 0.3
"""Delay before a retry if this entry has no current configuration or is
leaving."""


class RequestsTask:
    """Owns the requests in progress; each runs in its own asyncio task."""

    def __init__(
        self,
        runtime: Runtime,
        catalog: CatalogTask,
        context: EntryContext,
    ) -> None:
        self._runtime = runtime
        self._catalog = catalog
        self._context = context
        self.overload = OverloadGate(runtime, context.dialect)
        self._levels: tuple[FleetConfig, PriorityLevels] | None = None
        self._faults = FaultLog(runtime, context.dialect)
        self._open: set[OpenRequest] = set()
        self._deadlines = DeadlineWatch(runtime, self._open)
        self.refuses = False
        self._denials = runtime.metrics.counter(
            'fleet_denials',
            'Requests answered without a choice of an upstream, by status.',
            labels=('status',),
        )
        runtime.metrics.gauge(
            'fleet_requests_open',
            'Requests without their final answer.',
            lambda: float(len(self._open)),
        )

    @property
    def running(self) -> int:
        """Number of requests without a final answer."""
        return len(self._open)

    @property
    def max_body_bytes(self) -> int:
        """Longest body that callers may send now."""
        config = self._catalog.view.config
        return config.limits.body_bytes if config else MAX_BODY_BYTES

    def long_body_refusal(
        self, headers: HTTPHeaders, max_bytes: int
    ) -> tuple[list[tuple[str, str]], bytes]:
        """Record the refusal of a long body; return the parts of its answer."""
        request_id = self._context.dialect.request_id(headers)
        denial = _long_body(max_bytes)
        self._record_denial(denial, None, request_id)
        return encode_error(self._context.dialect, request_id, denial)

    def reading_fault(
        self, headers: HTTPHeaders, exc: Exception
    ) -> tuple[list[tuple[str, str]], bytes]:
        """Record an error while a request is read; return its answer."""
        request_id = self._faults.request_id(headers)
        self._faults.record(RequestStep.READ, exc, request_id=request_id)
        return self._faults.encode(
            INTERNAL_ERROR, step=RequestStep.READ, request_id=request_id
        )

    def on_request(self, request: CallerRequest, side: CallerSide) -> None:
        """Start the task of a request; it is cancelled if the caller leaves."""
        opened = OpenRequest(
            request=request,
            side=side,
            faults=self._faults,
        )
        try:
            is_refused = self.overload.refuses(request, side)
        except Exception as exc:
            opened.on_fault(exc)
            return
        if is_refused:
            return
        task = asyncio.ensure_future(self._serve(opened))
        opened.task = task
        self._open.add(opened)
        self._deadlines.start()
        task.add_done_callback(lambda _: self._on_done(opened, task))
        side.watch(task.cancel)

    async def idle(self) -> None:
        """Wait until no request is in progress."""
        while self._open:
            await asyncio.wait([each.task for each in self._open if each.task])

    async def _serve(self, opened: OpenRequest) -> None:
        """Serve a request; whatever fails, its caller gets an answer."""
        try:
            await self._run(opened)
        except Exception as exc:
            opened.on_fault(exc)

    async def _run(self, opened: OpenRequest) -> None:
        request, side = opened.request, opened.side
        opened.enter(RequestStep.READ)
        try:
            call = self._context.dialect.read_call(
                request.method,
                request.target,
                request.headers,
                tuple(request.headers.get_all()),
            )
        except BadCallError as exc:
            denial = _denial(HTTPStatus(exc.status), str(exc))
            await self._deny(side, None, denial)
            return
        opened.call = call
        opened.enter(RequestStep.ADMIT)
        admitted = self._admit(call, request)
        if isinstance(admitted, ErrorAnswer):
            await self._deny(side, call, admitted)
            return
        self._context.upstreams.retries.on_request(admitted.service)
        opened.execution = RequestExecution(
            call=call,
            body=request.body,
            admitted=admitted,
            arrived_at=side.arrived_at,
            side=side,
            context=self._context,
        )
        await opened.execution.run()

    def _admit(
        self,
        call: Call,
        request: CallerRequest,
    ) -> Admitted | ErrorAnswer:
        """Return the admitted request, or a denial by the configuration."""
        config = self._catalog.view.config
        if config is None or self.refuses:
            reason = 'leaving' if self.refuses else 'no configuration yet'
            return _retry_later(reason)
        if len(request.body) > config.limits.body_bytes:
            return _long_body(config.limits.body_bytes)
        route = self._catalog.view.routes.find(call.host, call.path)
        if route is None:
            return self._deny_unknown(HTTPStatus.NOT_FOUND, 'no such route')
        return self._admit_on(route, config, call)

    def _admit_on(
        self,
        route: Route,
        config: FleetConfig,
        call: Call,
    ) -> Admitted | ErrorAnswer:
        customer = None
        if config.asks_for_keys and not route.public:
            customer = config.customer_of(call.key)
            if customer is None:
                return self._deny_unknown(
                    HTTPStatus.UNAUTHORIZED, 'unknown key'
                )
        target = self._context.upstreams.sample_target(route)
        if target is None:
            return _retry_later(
                f'route {route.name} gives no service a share of its requests',
                ABSENT_RETRY_AFTER_S,
            )
        service = target.service
        levels = self._levels_of(config)
        return Admitted(
            route=route,
            service=service,
            customer=customer.name if customer else '',
            urgency=levels.urgency(service, route, customer),
            terms=customer,
            is_ordered=levels.is_ordered(service),
        )

    def _levels_of(self, config: FleetConfig) -> PriorityLevels:
        if self._levels is None or self._levels[0] is not config:
            self._levels = (config, PriorityLevels(config))
        return self._levels[1]

    def _deny_unknown(self, status: HTTPStatus, reason: str) -> ErrorAnswer:
        """Return a final denial only if the configuration is current.

        A process that was disconnected doesn't know keys and routes that were
        added meanwhile; its denial would lose a valid request.
        """
        if self._catalog.is_current():
            return _denial(status, reason)
        return _retry_later(f'{reason}, by knowledge that may be old')

    async def _deny(
        self,
        side: CallerSide,
        call: Call | None,
        denial: ErrorAnswer,
    ) -> None:
        self._record_denial(denial, call, call.request_id if call else '')
        try:
            await send_error(side, self._context.dialect, call, denial)
        except CallerGoneError:
            self._runtime.log.debug('caller gone', extra={'step': 'admit'})

    def _record_denial(
        self, denial: ErrorAnswer, call: Call | None, request_id: str
    ) -> None:
        self._denials.add(status=str(denial.status.value))
        self._runtime.log.info(
            'request denied',
            extra={
                'step': 'admit',
                'request_id': request_id,
                'status': denial.status.value,
                'reason': denial.reason,
                'host_name': call.host if call else '',
                'path': call.path if call else '',
                **self._catalog.status(),
            },
        )

    def _on_done(self, opened: OpenRequest, task: asyncio.Task[None]) -> None:
        self._open.discard(opened)
        if not task.cancelled() and task.exception() is not None:
            self._runtime.fault('request', task.exception())

    def status(self) -> dict[str, Any]:
        """Return the running requests and whether new ones are refused."""
        return {'running': self.running, 'refuses': self.refuses}


def _denial(status: HTTPStatus, reason: str) -> ErrorAnswer:
    return ErrorAnswer(status=status, code='denied', reason=reason)


def _long_body(max_bytes: int) -> ErrorAnswer:
    return _denial(
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        f'a body may have {max_bytes} bytes',
    )


def _retry_later(
    reason: str, retry_after_s: float = RETRY_AFTER_S
) -> ErrorAnswer:
    return ErrorAnswer(
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        code='denied',
        reason=reason,
        retry_after_s=retry_after_s,
    )
