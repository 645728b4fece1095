"""Carry one request through its attempts to exactly one final word."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from attrs import define, evolve, field

from crowrudder_core.requests import RequestOwner, Vote
from crowrudder_core.routing import Need
from crowrudder_daemon.entry._attempt_call import AttemptCall
from crowrudder_daemon.entry._caller_request import with_work
from crowrudder_daemon.entry._claims import Claim, homes_among, take_claim
from crowrudder_daemon.entry._parts import Ended, outcome_unknown, refused
from crowrudder_model import CrowrudderError, Outcome, PeerLostError
from crowrudder_model.messages import Attempt, Piece, Queued, Refusal

if TYPE_CHECKING:
    from crowrudder_daemon.entry._attempt_call import AgentRef
    from crowrudder_daemon.entry._caller_request import CallerRequest
    from crowrudder_daemon.entry._drive_owner import DriveOwner
    from crowrudder_daemon.rpc import PeerClient

MOST_AT_ONCE = 2
"""Attempts of one request that wait or run at the same time."""

NO_COST = frozenset(('draining', 'not_loaded', 'other_version'))
"""Refusals that follow from old knowledge and took no slot anywhere.

The entry learns of the state with the refusal, so they can't become a storm;
spending the retry budget on them would fail requests during a plain rollout.
"""

CONTENDED_RETRY_S = 2.0


@define(eq=False)
class Drive:
    """One request on its way; owned by the requests task."""

    req: CallerRequest
    owner: RequestOwner
    parts: asyncio.Queue[Piece | Ended]
    _owner_task: DriveOwner
    _peers: PeerClient
    next_index: int = 0
    version: str = ''
    claim: Claim | None = None
    _calls: dict[asyncio.Task[Ended | None], AttemptCall] = field(factory=dict)
    _ended: asyncio.Queue[asyncio.Task[Ended | None]] = field(
        factory=asyncio.Queue,
    )
    _search: asyncio.Task[None] | None = None
    _leader: AttemptCall | None = None
    _avoid: set[str] = field(factory=set)
    _left: set[str] = field(factory=set)
    _last_refusal: Refusal | None = None
    _free_retry: bool = True

    async def run(self) -> None:
        """Go on until the caller has its final word."""
        ended = None
        try:
            ended = await self._run_in_time()
        except CrowrudderError as exc:
            ended = outcome_unknown('internal', str(exc))
        except Exception as exc:
            # Without a final word the caller would wait for ever.
            self._owner_task.on_fault(exc)
            ended = outcome_unknown('internal', 'an error inside the entry')
        finally:
            if ended is not None:
                self._finish(ended)

    def withdraw(self) -> bool:
        """Give up work whose caller has gone; false where it must go on."""
        if self.owner.permit_out and not self.owner.idempotent:
            return False
        if self.owner.closed is None:
            self._close(Outcome.NOT_RUN)
        return True

    def attempt(self, call: AttemptCall) -> Attempt:
        """Give the message that opens an attempt."""
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
        return with_work(attempt, self.req, self.next_index)

    def grant(self, call: AttemptCall, version: str) -> bool:
        """Decide on a permit; an answer begun goes on on its version alone."""
        if self.next_index and version != self.version:
            return False
        granted = self.owner.grant(call.key, now=_now())
        if granted:
            call.version = version
        if granted and not call.hedge:
            self._drop_others(call)
        return granted

    def take(self, call: AttemptCall, piece: Piece) -> None:
        """Hand a piece on if it is the next one of the attempt that leads.

        Two attempts of a repeatable request may answer at once. The text of
        one is passed on; a younger attempt takes over where it has caught up.
        """
        if call is not self._leader and not self._takes_over(call, piece):
            return
        if piece.index != self.next_index:
            return
        if not self.next_index:
            self._owner_task.agents.on_first_piece(call.agent, call.waited_s)
        self.next_index += 1
        self.parts.put_nowait(piece)

    def note_refusal(
        self, call: AttemptCall, refusal: Refusal, *, is_free: bool = False
    ) -> None:
        """Keep the reason and the time after which to come back.

        ``is_free`` is set where no upstream saw anything of the attempt: were
        it counted, the queue of an agent whose engine has died would use up
        the retries of what the engine was running.
        """
        self._last_refusal = refusal
        self._free_retry = is_free or refusal.reason in NO_COST
        self._owner_task.agents.on_refused(call.agent, refusal)

    def note_outcome(self, call: AttemptCall, *, failed: bool) -> None:
        """Tell the router what the run came to."""
        self._owner_task.agents.on_outcome(call.agent, failed=failed)

    def note_lost(self, call: AttemptCall, exc: PeerLostError) -> None:
        """Tell the router of a broken stream."""
        self._free_retry = False
        self._owner_task.agents.on_failed(call.agent, exc)

    async def _run_in_time(self) -> Ended:
        left_s = self.owner.deadline - _now()
        try:
            async with asyncio.timeout(max(left_s, 0)):
                refusal = await self._claim_id(left_s)
                return refusal or await self._attempts()
        except TimeoutError:
            return self._not_run('deadline_passed', 'the deadline passed')

    async def _claim_id(self, left_s: float) -> Ended | None:
        """Claim the id, so that it runs through no other entry as well."""
        head = self.req.head
        if head.idempotent or head.id_made_here:
            return None
        self.claim = Claim(
            head.request_id,
            owner=self.owner.entry,
            serial=self.owner.serial,
            addresses=homes_among(
                head.request_id,
                self._owner_task.snapshot.members,
                self._owner_task.snapshot.suspects,
            ),
        )
        vote = await take_claim(self._peers, self.claim, budget_s=left_s)
        match vote:
            case Vote.HELD:
                return None
            case Vote.TAKEN:
                return refused('already_used', 409)
            case Vote.CONTENDED:
                return refused('contended', 503, CONTENDED_RETRY_S)
            case _:
                return refused('claim_out_of_reach', 503, 1)

    async def _attempts(self) -> Ended:
        try:
            while True:
                ended = await self._step()
                if ended is not None:
                    return ended
        finally:
            if self._search is not None:
                self._search.cancel()
            self._drop_others(None)

    async def _step(self) -> Ended | None:
        """Start what is missing and wait for the next event."""
        if not self._calls:
            ended = await self._start_next()
            if ended is not None:
                return ended
        try:
            async with asyncio.timeout(self._patience_s()):
                job = await self._ended.get()
        except TimeoutError:
            self._hedge()
            return None
        call = self._calls.pop(job)
        if job.cancelled():
            self._left.add(call.agent.host)
            return None
        self._avoid.add(call.agent.host)
        return job.result()

    async def _start_next(self) -> Ended | None:
        """Start the first attempt, or one more after all others ended."""
        ask = self._owner_task.room_ask(self.req)
        for need in self._needs():
            agent = await self._owner_task.agents.choose_freshly(need, ask)
            if agent is not None:
                break
        else:
            return self._no_agent()
        share = self._owner_task.share_of(self.req.head.customer)
        late = agent.wait_s >= self.owner.deadline - _now()
        if late and not share:
            # Who has a share doesn't wait behind everybody; the agent knows.
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

    def note_queued(self, call: AttemptCall, queued: Queued) -> None:
        """Look for a free slot elsewhere where the first agent has none.

        Reports are late; an agent's own word is fresh and costs a round trip
        of one or two milliseconds, against hundreds for a run.
        """
        alone = len(self._calls) < MOST_AT_ONCE and self._search is None
        if queued.wait_s <= 0 or not alone or not self.owner.may_hedge:
            return
        if self._owner_task.may_queue_twice():
            self._search = self._owner_task.spawn(
                self._find_room(queued.wait_s)
            )

    async def _find_room(self, wait_s: float) -> None:
        """Queue at a second agent too; who has a slot first gets the permit."""
        busy = {call.agent.host for call in self._calls.values()}
        agent = await self._owner_task.agents.ask_for_room(
            self._need(also_avoid=busy),
            self._owner_task.room_ask(self.req),
        )
        sooner = agent is not None and agent.wait_s < wait_s
        if agent is not None and sooner and self.owner.may_hedge:
            self._start(agent)

    def _patience_s(self) -> float | None:
        """Give how long to wait before a second attempt is worth its cost."""
        if not self.owner.may_hedge or len(self._calls) >= MOST_AT_ONCE:
            return None
        latest = max(call.progress_at for call in self._calls.values())
        patience_s = self._owner_task.agents.router.patience_s(self.req.service)
        return max(latest + patience_s - _now(), 0)

    def _hedge(self) -> None:
        """Try a second agent when the first gives no sign of life.

        It may be paused, or its upstream may accept and never answer.
        """
        if self._patience_s() != 0:
            return
        for call in self._calls.values():
            call.progress_at = _now()
        if self._owner_task.may_retry():
            self._start_beside(hedge=self.owner.permit_out)

    def _start_beside(self, *, hedge: bool = False) -> None:
        busy = {call.agent.host for call in self._calls.values()}
        for need in self._needs(also_avoid=busy):
            agent = self._owner_task.agents.choose(need)
            if agent is not None:
                self._start(agent, hedge=hedge)
                return

    def _takes_over(self, call: AttemptCall, piece: Piece) -> bool:
        younger = (
            self._leader is None or call.key.attempt > self._leader.key.attempt
        )
        if not younger or piece.index != self.next_index:
            return False
        self._leader = call
        self.version = call.version
        self._drop_others(call)
        return True

    def _drop_others(self, kept: AttemptCall | None) -> None:
        """Cancel the attempts that nobody waits for any more."""
        for job, call in self._calls.items():
            if call is not kept and not job.done():
                job.cancel()
                self._owner_task.spawn(
                    self._owner_task.agents.cancel(call.agent, call.key)
                )

    def _finish(self, ended: Ended) -> None:
        outcome = self._close(ended.outcome)
        match outcome:
            case ended.outcome:
                pass
            case Outcome.FAILED:
                ended = Ended(
                    outcome=outcome,
                    code='upstream_failed',
                    message=ended.message,
                )
            case _:
                ended = outcome_unknown('outcome_unknown', ended.message)
        self._owner_task.note_end(ended)
        self.parts.put_nowait(ended)

    def _close(self, outcome: Outcome) -> Outcome:
        closed = self.owner.close(outcome)
        if closed is Outcome.NOT_RUN:
            self._owner_task.forget(self.owner.request_id, self.claim)
        return closed

    def _need(self, *, also_avoid: set[str] | None = None) -> Need:
        completion = self.req.completion
        return Need(
            service=self.req.service,
            adapter=completion.adapter if completion else '',
            version=self.version,
            prefix=self.req.prefix,
            avoid=frozenset(self._avoid | (also_avoid or set())),
        )

    def _needs(self, *, also_avoid: set[str] | None = None) -> list[Need]:
        """Give what to choose by; who was left for another agent comes last.

        Such an agent was not tried in vain: the entry gave the place up.
        """
        need = self._need(also_avoid=also_avoid)
        if not self._left:
            return [need]
        return [evolve(need, avoid=need.avoid | self._left), need]

    def _no_agent(self) -> Ended:
        refusal = self._last_refusal
        if refusal is None:
            return self._not_run('no_replica', 'no replica can serve this now')
        return self._not_run('overloaded', refusal.reason)

    def _not_run(self, code: str, message: str) -> Ended:
        refusal = self._last_refusal
        waits = [call.queued_wait_s for call in self._calls.values()]
        if refusal is not None:
            waits.append(refusal.retry_after_s)
        return Ended(
            outcome=Outcome.NOT_RUN,
            code=code,
            message=message,
            retry_after_s=max(waits, default=1),
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
