"""State space of one request, two agents and an unreliable network.

A state holds the real aggregates of `crowrudder_core.requests` and every
message in flight. `World.moves` yields all possible transitions; `World.apply`
returns the state after one of them. Messages are delivered in any order, may
be lost, and may be duplicated; each fault has a budget.
"""

from __future__ import annotations

import copy
import enum
from typing import TYPE_CHECKING

from attrs import define, field, frozen

from crowrudder_core.requests import (
    AgentLedger,
    RequestOwner,
    RetryElsewhere,
    Settle,
    Stage,
)
from crowrudder_model import Outcome
from crowrudder_model.messages import Attempt, AttemptKey, SettledState

if TYPE_CHECKING:
    from collections.abc import Iterator

REQUEST_ID = 'r'
DEADLINE = 10.0
BEFORE_DEADLINE = 1.0
AFTER_DEADLINE = 11.0


class Kind(enum.Enum):
    """Kind of a message in flight."""

    ATTEMPT = 'attempt'
    ASK = 'ask'
    GRANTED = 'granted'
    DENIED = 'denied'
    REFUSED = 'refused'
    SETTLE = 'settle'
    SETTLED = 'settled'
    FINAL = 'final'


_AGENT_MESSAGE_KINDS = frozenset(
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
    """A transition; ``agent`` and ``attempt`` are set where they apply."""

    act: str
    agent: str = ''
    attempt: int = 0
    message: Flying | None = None


class InvariantViolationError(AssertionError):
    """A state violates an invariant of the protocol."""


@define
class World:
    """State of one non-idempotent request, its owner, agents and network."""

    owner: RequestOwner
    ledgers: dict[str, AgentLedger]
    incarnations: dict[str, int]
    in_flight: tuple[Flying, ...] = ()
    agent_by_attempt: dict[int, str] = field(factory=dict)
    settling: frozenset[int] = frozenset()
    now: float = BEFORE_DEADLINE
    starts: int = 0
    entry_alive: bool = True
    doubles: int = 1
    losses: int = 1
    deaths: int = 1

    def key(self) -> str:
        """Return a text that is equal for equal states."""
        ledgers = {
            agent: sorted(
                (record.key.attempt, record.stage.name)
                for record in ledger.records.values()
            )
            for agent, ledger in sorted(self.ledgers.items())
        }
        holds = sorted(
            (key.attempt, hold.name)
            for key, hold in self.owner.attempt_states.items()
        )
        return repr(
            (
                ledgers,
                holds,
                self.owner.closed,
                sorted(self.incarnations.items()),
                sorted(self.in_flight),
                sorted(self.agent_by_attempt.items()),
                sorted(self.settling),
                self.now,
                self.starts,
                self.entry_alive,
                (self.doubles, self.losses, self.deaths),
            )
        )

    def moves(self) -> Iterator[Move]:
        """Yield every transition that is possible in this state."""
        for message in sorted(set(self.in_flight)):
            yield Move('deliver', message=message)
            if self.losses:
                yield Move('lose', message=message)
            if self.doubles:
                yield Move('double', message=message)
        yield from self._agent_moves()
        yield from self._entry_moves()
        if self.now < DEADLINE:
            yield Move('deadline')

    def apply(self, move: Move) -> World:
        """Return the state after a move, and check its invariants."""
        world = copy.deepcopy(self)
        getattr(world, f'_on_{move.act}')(move)
        world.check_invariants()
        return world

    def check_invariants(self) -> None:
        """Raise if a guarantee to callers is violated."""
        if self.starts > 1:
            raise InvariantViolationError('the request started twice')
        if self.owner.closed is Outcome.NOT_RUN and self.starts:
            raise InvariantViolationError(
                '"not run" was said of a started request'
            )

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
        for key, hold in self.owner.attempt_states.items():
            if hold.name in {'WAITING', 'GRANTED'}:
                yield Move(
                    'break', self.agent_by_attempt[key.attempt], key.attempt
                )
        for attempt in self.settling:
            if not self._is_settle_in_flight(attempt):
                yield Move('settle', self.agent_by_attempt[attempt], attempt)
            yield Move('unreachable', self.agent_by_attempt[attempt], attempt)

    def _is_settle_in_flight(self, attempt: int) -> bool:
        """Return whether a settle request or its answer is in flight.

        A second request would only add states.
        """
        asked = {Kind.SETTLE.value, Kind.SETTLED.value}
        return any(
            message.attempt == attempt and message.kind in asked
            for message in self.in_flight
        )

    def _may_send(self) -> bool:
        holds = self.owner.attempt_states.values()
        has_open_attempt = any(hold.name != 'ENDED' for hold in holds)
        return not has_open_attempt and len(self.owner.attempt_states) < 2

    def _on_send(self, move: Move) -> None:
        key = self.owner.open_attempt()
        self.agent_by_attempt[key.attempt] = self._incarnation_id(move.agent)
        self._send(Kind.ATTEMPT, self._incarnation_id(move.agent), key.attempt)

    def _on_deliver(self, move: Move) -> None:
        message = move.message
        if message is None:
            return
        self._remove_message(message)
        self._deliver(message)

    def _on_lose(self, move: Move) -> None:
        if move.message is not None:
            self._remove_message(move.message)
            self.losses -= 1

    def _on_double(self, move: Move) -> None:
        if move.message is not None:
            self.doubles -= 1
            self._deliver(move.message)

    def _on_ask(self, move: Move) -> None:
        if self.ledgers[move.agent].request_permit(
            _key(move.attempt), now=self.now
        ):
            self._send(Kind.ASK, self._incarnation_id(move.agent), move.attempt)
        else:
            self.ledgers[move.agent].refuse(_key(move.attempt), now=self.now)
            self._send(
                Kind.REFUSED, self._incarnation_id(move.agent), move.attempt
            )

    def _on_start(self, move: Move) -> None:
        if self.ledgers[move.agent].start(_key(move.attempt), now=self.now):
            self.starts += 1
        else:
            self._send(
                Kind.REFUSED, self._incarnation_id(move.agent), move.attempt
            )

    def _on_finish(self, move: Move) -> None:
        self.ledgers[move.agent].finish(_key(move.attempt), now=self.now)
        self._send(Kind.FINAL, self._incarnation_id(move.agent), move.attempt)

    def _on_die(self, move: Move) -> None:
        self.ledgers[move.agent] = AgentLedger()
        self.incarnations[move.agent] += 1
        self.deaths -= 1

    def _on_entry_dies(self, _move: Move) -> None:
        self.entry_alive = False
        self.deaths -= 1

    def _on_deadline(self, _move: Move) -> None:
        self.now = AFTER_DEADLINE

    def _on_give_up(self, _move: Move) -> None:
        self.owner.close(Outcome.NOT_RUN)

    def _on_break(self, move: Move) -> None:
        match self.owner.on_lost(_key(move.attempt)):
            case Settle():
                self.settling |= {move.attempt}
            case RetryElsewhere():
                return

    def _on_settle(self, move: Move) -> None:
        self._send(Kind.SETTLE, move.agent, move.attempt)

    def _on_unreachable(self, move: Move) -> None:
        self.settling -= {move.attempt}
        decision = self.owner.unreachable(_key(move.attempt))
        if isinstance(decision, Outcome):
            self.owner.close(decision)

    def _deliver(self, message: Flying) -> None:
        if Kind(message.kind) in _AGENT_MESSAGE_KINDS:
            self._deliver_to_agent(message)
        elif self.entry_alive:
            self._deliver_to_entry(message)

    def _deliver_to_agent(self, message: Flying) -> None:
        agent = message.agent.split('.')[0]
        current = self._incarnation_id(agent) == message.agent
        ledger = self.ledgers[agent]
        key = _key(message.attempt)
        match Kind(message.kind):
            case Kind.ATTEMPT:
                self._receive_attempt(ledger, message.agent, key)
            case Kind.SETTLE:
                state = (
                    ledger.settle(key, now=self.now)
                    if current
                    else SettledState.OTHER_INCARNATION
                )
                self._send(
                    Kind.SETTLED, message.agent, message.attempt, state.value
                )
            case kind if current and key in ledger.records:
                granted = kind is Kind.GRANTED
                ledger.permit(key, granted=granted, now=self.now)

    def _receive_attempt(
        self,
        ledger: AgentLedger,
        incarnation_id: str,
        key: AttemptKey,
    ) -> None:
        refusal = ledger.receive(_attempt(key, self.now), now=self.now)
        if refusal is not None:
            self._send(
                Kind.REFUSED, incarnation_id, key.attempt, refusal.reason
            )

    def _deliver_to_entry(self, message: Flying) -> None:
        key = _key(message.attempt)
        match Kind(message.kind):
            case Kind.ASK:
                granted = self.owner.grant(key, now=self.now)
                answer = Kind.GRANTED if granted else Kind.DENIED
                self._send(answer, message.agent, message.attempt)
            case Kind.SETTLED:
                self._settle_attempt(key, SettledState(message.note))
            case Kind.REFUSED if _is_streaming(self.owner, key):
                if message.note != 'duplicate_message':
                    self.owner.on_refused(key)
            case Kind.FINAL if _is_streaming(self.owner, key):
                self.owner.on_ended(key, Outcome.ANSWERED)
                if self.owner.closed is None:
                    self.owner.close(Outcome.ANSWERED)

    def _settle_attempt(self, key: AttemptKey, state: SettledState) -> None:
        if key.attempt not in self.settling or self.owner.closed is not None:
            return
        self.settling -= {key.attempt}
        decision = self.owner.on_settled(key, state)
        if isinstance(decision, Outcome):
            self.owner.close(decision)

    def _incarnation_id(self, agent: str) -> str:
        return f'{agent}.{self.incarnations[agent]}'

    def _send(
        self,
        kind: Kind,
        agent: str,
        attempt: int,
        note: str = '',
    ) -> None:
        self.in_flight += (Flying(kind.value, agent, attempt, note),)

    def _remove_message(self, message: Flying) -> None:
        remaining = list(self.in_flight)
        remaining.remove(message)
        self.in_flight = tuple(remaining)


def new_world(*, doubles: int = 1, losses: int = 1, deaths: int = 1) -> World:
    """Return the initial state, before anything was sent."""
    return World(
        owner=RequestOwner(
            REQUEST_ID,
            entry='e',
            idempotent=False,
            deadline=DEADLINE,
        ),
        ledgers={'a': AgentLedger(), 'b': AgentLedger()},
        incarnations={'a': 1, 'b': 1},
        doubles=doubles,
        losses=losses,
        deaths=deaths,
    )


def _is_streaming(owner: RequestOwner, key: AttemptKey) -> bool:
    """Return whether the entry still reads the attempt's stream."""
    hold = owner.attempt_states.get(key)
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
