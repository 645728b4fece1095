"""At-most-once execution of an id that is sent through several entries."""

from __future__ import annotations

import pytest
from attrs import evolve
from hypothesis import settings
from hypothesis.stateful import (
    run_state_machine_as_test,
)

from crowrudder_core.requests import (
    ClaimRegistry,
    VoterCandidate,
    _claims,
    voters_of,
)
from crowrudder_model import Outcome
from crowrudder_model.messages import (
    ClaimRequest,
    ClaimState,
    ReleaseRequest,
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
    """The same id through three entries with message loss and restarts."""

    def test_request_runs_at_most_once_with_two_faults(self):
        """Guards against a request that runs twice.

        The caller sends the same id through a second entry while the first
        runs it, has ended it or is dead. In addition two voters lose their
        records, or the lists of two entries differ by two hosts, or one of
        each. An entry alone knows only the ids that it forwarded itself.
        """
        run_state_machine_as_test(World, settings=SEARCH)

    def test_smaller_quorum_violates_the_invariant(self, monkeypatch):
        """A quorum of three voters doesn't tolerate the same two faults."""
        monkeypatch.setattr(_claims, 'quorum', lambda voters: 3)
        with pytest.raises(AssertionError):
            run_through_entries_with_different_lists()

    def test_quorum_keeps_the_same_scenario_safe(self):
        world = run_through_entries_with_different_lists()
        assert len(world.started) == 1


def run_through_entries_with_different_lists() -> World:
    """Run an id through two entries whose lists differ by two hosts.

    The network loses the claims of the first entry to its last two voters,
    and the claim of the second entry to the only voter that has a record.
    """
    world = World()
    world.send('entry-1')
    voters = world.sendings[0].voters
    world.letters = [each for each in world.letters if each.host in voters[:3]]
    deliver_and_start(world, voters[0])
    world.views['entry-2'] -= set(voters[:2])
    world.send('entry-2')
    world.letters = [each for each in world.letters if each.host != voters[2]]
    deliver_and_start(world, voters[3])
    if not world.started:
        # Three answers are too few: deliver the claim to the fourth voter too.
        world.letters.append(Letter('claim', world.sendings[0], voters[3]))
        deliver_and_start(world, voters[0])
    return world


def deliver_and_start(world: World, host: str) -> None:
    """Deliver all messages, then start the attempt at the agent if claimed."""
    for _ in range(len(Outcome)):
        world.deliver_all()
    if world._held():
        world.attempt(host)
    for _ in range(len(Outcome)):
        world.deliver_all()
    world.holds()


class TestVoters:
    """Selection of the voters of an id."""

    def test_lists_that_differ_by_one_host_differ_by_one_voter(self):
        hosts = [f'host-{number}' for number in range(30)]
        candidates = [
            VoterCandidate(host, f'd{number % 4}')
            for number, host in enumerate(hosts)
        ]
        for number in range(200):
            request_id = f'r{number}'
            chosen = set(voters_of(request_id, candidates))
            for removed_host in chosen:
                remaining = [
                    place for place in candidates if place.host != removed_host
                ]
                other = set(voters_of(request_id, remaining))
                assert len(chosen & other) == len(chosen) - 1

    def test_voters_are_in_different_failure_domains(self):
        candidates = [
            VoterCandidate(f'h{number}', f'd{number % 6}')
            for number in range(60)
        ]
        domains = {place.host: place.failure_domain for place in candidates}
        for number in range(100):
            voters = voters_of(f'r{number}', candidates)
            assert len({domains[home] for home in voters}) == len(voters) == 5


class TestClaimBook:
    """Claims and releases in different orders."""

    CLAIM = ClaimRequest(request_id='r', owner='e1', serial=1, keep_s=60.0)
    RELEASE = ReleaseRequest(request_id='r', owner='e1', serial=1)

    def test_claim_received_after_its_release_is_rejected(self):
        book = ClaimRegistry()
        book.release(self.RELEASE, now=0.0)
        assert book.claim(self.CLAIM, now=1.0) is ClaimState.TAKEN
        other = evolve(self.CLAIM, owner='e2')
        assert book.claim(other, now=1.0) is ClaimState.GRANTED

    def test_released_id_can_be_claimed_again(self):
        book = ClaimRegistry()
        book.claim(self.CLAIM, now=0.0)
        book.release(self.RELEASE, now=1.0)
        again = evolve(self.CLAIM, serial=2)
        assert book.claim(again, now=2.0) is ClaimState.GRANTED
        book.release(self.RELEASE, now=3.0)
        other = evolve(self.CLAIM, owner='e2')
        assert book.claim(other, now=4.0) is ClaimState.TAKEN

    def test_rejected_request_does_not_release_another_of_its_owner(self):
        """Guards against an id that runs twice although all voters hold it.

        An id is claimed and starts; the same entry claims it again, is
        rejected and releases; another entry claims it. The release applied to
        all earlier claims of its owner.
        """
        book = ClaimRegistry()
        book.claim(self.CLAIM, now=0.0)
        book.release(evolve(self.RELEASE, serial=2), now=1.0)
        other = evolve(self.CLAIM, owner='e2')
        assert book.claim(other, now=2.0) is ClaimState.TAKEN

    def test_full_or_leaving_voter_abstains(self):
        book = ClaimRegistry(most=1)
        book.claim(evolve(self.CLAIM, request_id='other'), now=0.0)
        assert book.claim(self.CLAIM, now=0.0) is ClaimState.ABSTAINED
        book = ClaimRegistry()
        book.claim(self.CLAIM, now=0.0)
        book.leaving = True
        other = evolve(self.CLAIM, owner='e2')
        assert book.claim(other, now=0.0) is ClaimState.TAKEN
        fresh = evolve(self.CLAIM, request_id='s')
        assert book.claim(fresh, now=0.0) is ClaimState.ABSTAINED

    def test_claim_expires_after_its_retention(self):
        book = ClaimRegistry()
        book.claim(self.CLAIM, now=0.0)
        book.forget(now=59.0)
        assert len(book) == 1
        book.forget(now=61.0)
        assert not len(book)
