"""The task that owns routing, limits and all requests of an entry."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any

from attrs import frozen

from crowrudder_core.limits import RetryBudget, TokenBucket
from crowrudder_core.requests import RequestOwner
from crowrudder_core.routing import Need, Router
from crowrudder_daemon._task import Task
from crowrudder_daemon.entry._drive import SUSPECT_S, Drive
from crowrudder_daemon.entry._parts import Ended
from crowrudder_daemon.knowledge import Snapshot
from crowrudder_model import Outcome

if TYPE_CHECKING:
    from crowrudder_daemon.entry._caller_request import CallerRequest
    from crowrudder_daemon.entry._links import AgentLost, ReportCame
    from crowrudder_daemon.process import Runtime
    from crowrudder_daemon.rpc import PeerClient
    from crowrudder_model import PeerLostError
    from crowrudder_model.declared import Customer, Service
    from crowrudder_model.messages import Piece

REMEMBER_S = 600.0
"""Seconds for which the id of a request that may not repeat is kept."""


@frozen
class AgentRef:
    """An agent as it was chosen: the incarnation matters for settling."""

    host: str
    address: str
    incarnation: str


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
        self._router = Router(random.Random(runtime.incarnation))
        self._addresses: dict[str, str] = {}
        self._budget = RetryBudget(runtime.cfg.limits.retry_share)
        self._buckets: dict[Customer, TokenBucket] = {}
        self._seen: dict[str, float] = {}
        self._drives: dict[int, tuple[Drive, asyncio.Task[Any]]] = {}

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
        self._router.on_report(message.report)

    def on_agent_lost(self, message: AgentLost) -> None:
        """Use an agent no more until it reports again."""
        self._router.on_gone(message.host)

    def on_request_came(self, message: RequestCame) -> None:
        """Start a request, or refuse it at once."""
        refusal = self._refusal(message.req)
        if refusal is not None:
            message.parts.put_nowait(refusal)
            return
        head = message.req.head
        if not head.idempotent:
            self._seen[head.request_id] = self._now()
        self._budget.on_first()
        owner = RequestOwner(
            head.request_id,
            entry=self._runtime.incarnation,
            idempotent=head.idempotent,
            deadline=self._now() + head.budget_s,
        )
        drive = Drive(message.req, owner, message.parts, self, self._peers)
        job = self.spawn(drive.run())
        self._drives[id(message.parts)] = (drive, job)
        job.add_done_callback(lambda _: self._on_done(message.parts))

    async def idle(self) -> None:
        """Wait until no request is left without its final word."""
        while self._drives:
            await asyncio.wait([job for _, job in self._drives.values()])

    def on_caller_lost(self, message: CallerLost) -> None:
        """Stop repeatable work; what may not repeat is brought to its end."""
        known = self._drives.get(id(message.parts))
        if known is not None and known[0].req.head.idempotent:
            known[1].cancel()

    def on_forget_old(self, _message: ForgetOld) -> None:
        """Drop ids that are older than the window."""
        limit = self._now() - REMEMBER_S
        self._seen = {
            request_id: at
            for request_id, at in self._seen.items()
            if at > limit
        }

    def choose(self, need: Need) -> AgentRef | None:
        """Choose an agent for an attempt."""
        host = self._router.choose(need, now=self._now())
        if host is None:
            return None
        report = self._router.agents[host].report
        return AgentRef(host, self._addresses[host], report.incarnation)

    def may_retry(self) -> bool:
        """Spend one retry."""
        return self._budget.take()

    def on_sent(self, agent: AgentRef) -> None:
        """Count an attempt."""
        self._router.on_sent(agent.host)

    def on_ended(self, agent: AgentRef) -> None:
        """Count an attempt's end."""
        self._router.on_ended(agent.host)

    def on_failed(self, agent: AgentRef, exc: PeerLostError) -> None:
        """Avoid an agent after a failed call."""
        self._log.warning('attempt lost: %s', exc)
        self._router.on_failed(agent.host, until=self._now() + SUSPECT_S)

    def forget(self, request_id: str) -> None:
        """Let an id that never ran be used again.

        A caller who is told "not run, try again" sends the same id again; it
        would be refused for good as already used.
        """
        self._seen.pop(request_id, None)

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

    def _refusal(self, req: CallerRequest) -> Ended | None:
        bundle = self.snapshot.bundle
        if bundle is None:
            return _refused('no_configuration', 503)
        if self.leaving:
            return _refused('draining', 503, retry_after_s=1)
        customer = bundle.declaration.customer(req.head.customer)
        if customer is None:
            return _refused('unknown_customer', 404)
        if not customer.may_use(req.service):
            return _refused('not_allowed', 403)
        if len(self._drives) >= self._runtime.cfg.limits.max_concurrent:
            return _refused('overloaded', 503, retry_after_s=1)
        if not req.head.idempotent and req.head.request_id in self._seen:
            return _refused('already_used', 409)
        return self._over_limit(customer)

    def _over_limit(self, customer: Customer) -> Ended | None:
        now = self._now()
        bucket = self._buckets.get(customer)
        if bucket is None:
            bucket = TokenBucket(
                rate=customer.rate_per_s,
                burst=float(customer.burst),
                at=now,
            )
            self._buckets[customer] = bucket
        if bucket.take(1, now=now):
            return None
        wait_s = bucket.wait_s(1, now=now)
        return _refused('over_limit', 429, retry_after_s=wait_s)

    def _on_done(self, parts: asyncio.Queue[Piece | Ended]) -> None:
        self._drives.pop(id(parts), None)

    async def _forget_for_ever(self) -> None:
        while True:
            await asyncio.sleep(REMEMBER_S / 10)
            self.post(ForgetOld())

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


def _refused(
    code: str,
    status: int,
    *,
    retry_after_s: float = 0,
) -> Ended:
    return Ended(
        outcome=Outcome.NOT_RUN,
        code=code,
        message=code.replace('_', ' '),
        status=status,
        retry_after_s=retry_after_s,
    )
