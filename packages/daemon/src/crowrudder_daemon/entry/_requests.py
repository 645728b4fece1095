"""The task that owns routing, limits and all requests of an entry."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any

from attrs import frozen

from crowrudder_core.limits import RetryBudget
from crowrudder_core.requests import RequestOwner
from crowrudder_core.routing import Need, Router
from crowrudder_daemon._task import Task
from crowrudder_daemon.entry._admission import Admission
from crowrudder_daemon.entry._attempt_call import AgentRef
from crowrudder_daemon.entry._claims import release_claim
from crowrudder_daemon.entry._drive import Drive
from crowrudder_daemon.entry._parts import Ended, refused
from crowrudder_daemon.knowledge import Snapshot
from crowrudder_model import PeerLostError
from crowrudder_model.messages import Cancel, RoomAsk
from crowrudder_model.rpc import CANCEL, ROOM

if TYPE_CHECKING:
    from crowrudder_daemon.entry._caller_request import CallerRequest
    from crowrudder_daemon.entry._claims import Claim
    from crowrudder_daemon.entry._links import AgentLost, ReportCame
    from crowrudder_daemon.process import Runtime
    from crowrudder_daemon.rpc import PeerClient
    from crowrudder_model.declared import Service
    from crowrudder_model.messages import AttemptKey, Piece, Refusal

SUSPECT_S = 1.0
"""Seconds for which an agent is avoided after a failed call."""

SECOND_PLACE_SHARE = 0.5
"""Second places in queues as a share of the requests."""

ROOM_ASKED = 3
"""Agents that are asked for their room at the moment of the choice."""

ROOM_TIMEOUT_S = 0.05
NO_ROOM = -1.0
CANCEL_TIMEOUT_S = 1.0
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
        self.attempts = 0
        self._runtime = runtime
        self._peers = peers
        self._router = Router(random.Random(runtime.incarnation))
        self._addresses: dict[str, str] = {}
        self._budget = RetryBudget(runtime.cfg.limits.retry_share)
        self._second_places = RetryBudget(SECOND_PLACE_SHARE)
        self._admission = Admission(runtime.cfg.limits.max_concurrent)
        self._serial = 0
        self._drives: dict[int, tuple[Drive, asyncio.Task[Any]]] = {}
        self._shown_attempts = runtime.metrics.counter(
            'attempts',
            'Attempts sent to agents.',
        )
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
        self._addresses[message.report.host] = message.address
        self._router.on_report(message.report, now=self._now())

    def on_agent_lost(self, message: AgentLost) -> None:
        """Use an agent no more until it reports again."""
        self._router.on_gone(message.host)

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

    def choose(self, need: Need) -> AgentRef | None:
        """Choose an agent for an attempt."""
        choice = self._router.choose(need, now=self._now())
        if choice is None:
            return None
        return self._agent(choice.host, choice.wait_s)

    async def ask_for_room(
        self,
        need: Need,
        customer: str,
    ) -> AgentRef | None:
        """Ask a few agents and give the one with the shortest wait."""
        hosts = self._router.draw(need, ROOM_ASKED, now=self._now())
        ask = RoomAsk(
            service=need.service,
            customer=customer,
            share=self.share_of(customer),
        )
        waits = await asyncio.gather(
            *(self._ask_room(host, ask) for host in hosts),
        )
        now = self._now()
        known = [
            (wait_s + self._router.extra_s(host, need, now=now), host)
            for wait_s, host in zip(waits, hosts, strict=True)
            if wait_s >= 0 and host in self._router.agents
        ]
        if not known:
            return None
        wait_s, host = min(known)
        return self._agent(host, wait_s)

    def may_retry(self) -> bool:
        """Spend one retry."""
        return self._budget.take()

    def may_queue_twice(self) -> bool:
        """Spend one second place in a queue."""
        return self._second_places.take()

    def patience_s(self, service: str) -> float:
        """Give the wait after which a second attempt is worth its cost."""
        return self._router.patience_s(service)

    def share_of(self, customer: str) -> float:
        """Give the part of the slots that is declared for a customer."""
        bundle = self.snapshot.bundle
        known = bundle.declaration.customer(customer) if bundle else None
        return known.share if known else 0.0

    def on_sent(self, agent: AgentRef) -> None:
        """Count an attempt."""
        self.attempts += 1
        self._shown_attempts.add()
        self._router.on_sent(agent.host, agent.incarnation)

    def on_ended(self, agent: AgentRef) -> None:
        """Count an attempt's end."""
        self._router.on_ended(agent.host, agent.incarnation)

    def on_first_piece(self, agent: AgentRef, took_s: float) -> None:
        """Note how long the upstream took for its first piece."""
        self._router.on_first_piece(agent.host, took_s)

    def on_refused(self, agent: AgentRef, refusal: Refusal) -> None:
        """Use a leaving agent no more, whatever its last report says."""
        if refusal.reason == 'draining':
            self._router.on_gone(agent.host)

    def on_failed(self, agent: AgentRef, exc: PeerLostError) -> None:
        """Avoid an agent after a failed call."""
        self._log.warning('attempt lost: %s', exc)
        self._router.on_failed(agent.host, until=self._now() + SUSPECT_S)

    def on_fault(self, exc: Exception) -> None:
        """Report a fault that no one expected."""
        self._runtime.fault('request', exc)

    def cancel_at(self, agent: AgentRef, key: AttemptKey) -> None:
        """Tell an agent that nobody waits for an attempt any more."""
        self.spawn(self._cancel(agent, key))

    def forget(self, request_id: str, claim: Claim | None) -> None:
        """Let an id that never ran be used again, here and elsewhere."""
        self._admission.free(request_id)
        if claim is not None:
            self.spawn(release_claim(self._peers, claim))

    def note_end(self, ended: Ended) -> None:
        """Count a final word."""
        self._shown_ends.add(outcome=ended.outcome.value, code=ended.code)

    def explain(self, customer: str, model: str) -> dict[str, Any]:
        """Tell where a request would go now, and why."""
        service = self.service_of(model)
        need = Need(service=service.name if service else '')
        able = set(self._router.candidates(need, now=self._now()))
        return {
            'customer': customer,
            'model': model,
            'service': need.service,
            'routes': [
                {
                    'host': host,
                    'service': state.report.service,
                    'version': state.report.version,
                    'running': state.report.running,
                    'queued': state.report.queued,
                    'outstanding': state.outstanding,
                    'candidate': host in able,
                }
                for host, state in sorted(self._router.agents.items())
            ],
        }

    def service_of(self, name: str) -> Service | None:
        """Find a service by its model or its own name."""
        bundle = self.snapshot.bundle
        if bundle is None:
            return None
        declaration = bundle.declaration
        return declaration.service_of_model(name) or declaration.service(name)

    def _agent(self, host: str, wait_s: float) -> AgentRef:
        report = self._router.agents[host].report
        return AgentRef(
            host,
            self._addresses[host],
            report.incarnation,
            wait_s,
        )

    async def _ask_room(self, host: str, ask: RoomAsk) -> float:
        try:
            reply = await self._peers.call(
                self._addresses[host],
                ROOM,
                ask,
                timeout_s=ROOM_TIMEOUT_S,
            )
        except PeerLostError:
            return NO_ROOM
        return reply.wait_s

    def _enter(self, req: CallerRequest, now: float) -> CallerRequest | Ended:
        if self.leaving:
            return refused('draining', 503, 1)
        return self._admission.enter(req, self.snapshot, now=now)

    def _on_done(self, parts: asyncio.Queue[Piece | Ended]) -> None:
        drive, _ = self._drives.pop(id(parts))
        self._admission.leave(drive.req.head.customer)

    async def _cancel(self, agent: AgentRef, key: AttemptKey) -> None:
        try:
            await self._peers.call(
                agent.address,
                CANCEL,
                Cancel(key=key),
                timeout_s=CANCEL_TIMEOUT_S,
            )
        except PeerLostError as exc:
            self._log.debug('cancel not delivered: %s', exc)

    async def _forget_for_ever(self) -> None:
        # Reports of agents that were there before come within seconds.
        await asyncio.sleep(FORGET_EVERY_S / 10)
        self._router.on_started()
        while True:
            await asyncio.sleep(FORGET_EVERY_S)
            self.post(ForgetOld())

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
