"""One id through several entries: it runs once, whatever is lost."""

from __future__ import annotations

from typing import Any

import pytest
from attrs import define, evolve, field
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from crowrudder_core.requests import (
    AgentLedger,
    ClaimBook,
    ClaimCount,
    Place,
    RequestOwner,
    Vote,
    _claims,
    homes_of,
)
from crowrudder_core.requests._homes import MOST_HOMES
from crowrudder_model import Outcome
from crowrudder_model.messages import (
    Attempt,
    AttemptKey,
    ClaimAsk,
    ClaimState,
    ReleaseAsk,
)

REQUEST_ID = 'notice-1'
HOSTS = tuple(f'agent-{number}' for number in range(8))
ENTRIES = ('entry-1', 'entry-2', 'entry-3')
BUDGET_S = 10.0
SAFE_FAULTS = 2


@define
class Home:
    """An agent: its memory of claims and of attempts, for one life."""

    book: ClaimBook = field(factory=ClaimBook)
    ledger: AgentLedger = field(factory=AgentLedger)
    life: int = 0


@define(eq=False)
class Sending:
    """One try of a caller, carried by one entry."""

    entry: str
    serial: int
    homes: tuple[str, ...]
    owner: RequestOwner
    count: ClaimCount
    alive: bool = True
    told: Outcome | None = None

    def claim(self) -> ClaimAsk:
        return ClaimAsk(
            request_id=REQUEST_ID,
            owner=self.entry,
            serial=self.serial,
            keep_s=BUDGET_S + _claims.REMEMBER_S,
        )


@define(frozen=True)
class Letter:
    """A message under way to a step of the world."""

    step: str
    sending: Sending
    host: str = ''
    key: AttemptKey | None = None
    life: int = 0
    word: Any = None


class World(RuleBasedStateMachine):
    """Entries, homes and a network that loses, doubles and delays."""

    def __init__(self) -> None:
        super().__init__()
        self.faults_left = SAFE_FAULTS
        self.now = 0.0
        self.homes = {host: Home() for host in HOSTS}
        self.views = {entry: set(HOSTS) for entry in ENTRIES}
        self.lives = dict.fromkeys(ENTRIES, 0)
        self.letters: list[Letter] = []
        self.sendings: list[Sending] = []
        self.started: list[AttemptKey] = []

    @rule(entry=st.sampled_from(ENTRIES))
    def send(self, entry):
        serial = len(self.sendings) + 1
        incarnation = f'{entry}/{self.lives[entry]}'
        homes = homes_of(REQUEST_ID, places(self.views[entry]))
        sending = Sending(
            entry=incarnation,
            serial=serial,
            homes=homes,
            owner=RequestOwner(
                REQUEST_ID,
                entry=incarnation,
                idempotent=False,
                deadline=self.now + BUDGET_S,
                serial=serial,
            ),
            count=ClaimCount(homes),
        )
        self.sendings.append(sending)
        for host in homes:
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
        """Let the network be good for once."""
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
        """Let time pass, at most as long as an id is remembered."""
        longest = _claims.REMEMBER_S
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
        """Lose a home's memory at once."""
        self.faults_left -= 1
        self._renew(host)

    @rule(host=st.sampled_from(HOSTS))
    def restart_agent(self, host):
        """Restart a home in good order: it hands its claims over."""
        held = self.homes[host].book.held(now=self.now)
        others = [other for other in HOSTS if other != host]
        for other in homes_of(REQUEST_ID, places(others)):
            self.homes[other].book.take_over(held, now=self.now)
        self._renew(host)

    @precondition(lambda world: world.faults_left > 0)
    @rule(
        entry=st.sampled_from(ENTRIES),
        pick=st.integers(0, MOST_HOMES - 1),
    )
    def lag(self, entry, pick):
        """Let one entry's list lack one of the id's homes."""
        homes = homes_of(REQUEST_ID, places(self.views[entry]))
        self.views[entry].discard(homes[pick])
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
        """Queue a claimed request at an agent; at two, if drawn twice."""
        sending = self._held()[-1]
        key = sending.owner.open_attempt()
        life = self.homes[host].life
        self.letters.append(Letter('attempt', sending, host, key, life))

    def _held(self) -> list[Sending]:
        return [
            sending
            for sending in self.sendings
            if sending.alive
            and sending.told is None
            and sending.count.vote is Vote.HELD
        ]

    def _on_claim(self, letter: Letter) -> None:
        book = self.homes[letter.host].book
        state = book.claim(letter.sending.claim(), now=self.now)
        reply = evolve(letter, step='claim_reply', word=state)
        self.letters.append(reply)

    def _on_claim_reply(self, letter: Letter) -> None:
        sending = letter.sending
        vote = sending.count.take(letter.host, letter.word)
        refused = vote not in {Vote.HELD, Vote.OPEN}
        if refused and sending.alive and sending.told is None:
            self._tell_not_run(sending)

    def _on_release(self, letter: Letter) -> None:
        sending = letter.sending
        ask = ReleaseAsk(
            request_id=REQUEST_ID, owner=sending.entry, serial=sending.serial
        )
        self.homes[letter.host].book.release(ask, now=self.now)

    def _on_attempt(self, letter: Letter) -> None:
        home = self.homes[letter.host]
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
        if taken and home.ledger.ask(letter.key, now=self.now):
            self.letters.append(evolve(letter, step='permit_ask'))

    def _on_permit_ask(self, letter: Letter) -> None:
        owner = letter.sending.owner
        if not letter.sending.alive or letter.key is None:
            return
        granted = owner.grant(letter.key, now=self.now)
        self.letters.append(evolve(letter, step='permit', word=granted))

    def _on_permit(self, letter: Letter) -> None:
        home = self.homes[letter.host]
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
            for host in sending.homes:
                self.letters.append(Letter('release', sending, host))

    def _renew(self, host: str) -> None:
        life = self.homes[host].life + 1
        self.homes[host] = Home(life=life)

    @invariant()
    def holds(self):
        """Nothing runs twice, and what was told not to run never runs."""
        assert len(self.started) <= 1, self.started
        ran = {key.entry for key in self.started}
        serials = {
            sending.serial
            for sending in self.sendings
            if sending.told is Outcome.NOT_RUN
            for key in self.started
            if key in sending.owner.holds and key.entry in ran
        }
        assert not serials, self.started


def places(hosts: Any) -> list[Place]:
    """Put hosts into three failure domains."""
    return [Place(host, f'domain-{int(host[-1]) % 3}') for host in hosts]


SEARCH = settings(
    max_examples=300,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
    database=None,
)


class TestWorld:
    """The same id through three entries, under every loss at once."""

    def test_an_id_runs_once_with_two_faults(self):
        """Symptom: a notice goes out twice.

        Sequence: the caller sends the same id through a second entry, while
        the first runs it, has ended, or is dead; two homes lose their memory,
        or two entries' lists differ by two hosts, or one of each.
        Cause: each entry knew only the ids that went through itself.
        """
        run_state_machine_as_test(World, settings=SEARCH)

    def test_the_check_can_fail(self, monkeypatch):
        """A quorum of three homes doesn't stand the same two faults."""
        monkeypatch.setattr(_claims, 'quorum', lambda homes: 3)
        with pytest.raises(AssertionError):
            two_entries_with_other_lists()

    def test_the_same_story_is_safe_with_the_quorum(self):
        world = two_entries_with_other_lists()
        assert len(world.started) == 1


def two_entries_with_other_lists() -> World:
    """Run an id through two entries whose lists differ by two hosts.

    The network loses what the first entry sends to its last two homes, and
    what the second sends to the only home that knows more.
    """
    world = World()
    world.send('entry-1')
    homes = world.sendings[0].homes
    world.letters = [each for each in world.letters if each.host in homes[:3]]
    run_to_the_start(world, homes[0])
    world.views['entry-2'] -= set(homes[:2])
    world.send('entry-2')
    world.letters = [each for each in world.letters if each.host != homes[2]]
    run_to_the_start(world, homes[3])
    if not world.started:
        # Out of reach with three words: the fourth home hears it as well.
        world.letters.append(Letter('claim', world.sendings[0], homes[3]))
        run_to_the_start(world, homes[0])
    return world


def run_to_the_start(world: World, host: str) -> None:
    """Deliver everything, and let the agent run what is claimed."""
    for _ in range(len(Outcome)):
        world.deliver_all()
    if world._held():
        world.attempt(host)
    for _ in range(len(Outcome)):
        world.deliver_all()
    world.holds()


class TestHomes:
    """Where an id is remembered."""

    def test_lists_that_differ_by_a_host_differ_by_a_home(self):
        hosts = [f'host-{number}' for number in range(30)]
        spread = [
            Place(host, f'd{number % 4}') for number, host in enumerate(hosts)
        ]
        for number in range(200):
            request_id = f'r{number}'
            full = set(homes_of(request_id, spread))
            for gone in full:
                kept = [place for place in spread if place.host != gone]
                other = set(homes_of(request_id, kept))
                assert len(full & other) == len(full) - 1

    def test_homes_lie_in_different_failure_domains(self):
        spread = [Place(f'h{number}', f'd{number % 6}') for number in range(60)]
        domains = {place.host: place.failure_domain for place in spread}
        for number in range(100):
            homes = homes_of(f'r{number}', spread)
            assert len({domains[home] for home in homes}) == len(homes) == 5


class TestClaimBook:
    """The order of claims and releases."""

    ASK = ClaimAsk(request_id='r', owner='e1', serial=1, keep_s=60.0)
    BACK = ReleaseAsk(request_id='r', owner='e1', serial=1)

    def test_a_claim_that_comes_after_its_release_is_refused(self):
        book = ClaimBook()
        book.release(self.BACK, now=0.0)
        assert book.claim(self.ASK, now=1.0) is ClaimState.TAKEN
        other = evolve(self.ASK, owner='e2')
        assert book.claim(other, now=1.0) is ClaimState.GRANTED

    def test_a_released_id_may_be_claimed_again(self):
        book = ClaimBook()
        book.claim(self.ASK, now=0.0)
        book.release(self.BACK, now=1.0)
        again = evolve(self.ASK, serial=2)
        assert book.claim(again, now=2.0) is ClaimState.GRANTED
        book.release(self.BACK, now=3.0)
        other = evolve(self.ASK, owner='e2')
        assert book.claim(other, now=4.0) is ClaimState.TAKEN

    def test_a_refused_request_does_not_free_its_owners_other_one(self):
        """Symptom: an id runs twice though all homes hold it.

        Sequence: it is claimed and starts; the same entry claims it once
        more, is refused and releases; another entry claims it.
        Cause: a release counted for all earlier claims of its owner.
        """
        book = ClaimBook()
        book.claim(self.ASK, now=0.0)
        book.release(evolve(self.BACK, serial=2), now=1.0)
        other = evolve(self.ASK, owner='e2')
        assert book.claim(other, now=2.0) is ClaimState.TAKEN

    def test_a_full_or_leaving_book_vouches_for_nothing(self):
        book = ClaimBook(most=1)
        book.claim(evolve(self.ASK, request_id='other'), now=0.0)
        assert book.claim(self.ASK, now=0.0) is ClaimState.ABSTAINED
        book = ClaimBook()
        book.claim(self.ASK, now=0.0)
        book.leaving = True
        other = evolve(self.ASK, owner='e2')
        assert book.claim(other, now=0.0) is ClaimState.TAKEN
        fresh = evolve(self.ASK, request_id='s')
        assert book.claim(fresh, now=0.0) is ClaimState.ABSTAINED

    def test_a_claim_is_kept_for_its_time_and_no_longer(self):
        book = ClaimBook()
        book.claim(self.ASK, now=0.0)
        book.forget(now=59.0)
        assert len(book) == 1
        book.forget(now=61.0)
        assert not len(book)
