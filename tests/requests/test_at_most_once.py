"""One id through several entries: it runs once, whatever is lost."""

from __future__ import annotations

import pytest
from attrs import evolve
from hypothesis import settings
from hypothesis.stateful import (
    run_state_machine_as_test,
)

from crowrudder_core.requests import (
    ClaimBook,
    Place,
    _claims,
    homes_of,
)
from crowrudder_model import Outcome
from crowrudder_model.messages import (
    ClaimAsk,
    ClaimState,
    ReleaseAsk,
)
from support.claims_world import (
    Letter,
    World,
)

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
