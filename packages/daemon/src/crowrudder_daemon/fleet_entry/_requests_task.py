"""The task that takes callers' requests in and knows those under way."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from crowrudder_daemon._clock import clock_s
from crowrudder_daemon.fleet.ports import BadCallError
from crowrudder_daemon.fleet_entry._caller_side import CallerGoneError
from crowrudder_daemon.fleet_entry._drive import Admitted, Drive
from crowrudder_daemon.fleet_entry._own_answer import OwnAnswer, send_own

if TYPE_CHECKING:
    from crowrudder_daemon.fleet import CatalogTask
    from crowrudder_daemon.fleet.ports import Call
    from crowrudder_daemon.fleet_entry._caller_side import (
        CallerRequest,
        CallerSide,
    )
    from crowrudder_daemon.fleet_entry._parts import EntryParts
    from crowrudder_daemon.process import Runtime
    from crowrudder_model.fleet import FleetConfig, Route

RETRY_S = 0.3
"""When to come back where this entry lacks knowledge or leaves."""

MOST_URGENCY = 9


class RequestsTask:
    """Owns the requests under way; each is a job of its own."""

    def __init__(
        self,
        runtime: Runtime,
        catalog: CatalogTask,
        parts: EntryParts,
    ) -> None:
        self._runtime = runtime
        self._catalog = catalog
        self._parts = parts
        self._jobs: set[asyncio.Task[None]] = set()
        self.refuses = False
        self._denials = runtime.metrics.counter(
            'fleet_denials',
            'Requests answered without a choice of an upstream, by status.',
            labels=('status',),
        )
        runtime.metrics.gauge(
            'fleet_requests_open',
            'Requests without their final answer.',
            lambda: float(len(self._jobs)),
        )

    @property
    def running(self) -> int:
        """Requests without their final answer."""
        return len(self._jobs)

    def on_request(self, request: CallerRequest, side: CallerSide) -> None:
        """Begin a request; its job ends when its caller leaves."""
        job = asyncio.ensure_future(self._serve(request, side, clock_s()))
        self._jobs.add(job)
        job.add_done_callback(self._on_done)
        side.watch(job.cancel)

    async def idle(self) -> None:
        """Wait until nothing is under way."""
        while self._jobs:
            await asyncio.wait(set(self._jobs))

    async def _serve(
        self,
        request: CallerRequest,
        side: CallerSide,
        arrived_at: float,
    ) -> None:
        try:
            call = self._parts.dialect.read_call(
                request.method,
                request.target,
                request.headers,
                tuple(request.headers.get_all()),
            )
        except BadCallError as exc:
            denial = _denial(HTTPStatus(exc.status), str(exc))
            await self._deny(side, None, denial)
            return
        admitted = self._admit(call, request)
        if isinstance(admitted, OwnAnswer):
            await self._deny(side, call, admitted)
            return
        self._parts.upstreams.on_request(admitted.service)
        drive = Drive(
            call=call,
            body=request.body,
            admitted=admitted,
            arrived_at=arrived_at,
            side=side,
            parts=self._parts,
        )
        await drive.run()

    def _admit(
        self,
        call: Call,
        request: CallerRequest,
    ) -> Admitted | OwnAnswer:
        """Decide by configuration whether a request is served at all."""
        config = self._catalog.view.config
        if config is None or self.refuses:
            reason = 'leaving' if self.refuses else 'no configuration yet'
            return _come_back(reason)
        if len(request.body) > config.limits.body_bytes:
            return _denial(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                f'a body may have {config.limits.body_bytes} bytes',
            )
        route = self._catalog.view.routes.find(call.host, call.path)
        if route is None:
            return self._unknown(HTTPStatus.NOT_FOUND, 'no such route')
        return self._admit_on(route, config, call)

    def _admit_on(
        self,
        route: Route,
        config: FleetConfig,
        call: Call,
    ) -> Admitted | OwnAnswer:
        customer = None
        if config.asks_for_keys and not route.public:
            customer = config.customer_of(call.key)
            if customer is None:
                return self._unknown(HTTPStatus.UNAUTHORIZED, 'unknown key')
        urgency = route.priority
        if customer is not None and customer.priority is not None:
            urgency = customer.priority
        weights = [target.weight for target in route.targets]
        drawn = self._parts.upstreams.draw(weights)
        return Admitted(
            route=route,
            service=route.targets[drawn].service,
            customer=customer.name if customer else '',
            urgency=min(max(urgency, 0), MOST_URGENCY),
        )

    def _unknown(self, status: HTTPStatus, reason: str) -> OwnAnswer:
        """Turn a caller away for good only on knowledge that isn't old.

        A process that was cut off doesn't know of keys and routes that were
        added meanwhile; a proper request would be lost by its refusal.
        """
        if self._catalog.is_current():
            return _denial(status, reason)
        return _come_back(f'{reason}, by knowledge that may be old')

    async def _deny(
        self,
        side: CallerSide,
        call: Call | None,
        denial: OwnAnswer,
    ) -> None:
        self._denials.add(status=str(denial.status.value))
        self._runtime.log.info(
            'request denied',
            extra={
                'step': 'admit',
                'request_id': call.request_id if call else '',
                'status': denial.status.value,
                'reason': denial.reason,
                'host_name': call.host if call else '',
                'path': call.path if call else '',
                **self._catalog.status(),
            },
        )
        try:
            await send_own(side, self._parts.dialect, call, denial)
        except CallerGoneError:
            self._runtime.log.debug('caller gone', extra={'step': 'admit'})

    def _on_done(self, job: asyncio.Task[None]) -> None:
        self._jobs.discard(job)
        if not job.cancelled() and job.exception() is not None:
            self._runtime.fault('request', job.exception())

    def status(self) -> dict[str, Any]:
        """Tell what is under way."""
        return {'running': self.running, 'refuses': self.refuses}


def _denial(status: HTTPStatus, reason: str) -> OwnAnswer:
    return OwnAnswer(status=status, code='denied', reason=reason)


def _come_back(reason: str) -> OwnAnswer:
    return OwnAnswer(
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        code='denied',
        reason=reason,
        retry_after_s=RETRY_S,
    )
