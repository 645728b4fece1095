"""The task that owns routing, limits and all requests of an entry."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from attrs import frozen

from crowrudder_core.limits import RetryBudget
from crowrudder_core.requests import RequestOwner
from crowrudder_core.routing import Need
from crowrudder_daemon._task import Task
from crowrudder_daemon.admin import UnknownNameError
from crowrudder_daemon.entry._admission import Admission
from crowrudder_daemon.entry._agents import AgentPool
from crowrudder_daemon.entry._claims import release_claim
from crowrudder_daemon.entry._final_outcome import (
    FinalOutcome,
    outcome_unknown,
    refused,
)
from crowrudder_daemon.entry._request_execution import RequestExecution
from crowrudder_daemon.knowledge import Snapshot
from crowrudder_model.messages import CapacityRequest

if TYPE_CHECKING:
    from crowrudder_daemon.entry._caller_request import CallerRequest
    from crowrudder_daemon.entry._claims import Claim
    from crowrudder_daemon.entry._report_streams import (
        AgentLost,
        ReportReceived,
    )
    from crowrudder_daemon.process import Runtime
    from crowrudder_daemon.rpc import PeerClient
    from crowrudder_model.declared import Service
    from crowrudder_model.messages import Piece

SECOND_QUEUE_SHARE = 0.5
"""Second queue places as a share of the requests."""

CLEANUP_INTERVAL_S = 30.0


@frozen
class SnapshotReceived:
    """The configuration or the members changed."""

    snapshot: Snapshot


@frozen
class RequestReceived:
    """A caller's request; its answer is put on the queue in parts."""

    req: CallerRequest
    parts: asyncio.Queue[Piece | FinalOutcome]


@frozen
class CallerDisconnected:
    """The caller's connection closed."""

    parts: asyncio.Queue[Piece | FinalOutcome]


@frozen
class RemoveExpired:
    """Remove expired request ids."""


class RequestsTask(Task):
    """Owns the router, the customers' limits and the running requests."""

    def __init__(self, runtime: Runtime, peers: PeerClient) -> None:
        super().__init__(runtime.log)
        self.snapshot = Snapshot()
        self.leaving = False
        self._runtime = runtime
        self._peers = peers
        self.agents = AgentPool(runtime, peers)
        self._budget = RetryBudget(runtime.cfg.limits.retry_share)
        self._second_queue_budget = RetryBudget(SECOND_QUEUE_SHARE)
        self._admission = Admission(runtime.cfg.limits.max_concurrent)
        self._serial = 0
        self._executions: dict[
            int, tuple[RequestExecution, asyncio.Task[Any]]
        ] = {}
        self._outcomes_counter = runtime.metrics.counter(
            'requests',
            'Requests by their final word.',
            labels=('outcome', 'code'),
        )

    def start(self) -> None:
        """Start the loop and the periodic removal of expired ids."""
        super().start()
        self.spawn(self._remove_expired_periodically())

    @property
    def running(self) -> int:
        """Number of requests without a final outcome."""
        return len(self._executions)

    def on_snapshot_received(self, message: SnapshotReceived) -> None:
        """Apply the new snapshot."""
        self.snapshot = message.snapshot

    def on_report_received(self, message: ReportReceived) -> None:
        """Apply an agent's report."""
        self.agents.on_report(message.report, message.address)

    def on_agent_lost(self, message: AgentLost) -> None:
        """Exclude an agent until it reports again."""
        self.agents.router.on_agent_gone(message.host)

    def on_request_received(self, message: RequestReceived) -> None:
        """Start a request, or refuse it immediately."""
        try:
            self._start_request(message)
        except Exception as exc:
            # Without a final outcome the caller would wait forever.
            self.on_fault(exc)
            ended = outcome_unknown('internal', 'an error inside the entry')
            self.record_end(ended)
            message.parts.put_nowait(ended)

    def _start_request(self, message: RequestReceived) -> None:
        now = self._now()
        entered = self._enter(message.req, now)
        if isinstance(entered, FinalOutcome):
            self.record_end(entered)
            message.parts.put_nowait(entered)
            return
        req, head = entered, entered.head
        self._budget.on_first()
        self._second_queue_budget.on_first()
        self._serial += 1
        owner = RequestOwner(
            head.request_id,
            entry=self._runtime.incarnation,
            idempotent=head.idempotent,
            deadline=now + head.budget_s,
            serial=self._serial,
        )
        execution = RequestExecution(
            req,
            owner,
            message.parts,
            self,
            self._peers,
        )
        job = self.spawn(execution.run())
        self._executions[id(message.parts)] = (execution, job)
        job.add_done_callback(lambda _: self._on_done(message.parts))

    async def wait_idle(self) -> None:
        """Wait until every request has its final outcome."""
        while self._executions:
            await asyncio.wait([job for _, job in self._executions.values()])

    def on_caller_disconnected(self, message: CallerDisconnected) -> None:
        """Stop the request, unless it may be running and isn't idempotent."""
        known = self._executions.get(id(message.parts))
        if known is not None and known[0].withdraw():
            known[1].cancel()

    def on_remove_expired(self, _message: RemoveExpired) -> None:
        """Remove ids whose retention window has passed."""
        self._admission.remove_expired(now=self._now())

    def may_retry(self) -> bool:
        """Return whether the retry budget allows a retry; consume one."""
        return self._budget.take()

    def may_queue_twice(self) -> bool:
        """Return whether a second queue place is allowed; consume one."""
        return self._second_queue_budget.take()

    def share_of(self, customer: str) -> float:
        """Return the share of the slots that is declared for a customer."""
        bundle = self.snapshot.bundle
        known = bundle.declaration.customer(customer) if bundle else None
        return known.share if known else 0.0

    def capacity_request(self, req: CallerRequest) -> CapacityRequest:
        """Return the capacity request for a caller's request."""
        customer = req.head.customer
        return CapacityRequest(
            service=req.service,
            customer=customer,
            share=self.share_of(customer),
        )

    def on_fault(self, exc: Exception) -> None:
        """Report an unexpected exception."""
        self._runtime.fault('request', exc)

    def release_id(self, request_id: str, claim: Claim | None) -> None:
        """Release an id that never ran, here and at its voters."""
        self._admission.release_id(request_id)
        if claim is not None:
            self.spawn(release_claim(self._peers, claim))

    def record_end(self, ended: FinalOutcome) -> None:
        """Count a final outcome."""
        self._outcomes_counter.add(outcome=ended.outcome.value, code=ended.code)

    def explain(self, customer: str, model: str) -> dict[str, Any]:
        """Return where a request would be routed now, and why.

        Raises
        ------
        UnknownNameError
            If no file declares the customer or the model.
        """
        bundle = self.snapshot.bundle
        declared = bundle.declaration.customer(customer) if bundle else None
        service = self.service_of(model)
        if declared is None or service is None:
            name = model if declared else customer
            raise UnknownNameError(f'{name!r} is not declared', step='explain')
        may_use = declared.may_use(service.name)
        return {
            'customer': customer,
            'model': model,
            'service': service.name,
            'allowed': may_use,
            'why': 'may use it' if may_use else 'may not use this service',
            'routes': self.agents.routes(Need(service=service.name)),
        }

    def service_of(self, name: str) -> Service | None:
        """Find a service by its model or its own name."""
        bundle = self.snapshot.bundle
        if bundle is None:
            return None
        declaration = bundle.declaration
        return declaration.service_of_model(name) or declaration.service(name)

    def _enter(
        self, req: CallerRequest, now: float
    ) -> CallerRequest | FinalOutcome:
        if self.leaving:
            return refused('draining', 503, 1)
        return self._admission.enter(req, self.snapshot, now=now)

    def _on_done(self, parts: asyncio.Queue[Piece | FinalOutcome]) -> None:
        execution, _ = self._executions.pop(id(parts))
        self._admission.leave(execution.req.head.customer)

    async def _remove_expired_periodically(self) -> None:
        # Reports of agents that are already running arrive within seconds.
        await asyncio.sleep(CLEANUP_INTERVAL_S / 10)
        self.agents.router.on_started()
        while True:
            await asyncio.sleep(CLEANUP_INTERVAL_S)
            self.post(RemoveExpired())

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
