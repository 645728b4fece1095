"""A fleet's knowledge under failures of the platform and the network."""

from __future__ import annotations

from random import Random

import pytest

from crowrudder_daemon.knowledge import PeerAnswered, PeerSilent
from crowrudder_daemon.knowledge._state import KnowledgeState
from support.aio import run
from support.bundles import digest_in, fleet, payload
from support.knowledge import FakeFleet, runtime_of

FIRST = payload(1)
SECOND = payload(2, parent=digest_in(FIRST))


class TestSpread:
    def test_in_force_everywhere_though_few_read(self) -> None:
        async def scenario() -> None:
            async with FakeFleet(fleet(24, domains=2)) as hosts:
                hosts.platform.publish(FIRST)
                await hosts.in_force(1)
                hosts.platform.reads.clear()
                for generation in range(2, 12):
                    hosts.platform.publish(payload(generation))
                    await hosts.in_force(generation)
                assert len(hosts.platform.reads) <= 6
                assert not hosts.reverts()

        run(scenario())

    def test_half_of_the_watchers_die(self) -> None:
        async def scenario() -> None:
            async with FakeFleet(fleet(16, domains=2)) as hosts:
                hosts.platform.publish(FIRST)
                await hosts.in_force(1)
                hosts.platform.reads.clear()
                hosts.platform.publish(SECOND)
                await hosts.in_force(2)
                for host in list(hosts.platform.reads)[::2]:
                    await hosts.stop(host)
                hosts.platform.publish(payload(3))
                await hosts.in_force(3)

        run(scenario())


class TestPartners:
    def test_every_neighbour_has_its_turn(self) -> None:
        """Symptom: of four neighbours one is never called in turn.

        Every fourth exchange is a probe, and the turn counted the probes.
        """
        members = fleet(5)
        state = KnowledgeState(runtime_of(members[0]), lambda _snapshot: None)
        state.neighbours = list(members[1:])
        partners = [state.next_partner(Random(1)) for _ in range(16)]
        assert set(members[1:]) <= set(partners)


class TestPlatformFaults:
    @pytest.mark.parametrize(
        'fault',
        ['down', 'stale', 'slow', 'garbage', 'half', 'flapping'],
    )
    def test_keeps_what_it_has_and_goes_on_afterwards(self, fault: str) -> None:
        """Meet a fault, publish into it, and start a process beside it.

        Nothing may go back while it lasts; a process that starts meanwhile
        learns from its peers; once it is over the new bundle is in force.
        """

        async def scenario() -> None:
            async with FakeFleet(fleet(8, domains=2)) as hosts:
                hosts.platform.publish(FIRST)
                await hosts.in_force(1)
                hosts.platform.publish(SECOND)
                await hosts.in_force(2)
                hosts.platform.fault = fault
                hosts.platform.publish(payload(3))
                await hosts.stop('host-0003')
                hosts.start(hosts.members[3])
                await hosts.until(lambda task: task.book.order.generation > 1)
                hosts.platform.fault = ''
                hosts.platform.wake()
                await hosts.in_force(3)
                assert not hosts.reverts()

        run(scenario())

    def test_whole_fleet_replaced_beside_a_stale_platform(self) -> None:
        """Symptom: an old bundle is back in force after a rolling restart.

        The platform shows generation 1 while 2 is in force; the hosts are
        replaced one after the other. Each new process read the platform
        first, so that in the end nobody remembered 2.
        """

        async def scenario() -> None:
            async with FakeFleet(fleet(6, domains=2)) as hosts:
                hosts.platform.publish(FIRST)
                hosts.platform.publish(SECOND)
                await hosts.in_force(2)
                hosts.platform.fault = 'stale'
                for member in hosts.members:
                    await hosts.stop(member.host)
                    hosts.start(member)
                    await hosts.in_force(2)
                generations = {
                    snapshot.order[0]
                    for seen in hosts.history.values()
                    for snapshot in seen
                }
                assert generations <= {0, 2}

        run(scenario())


class TestPartition:
    def test_both_sides_see_another_publication_and_heal(self) -> None:
        """Each side reads its own copy of the platform; operators race."""
        one = payload(2, parent=digest_in(FIRST), rate=2)
        other = payload(2, parent=digest_in(FIRST), rate=3)
        loser, winner = sorted((one, other), key=digest_in)

        async def scenario() -> None:
            async with FakeFleet(fleet(10, domains=2)) as hosts:
                hosts.platform.publish(FIRST)
                await hosts.in_force(1)
                hosts.other_platform = type(hosts.platform)(hosts.members)
                hosts.far_side = frozenset(
                    member.host for member in hosts.members[::2]
                )
                hosts.platform.publish(one)
                hosts.other_platform.publish(other)
                await hosts.in_force(2)
                assert (
                    len({task.book.order for task in hosts.tasks.values()}) == 2
                )
                # Long enough that each side has given the other up.
                await hosts.until(lambda task: len(task.snapshot.suspects) == 5)
                hosts.far_side = frozenset()
                await hosts.until(
                    lambda task: task.book.order.digest == digest_in(winner)
                )
                assert not hosts.reverts()
                lost = [
                    task.status()['lost']
                    for task in hosts.tasks.values()
                    if task.status()['lost']
                ]
                assert lost
                assert {each['digest'] for each in lost} == {digest_in(loser)}
                assert {each['winner'] for each in lost} == {digest_in(winner)}

        run(scenario())


class TestMembers:
    def test_leaving_is_known_everywhere_and_ends_with_the_next_life(
        self,
    ) -> None:
        """Symptom: a host that came back gets no work.

        It left; its next life says `live`, but a peer passes the old word on.
        """

        async def scenario() -> None:
            async with FakeFleet(fleet(8, domains=2)) as hosts:
                hosts.platform.publish(FIRST)
                await hosts.in_force(1)
                await hosts.tasks['host-0002'].leave()
                await hosts.until(lambda task: state_at(task) == 'leaving')
                await hosts.stop('host-0002')
                hosts.start(hosts.members[2])
                await hosts.until(lambda task: state_at(task) == 'live')

        def state_at(task: object) -> str:
            found = task.snapshot.member('host-0002')  # type: ignore[attr-defined]
            return found.state if found else ''

        run(scenario())

    def test_dead_host_is_suspected_until_it_is_back(self) -> None:
        async def scenario() -> None:
            async with FakeFleet(fleet(8, domains=2)) as hosts:
                hosts.platform.publish(FIRST)
                await hosts.in_force(1)
                await hosts.stop('host-0005')
                await hosts.until(
                    lambda task: task.snapshot.suspects == {'host-0005'}
                )
                hosts.start(hosts.members[5])
                await hosts.until(lambda task: not task.snapshot.suspects)

        run(scenario())

    def test_streams_that_break_are_a_suspicion_until_it_is_refuted(
        self,
    ) -> None:
        """An entry's streams tell before its own exchanges do."""

        async def scenario() -> None:
            async with FakeFleet(fleet(8, domains=2)) as hosts:
                hosts.platform.publish(FIRST)
                await hosts.in_force(1)
                entry = hosts.tasks['host-0000']
                entry.post(PeerSilent('host-0005', 'broken'))
                entry.post(PeerAnswered('host-0005'))
                entry.post(PeerSilent('host-0005', 'broken'))
                entry.post(PeerSilent('host-0005', 'broken'))
                await hosts.until(lambda task: bool(suspected(hosts)))
                await hosts.until(lambda task: not task.snapshot.suspects)
                assert len(suspected(hosts)) == 1

        def suspected(hosts: FakeFleet) -> list[str]:
            events = hosts.audited('host-0000', 'members')
            return [
                event.teller
                for event in events
                if 'host-0005:suspect' in event.after
            ]

        run(scenario())

    def test_list_is_spread_as_well(self) -> None:
        async def scenario() -> None:
            async with FakeFleet(fleet(24, domains=2)) as hosts:
                hosts.platform.publish(FIRST)
                await hosts.in_force(1)
                hosts.platform.reads.clear()
                hosts.platform.list_members(hosts.members[:20])
                await hosts.until(lambda task: len(task.snapshot.members) == 20)
                assert len(hosts.platform.reads) <= 6 + 4

        run(scenario())


class TestRace:
    def test_loser_is_named_in_trail_and_status_of_who_saw_it(self) -> None:
        """The platform has the loser last: the watchers name it, once."""
        first = digest_in(FIRST)
        low, high = sorted(
            (payload(2, parent=first, rate=2), payload(2, parent=first)),
            key=digest_in,
        )

        async def scenario() -> None:
            async with FakeFleet(fleet(3, domains=1)) as hosts:
                hosts.platform.publish(FIRST)
                await hosts.in_force(1)
                hosts.platform.publish(high)
                await hosts.in_force(2)
                for _ in range(3):
                    hosts.platform.publish(low)
                await hosts.read_by_all()
                for host, task in hosts.tasks.items():
                    (event,) = hosts.audited(host, 'lost to another')
                    assert event.before == digest_in(low)
                    assert event.after == digest_in(high)
                    assert task.status()['lost']['winner'] == digest_in(high)

        run(scenario())
