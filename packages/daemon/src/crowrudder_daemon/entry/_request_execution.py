"""Run one request through its attempts to exactly one final outcome."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from attrs import define, evolve, field

from crowrudder_core.requests import ClaimResult, RequestOwner
from crowrudder_core.routing import Need
from crowrudder_daemon.entry._attempt_call import AttemptCall
from crowrudder_daemon.entry._caller_request import with_payload
from crowrudder_daemon.entry._claims import Claim, acquire_claim, select_voters
from crowrudder_daemon.entry._final_outcome import (
    FinalOutcome,
    outcome_unknown,
    refused,
)
from crowrudder_model import CrowrudderError, Outcome, PeerLostError
from crowrudder_model.messages import Attempt, Piece, Queued, Refusal

if TYPE_CHECKING:
    from crowrudder_daemon.entry._attempt_call import AgentRef
    from crowrudder_daemon.entry._caller_request import CallerRequest
    from crowrudder_daemon.entry._execution_owner import ExecutionOwner
    from crowrudder_daemon.rpc import PeerClient

MAX_AT_ONCE = 2
"""Maximum concurrent attempts of one request, queued or running."""

FREE_RETRY_REASONS = frozenset(('draining', 'not_loaded', 'other_version'))
"""Refusals that stale reports cause and that occupied no slot.

The refusal itself updates the entry's view, so these retries can't become a
retry storm. Charging them to the retry budget would fail requests during an
ordinary rollout.
"""

CONTENDED_RETRY_AFTER_S = 2.0


@define(eq=False)
class RequestExecution:
    """The execution of one request; owned by the requests task."""

    req: CallerRequest
    owner: RequestOwner
    parts: asyncio.Queue[Piece | FinalOutcome]
    _owner_task: ExecutionOwner
    _peers: PeerClient
    next_index: int = 0
    version: str = ''
    claim: Claim | None = None
    _calls: dict[asyncio.Task[FinalOutcome | None], AttemptCall] = field(
        factory=dict
    )
    _ended: asyncio.Queue[asyncio.Task[FinalOutcome | None]] = field(
        factory=asyncio.Queue,
    )
    _second_search: asyncio.Task[None] | None = None
    _leader: AttemptCall | None = None
    _tried_hosts: set[str] = field(factory=set)
    _abandoned_hosts: set[str] = field(factory=set)
    _last_refusal: Refusal | None = None
    _free_retry: bool = True

    async def run(self) -> None:
        """Run until the caller has the final outcome."""
        ended = None
        try:
            ended = await self._run_until_deadline()
        except CrowrudderError as exc:
            ended = outcome_unknown('internal', str(exc))
        except Exception as exc:
            # Without a final outcome the caller would wait forever.
            self._owner_task.on_fault(exc)
            ended = outcome_unknown('internal', 'an error inside the entry')
        finally:
            if ended is not None:
                self._finish(ended)

    def withdraw(self) -> bool:
        """Drop work of a disconnected caller; return whether it is allowed."""
        if self.owner.has_outstanding_permit and not self.owner.idempotent:
            return False
        if self.owner.closed is None:
            self._close(Outcome.NOT_RUN)
        return True

    def attempt_message(self, call: AttemptCall) -> Attempt:
        """Return the message that opens an attempt."""
        head = self.req.head
        attempt = Attempt(
            key=call.key,
            customer=head.customer,
            share=self._owner_task.share_of(head.customer),
            service=self.req.service,
            priority=head.priority,
            budget_s=self.owner.deadline - _now(),
            idempotent=head.idempotent,
            version=self.version,
        )
        return with_payload(attempt, self.req, self.next_index)

    def grant(self, call: AttemptCall, version: str) -> bool:
        """Return whether to permit a run; a begun answer keeps its version."""
        if self.next_index and version != self.version:
            return False
        granted = self.owner.grant(call.key, now=_now())
        if granted:
            call.version = version
        if granted and not call.hedge:
            self._cancel_others(call)
        return granted

    def accept_piece(self, call: AttemptCall, piece: Piece) -> None:
        """Forward a piece if it is the next one of the leading attempt.

        Two attempts of an idempotent request may answer concurrently. Only one
        is forwarded; a newer attempt becomes the leader once it has caught up.
        """
        if call is not self._leader and not self._takes_over(call, piece):
            return
        if piece.index != self.next_index:
            return
        if not self.next_index:
            self._owner_task.agents.on_first_piece(call.agent, call.waited_s)
        self.next_index += 1
        self.parts.put_nowait(piece)

    def record_refusal(
        self, call: AttemptCall, refusal: Refusal, *, is_free: bool = False
    ) -> None:
        """Record the reason and the time after which to retry.

        ``is_free`` is set if the attempt reached no upstream. If such retries
        were charged, the queue of an agent whose engine has died would use up
        the retry budget of the requests that the engine was running.
        """
        self._last_refusal = refusal
        self._free_retry = is_free or refusal.reason in FREE_RETRY_REASONS
        self._owner_task.agents.on_refused(call.agent, refusal)

    def record_outcome(self, call: AttemptCall, *, failed: bool) -> None:
        """Report to the router whether the run failed."""
        self._owner_task.agents.on_outcome(call.agent, failed=failed)

    def record_lost(self, call: AttemptCall, exc: PeerLostError) -> None:
        """Report a broken stream to the router."""
        self._free_retry = False
        self._owner_task.agents.on_failed(call.agent, exc)

    async def _run_until_deadline(self) -> FinalOutcome:
        left_s = self.owner.deadline - _now()
        try:
            async with asyncio.timeout(max(left_s, 0)):
                refusal = await self._claim_id(left_s)
                return refusal or await self._attempts()
        except TimeoutError:
            return self._not_run('deadline_passed', 'the deadline passed')

    async def _claim_id(self, left_s: float) -> FinalOutcome | None:
        """Claim the id, so that it can't also run through another entry."""
        head = self.req.head
        if head.idempotent or head.id_generated:
            return None
        self.claim = Claim(
            head.request_id,
            owner=self.owner.entry,
            serial=self.owner.serial,
            addresses=select_voters(
                head.request_id,
                self._owner_task.snapshot.members,
                self._owner_task.snapshot.suspects,
            ),
        )
        result = await acquire_claim(self._peers, self.claim, budget_s=left_s)
        match result:
            case ClaimResult.HELD:
                return None
            case ClaimResult.TAKEN:
                return refused('already_used', 409)
            case ClaimResult.CONTENDED:
                return refused('contended', 503, CONTENDED_RETRY_AFTER_S)
            case _:
                return refused('claim_out_of_reach', 503, 1)

    async def _attempts(self) -> FinalOutcome:
        try:
            while True:
                ended = await self._step()
                if ended is not None:
                    return ended
        finally:
            if self._second_search is not None:
                self._second_search.cancel()
            self._cancel_others(None)

    async def _step(self) -> FinalOutcome | None:
        """Start an attempt if none is open and wait for the next event."""
        if not self._calls:
            ended = await self._start_next()
            if ended is not None:
                return ended
        try:
            async with asyncio.timeout(self._hedge_wait_s()):
                job = await self._ended.get()
        except TimeoutError:
            self._hedge()
            return None
        call = self._calls.pop(job)
        if job.cancelled():
            self._abandoned_hosts.add(call.agent.host)
            return None
        self._tried_hosts.add(call.agent.host)
        return job.result()

    async def _start_next(self) -> FinalOutcome | None:
        """Start the first attempt, or another after all others have ended."""
        request = self._owner_task.capacity_request(self.req)
        for need in self._needs_by_preference():
            agent = await self._owner_task.agents.choose_with_query(
                need, request
            )
            if agent is not None:
                break
        else:
            return self._no_agent()
        share = self._owner_task.share_of(self.req.head.customer)
        misses_deadline = agent.wait_s >= self.owner.deadline - _now()
        if misses_deadline and not share:
            # A customer with a share doesn't wait behind all others; the agent
            # knows its actual wait.
            return refused('overloaded', 503, agent.wait_s)
        if not self._free_retry and not self._owner_task.may_retry():
            return self._not_run('overloaded', 'the retry budget is spent')
        self._start(agent)
        return None

    def _start(self, agent: AgentRef, *, hedge: bool = False) -> None:
        self._free_retry = False
        call = AttemptCall(
            agent=agent,
            key=self.owner.open_attempt(hedge=hedge),
            hedge=hedge,
            next_index=self.next_index,
            progress_at=_now(),
            request=self,
            peers=self._peers,
        )
        self._owner_task.agents.on_sent(agent)
        job = self._owner_task.spawn(call.run())
        job.add_done_callback(lambda _: self._owner_task.agents.on_ended(agent))
        job.add_done_callback(self._ended.put_nowait)
        self._calls[job] = call

    def record_queued(self, call: AttemptCall, queued: Queued) -> None:
        """Search for a free slot elsewhere if the first agent has none.

        Reports lag behind. Querying an agent returns its current state for a
        round trip of one or two milliseconds; a run takes hundreds.
        """
        is_single = (
            len(self._calls) < MAX_AT_ONCE and self._second_search is None
        )
        if queued.wait_s <= 0 or not is_single or not self.owner.may_hedge:
            return
        if self._owner_task.may_queue_twice():
            self._second_search = self._owner_task.spawn(
                self._queue_at_second(queued.wait_s)
            )

    async def _queue_at_second(self, wait_s: float) -> None:
        """Queue at a second agent too; the first free slot gets the permit."""
        hosts_in_use = {call.agent.host for call in self._calls.values()}
        agent = await self._owner_task.agents.choose_by_query(
            self._need(also_avoid=hosts_in_use),
            self._owner_task.capacity_request(self.req),
        )
        is_sooner = agent is not None and agent.wait_s < wait_s
        if agent is not None and is_sooner and self.owner.may_hedge:
            self._start(agent)

    def _hedge_wait_s(self) -> float | None:
        """Return how long to wait before hedging; None if not allowed."""
        if not self.owner.may_hedge or len(self._calls) >= MAX_AT_ONCE:
            return None
        latest = max(call.progress_at for call in self._calls.values())
        hedge_delay_s = self._owner_task.agents.router.hedge_delay_s(
            self.req.service
        )
        return max(latest + hedge_delay_s - _now(), 0)

    def _hedge(self) -> None:
        """Start an attempt at a second agent if the first makes no progress.

        The first agent may be paused, or its upstream may accept the request
        and never answer.
        """
        if self._hedge_wait_s() != 0:
            return
        for call in self._calls.values():
            call.progress_at = _now()
        if self._owner_task.may_retry():
            self._start_second(hedge=self.owner.has_outstanding_permit)

    def _start_second(self, *, hedge: bool = False) -> None:
        hosts_in_use = {call.agent.host for call in self._calls.values()}
        for need in self._needs_by_preference(also_avoid=hosts_in_use):
            agent = self._owner_task.agents.choose(need)
            if agent is not None:
                self._start(agent, hedge=hedge)
                return

    def _takes_over(self, call: AttemptCall, piece: Piece) -> bool:
        is_newer = (
            self._leader is None or call.key.attempt > self._leader.key.attempt
        )
        if not is_newer or piece.index != self.next_index:
            return False
        self._leader = call
        self.version = call.version
        self._cancel_others(call)
        return True

    def _cancel_others(self, kept: AttemptCall | None) -> None:
        """Cancel all open attempts but one, here and at their agents."""
        for job, call in self._calls.items():
            if call is not kept and not job.done():
                job.cancel()
                self._owner_task.spawn(
                    self._owner_task.agents.cancel(call.agent, call.key)
                )

    def _finish(self, ended: FinalOutcome) -> None:
        outcome = self._close(ended.outcome)
        match outcome:
            case ended.outcome:
                pass
            case Outcome.FAILED:
                ended = FinalOutcome(
                    outcome=outcome,
                    code='upstream_failed',
                    message=ended.message,
                )
            case _:
                ended = outcome_unknown('outcome_unknown', ended.message)
        self._owner_task.record_end(ended)
        self.parts.put_nowait(ended)

    def _close(self, outcome: Outcome) -> Outcome:
        closed = self.owner.close(outcome)
        if closed is Outcome.NOT_RUN:
            self._owner_task.release_id(self.owner.request_id, self.claim)
        return closed

    def _need(self, *, also_avoid: set[str] | None = None) -> Need:
        completion = self.req.completion
        return Need(
            service=self.req.service,
            adapter=completion.adapter if completion else '',
            version=self.version,
            prefix=self.req.prefix,
            avoid=frozenset(self._tried_hosts | (also_avoid or set())),
        )

    def _needs_by_preference(
        self, *, also_avoid: set[str] | None = None
    ) -> list[Need]:
        """Return selection criteria, the preferred ones first.

        Agents at which the entry cancelled a queued attempt are tried last.
        They aren't excluded, since the attempt there didn't fail.
        """
        need = self._need(also_avoid=also_avoid)
        if not self._abandoned_hosts:
            return [need]
        return [evolve(need, avoid=need.avoid | self._abandoned_hosts), need]

    def _no_agent(self) -> FinalOutcome:
        refusal = self._last_refusal
        if refusal is None:
            return self._not_run('no_replica', 'no replica can serve this now')
        return self._not_run('overloaded', refusal.reason)

    def _not_run(self, code: str, message: str) -> FinalOutcome:
        refusal = self._last_refusal
        waits = [call.queued_wait_s for call in self._calls.values()]
        if refusal is not None:
            waits.append(refusal.retry_after_s)
        return FinalOutcome(
            outcome=Outcome.NOT_RUN,
            code=code,
            message=message,
            retry_after_s=max(waits, default=1),
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
