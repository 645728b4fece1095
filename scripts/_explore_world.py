"""A small world of one request, two agents and an unreliable network.

It holds the real aggregates of `crowrudder_core.requests` and every message in
flight. `World.moves` lists all that may happen next; `World.after` gives the
world after one of them. Messages are delivered in any order, may be lost, and
may arrive twice while the budget for doubles lasts.
"""

from __future__ import annotations

import copy
import enum
from typing import TYPE_CHECKING

from attrs import define, field, frozen

from crowrudder_core.requests import (
    AgentLedger,
    MoveOn,
    RequestOwner,
    Settle,
    Stage,
)
from crowrudder_model import Outcome
from crowrudder_model.messages import Attempt, AttemptKey, SettledState

if TYPE_CHECKING:
    from collections.abc import Iterator

REQUEST_ID = 'r'
DEADLINE = 10.0
BEFORE = 1.0
AFTER = 11.0


class Kind(enum.Enum):
    """What a message in flight says."""

    ATTEMPT = 'attempt'
    ASK = 'ask'
    GRANTED = 'granted'
    DENIED = 'denied'
    REFUSED = 'refused'
    SETTLE = 'settle'
    SETTLED = 'settled'
    FINAL = 'final'


_TO_AGENT = frozenset(
    (
        Kind.ATTEMPT,
        Kind.GRANTED,
        Kind.DENIED,
        Kind.SETTLE,
    )
)


@frozen(order=True)
class Flying:
    """A message between the entry and one incarnation of an agent."""

    kind: str
    agent: str
    attempt: int
    note: str = ''


@frozen(order=True)
class Move:
    """One thing that may happen; ``agent`` and ``attempt`` as they apply."""

    act: str
    agent: str = ''
    attempt: int = 0
    flying: Flying | None = None


class BrokenPromiseError(AssertionError):
    """The world reached a state that must never be."""


@define
class World:
    """One request that may not be repeated, and all that surrounds it."""

    owner: RequestOwner
    ledgers: dict[str, AgentLedger]
    lives: dict[str, int]
    flying: tuple[Flying, ...] = ()
    places: dict[int, str] = field(factory=dict)
    settling: frozenset[int] = frozenset()
    now: float = BEFORE
    starts: int = 0
    entry_alive: bool = True
    doubles: int = 1
    losses: int = 1
    deaths: int = 1

    def key(self) -> str:
        """Give a text that is the same for the same state."""
        ledgers = {
            agent: sorted(
                (record.key.attempt, record.stage.name)
                for record in ledger.records.values()
            )
            for agent, ledger in sorted(self.ledgers.items())
        }
        holds = sorted(
            (key.attempt, hold.name) for key, hold in self.owner.holds.items()
        )
        return repr(
            (
                ledgers,
                holds,
                self.owner.closed,
                sorted(self.lives.items()),
                sorted(self.flying),
                sorted(self.places.items()),
                sorted(self.settling),
                self.now,
                self.starts,
                self.entry_alive,
                (self.doubles, self.losses, self.deaths),
            )
        )

    def moves(self) -> Iterator[Move]:
        """List everything that may happen next."""
        for flying in sorted(set(self.flying)):
            yield Move('deliver', flying=flying)
            if self.losses:
                yield Move('lose', flying=flying)
            if self.doubles:
                yield Move('double', flying=flying)
        yield from self._agent_moves()
        yield from self._entry_moves()
        if self.now < DEADLINE:
            yield Move('deadline')

    def after(self, move: Move) -> World:
        """Give the world after a move, and check the promises there."""
        world = copy.deepcopy(self)
        getattr(world, f'_on_{move.act}')(move)
        world.check()
        return world

    def check(self) -> None:
        """Assert what callers were promised."""
        if self.starts > 1:
            raise BrokenPromiseError('the request started twice')
        if self.owner.closed is Outcome.NOT_RUN and self.starts:
            raise BrokenPromiseError('"not run" was said of a started request')

    def _agent_moves(self) -> Iterator[Move]:
        for agent, ledger in self.ledgers.items():
            for key, record in ledger.records.items():
                match record.stage:
                    case Stage.QUEUED:
                        yield Move('ask', agent, key.attempt)
                    case Stage.PERMITTED:
                        yield Move('start', agent, key.attempt)
                    case Stage.STARTED:
                        yield Move('finish', agent, key.attempt)
            if self.deaths:
                yield Move('die', agent)

    def _entry_moves(self) -> Iterator[Move]:
        if not self.entry_alive:
            return
        if self.deaths:
            yield Move('entry_dies')
        if self.owner.closed is not None:
            return
        if self.now >= DEADLINE:
            yield Move('give_up')
        if self._may_send():
            for agent in self.ledgers:
                yield Move('send', agent)
        for key, hold in self.owner.holds.items():
            if hold.name in {'WAITING', 'GRANTED'}:
                yield Move('break', self.places[key.attempt], key.attempt)
        for attempt in self.settling:
            if not self._asked_to_settle(attempt):
                yield Move('settle', self.places[attempt], attempt)
            yield Move('unreachable', self.places[attempt], attempt)

    def _asked_to_settle(self, attempt: int) -> bool:
        """Whether a question is still under way; more add only states."""
        asked = {Kind.SETTLE.value, Kind.SETTLED.value}
        return any(
            flying.attempt == attempt and flying.kind in asked
            for flying in self.flying
        )

    def _may_send(self) -> bool:
        holds = self.owner.holds.values()
        open_holds = any(hold.name != 'ENDED' for hold in holds)
        return not open_holds and len(self.owner.holds) < 2

    def _on_send(self, move: Move) -> None:
        key = self.owner.open_attempt()
        self.places[key.attempt] = self._life(move.agent)
        self._fly(Kind.ATTEMPT, self._life(move.agent), key.attempt)

    def _on_deliver(self, move: Move) -> None:
        flying = move.flying
        if flying is None:
            return
        self._take(flying)
        self._arrive(flying)

    def _on_lose(self, move: Move) -> None:
        if move.flying is not None:
            self._take(move.flying)
            self.losses -= 1

    def _on_double(self, move: Move) -> None:
        if move.flying is not None:
            self.doubles -= 1
            self._arrive(move.flying)

    def _on_ask(self, move: Move) -> None:
        if self.ledgers[move.agent].ask(_key(move.attempt), now=self.now):
            self._fly(Kind.ASK, self._life(move.agent), move.attempt)
        else:
            self.ledgers[move.agent].refuse(_key(move.attempt), now=self.now)
            self._fly(Kind.REFUSED, self._life(move.agent), move.attempt)

    def _on_start(self, move: Move) -> None:
        if self.ledgers[move.agent].start(_key(move.attempt), now=self.now):
            self.starts += 1
        else:
            self._fly(Kind.REFUSED, self._life(move.agent), move.attempt)

    def _on_finish(self, move: Move) -> None:
        self.ledgers[move.agent].finish(_key(move.attempt), now=self.now)
        self._fly(Kind.FINAL, self._life(move.agent), move.attempt)

    def _on_die(self, move: Move) -> None:
        self.ledgers[move.agent] = AgentLedger()
        self.lives[move.agent] += 1
        self.deaths -= 1

    def _on_entry_dies(self, _move: Move) -> None:
        self.entry_alive = False
        self.deaths -= 1

    def _on_deadline(self, _move: Move) -> None:
        self.now = AFTER

    def _on_give_up(self, _move: Move) -> None:
        self.owner.close(Outcome.NOT_RUN)

    def _on_break(self, move: Move) -> None:
        match self.owner.lost(_key(move.attempt)):
            case Settle():
                self.settling |= {move.attempt}
            case MoveOn():
                return

    def _on_settle(self, move: Move) -> None:
        self._fly(Kind.SETTLE, move.agent, move.attempt)

    def _on_unreachable(self, move: Move) -> None:
        self.settling -= {move.attempt}
        verdict = self.owner.unreachable(_key(move.attempt))
        if isinstance(verdict, Outcome):
            self.owner.close(verdict)

    def _arrive(self, flying: Flying) -> None:
        if Kind(flying.kind) in _TO_AGENT:
            self._at_agent(flying)
        elif self.entry_alive:
            self._at_entry(flying)

    def _at_agent(self, flying: Flying) -> None:
        agent = flying.agent.split('.')[0]
        current = self._life(agent) == flying.agent
        ledger = self.ledgers[agent]
        key = _key(flying.attempt)
        match Kind(flying.kind):
            case Kind.ATTEMPT:
                self._attempt_arrives(ledger, flying.agent, key)
            case Kind.SETTLE:
                state = (
                    ledger.settle(key, now=self.now)
                    if current
                    else SettledState.OTHER_INCARNATION
                )
                self._fly(
                    Kind.SETTLED, flying.agent, flying.attempt, state.value
                )
            case kind if current and key in ledger.records:
                granted = kind is Kind.GRANTED
                ledger.permit(key, granted=granted, now=self.now)

    def _attempt_arrives(
        self,
        ledger: AgentLedger,
        life: str,
        key: AttemptKey,
    ) -> None:
        refusal = ledger.receive(_attempt(key, self.now), now=self.now)
        if refusal is not None:
            self._fly(Kind.REFUSED, life, key.attempt, refusal.reason)

    def _at_entry(self, flying: Flying) -> None:
        key = _key(flying.attempt)
        match Kind(flying.kind):
            case Kind.ASK:
                granted = self.owner.grant(key, now=self.now)
                answer = Kind.GRANTED if granted else Kind.DENIED
                self._fly(answer, flying.agent, flying.attempt)
            case Kind.SETTLED:
                self._settled(key, SettledState(flying.note))
            case Kind.REFUSED if _streaming(self.owner, key):
                if flying.note != 'duplicate_message':
                    self.owner.refused(key)
            case Kind.FINAL if _streaming(self.owner, key):
                self.owner.ended(key, Outcome.ANSWERED)
                if self.owner.closed is None:
                    self.owner.close(Outcome.ANSWERED)

    def _settled(self, key: AttemptKey, state: SettledState) -> None:
        if key.attempt not in self.settling or self.owner.closed is not None:
            return
        self.settling -= {key.attempt}
        verdict = self.owner.settled(key, state)
        if isinstance(verdict, Outcome):
            self.owner.close(verdict)

    def _life(self, agent: str) -> str:
        return f'{agent}.{self.lives[agent]}'

    def _fly(
        self,
        kind: Kind,
        agent: str,
        attempt: int,
        note: str = '',
    ) -> None:
        self.flying += (Flying(kind.value, agent, attempt, note),)

    def _take(self, flying: Flying) -> None:
        rest = list(self.flying)
        rest.remove(flying)
        self.flying = tuple(rest)


def new_world(*, doubles: int = 1, losses: int = 1, deaths: int = 1) -> World:
    """Give the world before anything was sent."""
    return World(
        owner=RequestOwner(
            REQUEST_ID,
            entry='e',
            idempotent=False,
            deadline=DEADLINE,
        ),
        ledgers={'a': AgentLedger(), 'b': AgentLedger()},
        lives={'a': 1, 'b': 1},
        doubles=doubles,
        losses=losses,
        deaths=deaths,
    )


def _streaming(owner: RequestOwner, key: AttemptKey) -> bool:
    """Whether the entry still listens to the attempt's stream."""
    hold = owner.holds.get(key)
    return hold is not None and hold.name in {'WAITING', 'GRANTED'}


def _key(attempt: int) -> AttemptKey:
    return AttemptKey(request_id=REQUEST_ID, attempt=attempt, entry='e')


def _attempt(key: AttemptKey, now: float) -> Attempt:
    return Attempt(
        key=key,
        customer='c',
        service='s',
        priority=5,
        budget_s=DEADLINE - now,
        idempotent=False,
    )
