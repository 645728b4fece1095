"""State machine of entries, voters and claims in any order of events."""

from __future__ import annotations

from typing import Any

from attrs import define, evolve, field
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from crowrudder_core.requests import (
    AgentLedger,
    ClaimRegistry,
    ClaimResult,
    ClaimTally,
    RequestOwner,
    VoterCandidate,
    _claims,
    voters_of,
)
from crowrudder_core.requests._voters import MAX_VOTERS
from crowrudder_model import Outcome
from crowrudder_model.messages import (
    Attempt,
    AttemptKey,
    ClaimRequest,
    ReleaseRequest,
)

REQUEST_ID = 'notice-1'


HOSTS = tuple(f'agent-{number}' for number in range(8))


ENTRIES = ('entry-1', 'entry-2', 'entry-3')


BUDGET_S = 10.0


SAFE_FAULTS = 2


@define
class Home:
    """The claims and attempts that one incarnation of an agent stores."""

    book: ClaimRegistry = field(factory=ClaimRegistry)
    ledger: AgentLedger = field(factory=AgentLedger)
    life: int = 0


@define(eq=False)
class Sending:
    """One attempt of a caller, processed by one entry."""

    entry: str
    serial: int
    voters: tuple[str, ...]
    owner: RequestOwner
    count: ClaimTally
    alive: bool = True
    told: Outcome | None = None

    def claim(self) -> ClaimRequest:
        return ClaimRequest(
            request_id=REQUEST_ID,
            owner=self.entry,
            serial=self.serial,
            keep_s=BUDGET_S + _claims.CLAIM_RETENTION_S,
        )


@define(frozen=True)
class Letter:
    """A message in transit, with the step that handles it."""

    step: str
    sending: Sending
    host: str = ''
    key: AttemptKey | None = None
    life: int = 0
    word: Any = None


class World(RuleBasedStateMachine):
    """Entries, voters and a network that loses, duplicates and delays."""

    def __init__(self) -> None:
        super().__init__()
        self.faults_left = SAFE_FAULTS
        self.now = 0.0
        self.voters = {host: Home() for host in HOSTS}
        self.views = {entry: set(HOSTS) for entry in ENTRIES}
        self.lives = dict.fromkeys(ENTRIES, 0)
        self.letters: list[Letter] = []
        self.sendings: list[Sending] = []
        self.started: list[AttemptKey] = []

    @rule(entry=st.sampled_from(ENTRIES))
    def send(self, entry):
        serial = len(self.sendings) + 1
        incarnation = f'{entry}/{self.lives[entry]}'
        voters = voters_of(REQUEST_ID, places(self.views[entry]))
        sending = Sending(
            entry=incarnation,
            serial=serial,
            voters=voters,
            owner=RequestOwner(
                REQUEST_ID,
                entry=incarnation,
                idempotent=False,
                deadline=self.now + BUDGET_S,
                serial=serial,
            ),
            count=ClaimTally(voters),
        )
        self.sendings.append(sending)
        for host in voters:
            self.letters.append(Letter('claim', sending, host))

    @precondition(lambda world: world.letters)
    @rule(pick=st.integers(0, 1000), doubled=st.booleans())
    def deliver(self, pick, doubled):
        index = pick % len(self.letters)
        letter = self.letters[index]
        if not doubled:
            self.letters.pop(index)
        getattr(self, f'_on_{letter.step}')(letter)

    @precondition(lambda world: world.letters)
    @rule()
    def deliver_all(self):
        """Deliver every message in transit once, without loss."""
        for letter in list(self.letters):
            if letter in self.letters:
                self.letters.remove(letter)
                getattr(self, f'_on_{letter.step}')(letter)

    @precondition(lambda world: world.letters)
    @rule(pick=st.integers(0, 1000))
    def lose(self, pick):
        self.letters.pop(pick % len(self.letters))

    @rule(passed=st.sampled_from((0.1, 3.0, 11.0, 300.0)))
    def wait(self, passed):
        """Advance the time, at most to the end of the retention of claims."""
        longest = _claims.CLAIM_RETENTION_S
        if self.now + passed < longest:
            self.now += passed

    @rule(entry=st.sampled_from(ENTRIES))
    def restart_entry(self, entry):
        for sending in self.sendings:
            if sending.entry == f'{entry}/{self.lives[entry]}':
                sending.alive = False
        self.lives[entry] += 1

    @precondition(lambda world: world.faults_left > 0)
    @rule(host=st.sampled_from(HOSTS))
    def kill_agent(self, host):
        """Restart a voter without a handover, so that it loses its claims."""
        self.faults_left -= 1
        self._renew(host)

    @rule(host=st.sampled_from(HOSTS))
    def restart_agent(self, host):
        """Restart a voter gracefully: it hands its claims over."""
        held = self.voters[host].book.held(now=self.now)
        others = [other for other in HOSTS if other != host]
        for other in voters_of(REQUEST_ID, places(others)):
            self.voters[other].book.import_claims(held, now=self.now)
        self._renew(host)

    @precondition(lambda world: world.faults_left > 0)
    @rule(
        entry=st.sampled_from(ENTRIES),
        pick=st.integers(0, MAX_VOTERS - 1),
    )
    def lag(self, entry, pick):
        """Remove one of the id's voters from one entry's member list."""
        voters = voters_of(REQUEST_ID, places(self.views[entry]))
        self.views[entry].discard(voters[pick])
        self.faults_left -= 1

    @precondition(lambda world: world.sendings)
    @rule(pick=st.integers(0, 1000))
    def give_up(self, pick):
        sending = self.sendings[pick % len(self.sendings)]
        if sending.alive and sending.told is None:
            self._tell_not_run(sending)

    @precondition(lambda world: world._held())
    @rule(host=st.sampled_from(HOSTS))
    def attempt(self, host):
        """Queue a claimed request at an agent; two calls may pick two agents."""
        sending = self._held()[-1]
        key = sending.owner.open_attempt()
        life = self.voters[host].life
        self.letters.append(Letter('attempt', sending, host, key, life))

    def _held(self) -> list[Sending]:
        return [
            sending
            for sending in self.sendings
            if sending.alive
            and sending.told is None
            and sending.count.vote is ClaimResult.HELD
        ]

    def _on_claim(self, letter: Letter) -> None:
        book = self.voters[letter.host].book
        state = book.claim(letter.sending.claim(), now=self.now)
        reply = evolve(letter, step='claim_reply', word=state)
        self.letters.append(reply)

    def _on_claim_reply(self, letter: Letter) -> None:
        sending = letter.sending
        vote = sending.count.take(letter.host, letter.word)
        refused = vote not in {ClaimResult.HELD, ClaimResult.OPEN}
        if refused and sending.alive and sending.told is None:
            self._tell_not_run(sending)

    def _on_release(self, letter: Letter) -> None:
        sending = letter.sending
        ask = ReleaseRequest(
            request_id=REQUEST_ID, owner=sending.entry, serial=sending.serial
        )
        self.voters[letter.host].book.release(ask, now=self.now)

    def _on_attempt(self, letter: Letter) -> None:
        home = self.voters[letter.host]
        if home.life != letter.life or letter.key is None:
            return
        attempt = Attempt(
            key=letter.key,
            customer='c',
            service='s',
            priority=5,
            budget_s=BUDGET_S,
            idempotent=False,
        )
        taken = home.ledger.receive(attempt, now=self.now) is None
        if taken and home.ledger.request_permit(letter.key, now=self.now):
            self.letters.append(evolve(letter, step='permit_ask'))

    def _on_permit_ask(self, letter: Letter) -> None:
        owner = letter.sending.owner
        if not letter.sending.alive or letter.key is None:
            return
        granted = owner.grant(letter.key, now=self.now)
        self.letters.append(evolve(letter, step='permit', word=granted))

    def _on_permit(self, letter: Letter) -> None:
        home = self.voters[letter.host]
        if home.life != letter.life or letter.key is None:
            return
        permitted = home.ledger.permit(
            letter.key, granted=letter.word, now=self.now
        )
        if permitted and home.ledger.start(letter.key, now=self.now):
            self.started.append(letter.key)

    def _tell_not_run(self, sending: Sending) -> None:
        sending.told = sending.owner.close(Outcome.NOT_RUN)
        if sending.told is Outcome.NOT_RUN:
            for host in sending.voters:
                self.letters.append(Letter('release', sending, host))

    def _renew(self, host: str) -> None:
        life = self.voters[host].life + 1
        self.voters[host] = Home(life=life)

    @invariant()
    def holds(self):
        """Check that nothing runs twice and that `not_run` requests never run."""
        assert len(self.started) <= 1, self.started
        ran = {key.entry for key in self.started}
        serials = {
            sending.serial
            for sending in self.sendings
            if sending.told is Outcome.NOT_RUN
            for key in self.started
            if key in sending.owner.attempt_states and key.entry in ran
        }
        assert not serials, self.started


def places(hosts: Any) -> list[VoterCandidate]:
    """Return hosts spread over three failure domains."""
    return [
        VoterCandidate(host, f'domain-{int(host[-1]) % 3}') for host in hosts
    ]
