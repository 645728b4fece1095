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
from crowrudder_daemon.entry._drive import Drive
from crowrudder_daemon.entry._parts import Ended, refused
from crowrudder_daemon.knowledge import Snapshot
from crowrudder_model.messages import RoomAsk

if TYPE_CHECKING:
    from crowrudder_daemon.entry._caller_request import CallerRequest
    from crowrudder_daemon.entry._claims import Claim
    from crowrudder_daemon.entry._links import AgentLost, ReportCame
    from crowrudder_daemon.process import Runtime
    from crowrudder_daemon.rpc import PeerClient
    from crowrudder_model.declared import Service
    from crowrudder_model.messages import Piece

SECOND_PLACE_SHARE = 0.5
"""Second places in queues as a share of the requests."""

FORGET_EVERY_S = 30.0


@frozen
class SnapshotCame:
    """Configuration or members changed."""

    snapshot: Snapshot


@frozen
class RequestCame:
    """A caller's request; parts of its answer go to the queue."""

    req: CallerRequest
    parts: asyncio.Queue[Piece | Ended]


@frozen
class CallerLost:
    """The caller's connection closed."""

    parts: asyncio.Queue[Piece | Ended]


@frozen
class ForgetOld:
    """Time to drop remembered ids."""


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
        self._second_places = RetryBudget(SECOND_PLACE_SHARE)
        self._admission = Admission(runtime.cfg.limits.max_concurrent)
        self._serial = 0
        self._drives: dict[int, tuple[Drive, asyncio.Task[Any]]] = {}
        self._shown_ends = runtime.metrics.counter(
            'requests',
            'Requests by their final word.',
            labels=('outcome', 'code'),
        )

    def start(self) -> None:
        """Start the loop and the clock that forgets."""
        super().start()
        self.spawn(self._forget_for_ever())

    @property
    def running(self) -> int:
        """Requests without their final word."""
        return len(self._drives)

    def on_snapshot_came(self, message: SnapshotCame) -> None:
        """Take the new picture."""
        self.snapshot = message.snapshot

    def on_report_came(self, message: ReportCame) -> None:
        """Take an agent's report."""
        self.agents.on_report(message.report, message.address)

    def on_agent_lost(self, message: AgentLost) -> None:
        """Use an agent no more until it reports again."""
        self.agents.router.on_gone(message.host)

    def on_request_came(self, message: RequestCame) -> None:
        """Start a request, or refuse it at once."""
        now = self._now()
        entered = self._enter(message.req, now)
        if isinstance(entered, Ended):
            self.note_end(entered)
            message.parts.put_nowait(entered)
            return
        req, head = entered, entered.head
        self._budget.on_first()
        self._second_places.on_first()
        self._serial += 1
        owner = RequestOwner(
            head.request_id,
            entry=self._runtime.incarnation,
            idempotent=head.idempotent,
            deadline=now + head.budget_s,
            serial=self._serial,
        )
        drive = Drive(
            req,
            owner,
            message.parts,
            self,
            self._peers,
        )
        job = self.spawn(drive.run())
        self._drives[id(message.parts)] = (drive, job)
        job.add_done_callback(lambda _: self._on_done(message.parts))

    async def idle(self) -> None:
        """Wait until no request is left without its final word."""
        while self._drives:
            await asyncio.wait([job for _, job in self._drives.values()])

    def on_caller_lost(self, message: CallerLost) -> None:
        """Stop what nobody waits for, unless it runs and may not repeat."""
        known = self._drives.get(id(message.parts))
        if known is not None and known[0].withdraw():
            known[1].cancel()

    def on_forget_old(self, _message: ForgetOld) -> None:
        """Drop ids whose window is over."""
        self._admission.forget(now=self._now())

    def may_retry(self) -> bool:
        """Spend one retry."""
        return self._budget.take()

    def may_queue_twice(self) -> bool:
        """Spend one second place in a queue."""
        return self._second_places.take()

    def share_of(self, customer: str) -> float:
        """Give the part of the slots that is declared for a customer."""
        bundle = self.snapshot.bundle
        known = bundle.declaration.customer(customer) if bundle else None
        return known.share if known else 0.0

    def room_ask(self, req: CallerRequest) -> RoomAsk:
        """Give the question for room for a request."""
        customer = req.head.customer
        return RoomAsk(
            service=req.service,
            customer=customer,
            share=self.share_of(customer),
        )

    def on_fault(self, exc: Exception) -> None:
        """Report a fault that no one expected."""
        self._runtime.fault('request', exc)

    def forget(self, request_id: str, claim: Claim | None) -> None:
        """Let an id that never ran be used again, here and elsewhere."""
        self._admission.free(request_id)
        if claim is not None:
            self.spawn(release_claim(self._peers, claim))

    def note_end(self, ended: Ended) -> None:
        """Count a final word."""
        self._shown_ends.add(outcome=ended.outcome.value, code=ended.code)

    def explain(self, customer: str, model: str) -> dict[str, Any]:
        """Tell where a request would go now, and why.

        Raises
        ------
        UnknownNameError
            Where no file declares the customer or the model.
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

    def _enter(self, req: CallerRequest, now: float) -> CallerRequest | Ended:
        if self.leaving:
            return refused('draining', 503, 1)
        return self._admission.enter(req, self.snapshot, now=now)

    def _on_done(self, parts: asyncio.Queue[Piece | Ended]) -> None:
        drive, _ = self._drives.pop(id(parts))
        self._admission.leave(drive.req.head.customer)

    async def _forget_for_ever(self) -> None:
        # Reports of agents that were there before come within seconds.
        await asyncio.sleep(FORGET_EVERY_S / 10)
        self.agents.router.on_started()
        while True:
            await asyncio.sleep(FORGET_EVERY_S)
            self.post(ForgetOld())

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
