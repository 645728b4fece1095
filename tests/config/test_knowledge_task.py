"""Configuration and members of a fleet under platform and network faults."""

from __future__ import annotations

from random import Random

import pytest

from crowrudder_daemon.knowledge import PeerAnswered, PeerUnreachable
from crowrudder_daemon.knowledge._state import KnowledgeState
from support.aio import run
from support.bundles import digest_in, fleet, payload
from support.knowledge import FakeFleet, runtime_of

FIRST = payload(1)
SECOND = payload(2, parent=digest_in(FIRST))


class TestSpread:
    def test_change_reaches_all_hosts_with_few_reads(self) -> None:
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

    def test_change_reaches_all_hosts_after_half_of_the_watchers_die(
        self,
    ) -> None:
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
    def test_every_neighbour_is_called(self) -> None:
        """Probes must not make the round-robin skip a neighbour.

        Every fourth exchange is a probe. If the round-robin counted the
        probes, one of four neighbours would never be called.
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
    def test_no_revert_during_a_fault_and_progress_after_it(
        self, fault: str
    ) -> None:
        """Publish a bundle and start a process during a platform fault.

        No host may revert to an older bundle during the fault; a process that
        starts during it learns from its peers; after it the new bundle comes
        into force.
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
                await hosts.until(
                    lambda task: task.active_config.order.generation > 1
                )
                hosts.platform.fault = ''
                hosts.platform.wake()
                await hosts.in_force(3)
                assert not hosts.reverts()

        run(scenario())

    def test_rolling_restart_with_a_stale_platform(self) -> None:
        """A rolling restart must not bring an old bundle back into force.

        The platform returns generation 1 while 2 is in force; the hosts are
        replaced one after the other. If each new process used the platform's
        bundle first, no host would have generation 2 in the end.
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
    def test_partition_with_concurrent_publications_heals(self) -> None:
        """Each side reads its own platform copy; operators publish on both."""
        first_bundle = payload(2, parent=digest_in(FIRST), rate=2)
        other = payload(2, parent=digest_in(FIRST), rate=3)
        loser, winner = sorted((first_bundle, other), key=digest_in)

        async def scenario() -> None:
            async with FakeFleet(fleet(10, domains=2)) as hosts:
                hosts.platform.publish(FIRST)
                await hosts.in_force(1)
                hosts.other_platform = type(hosts.platform)(hosts.members)
                hosts.far_side = frozenset(
                    member.host for member in hosts.members[::2]
                )
                hosts.platform.publish(first_bundle)
                hosts.other_platform.publish(other)
                await hosts.in_force(2)
                assert (
                    len(
                        {
                            task.active_config.order
                            for task in hosts.tasks.values()
                        }
                    )
                    == 2
                )
                # Wait until each side suspects all hosts of the other.
                await hosts.until(lambda task: len(task.snapshot.suspects) == 5)
                hosts.far_side = frozenset()
                await hosts.until(
                    lambda task: (
                        task.active_config.order.digest == digest_in(winner)
                    )
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
    def test_leaving_state_spreads_and_ends_with_the_next_incarnation(
        self,
    ) -> None:
        """A restarted host must get work again.

        The host left; its new incarnation reports `live`, but a peer forwards
        the old status.
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

    def test_dead_host_is_suspected_until_it_restarts(self) -> None:
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

    def test_broken_streams_cause_a_suspicion_until_refuted(
        self,
    ) -> None:
        """An entry's streams show a failure before its exchanges do."""

        async def scenario() -> None:
            async with FakeFleet(fleet(8, domains=2)) as hosts:
                hosts.platform.publish(FIRST)
                await hosts.in_force(1)
                entry = hosts.tasks['host-0000']
                entry.post(PeerUnreachable('host-0005', 'broken'))
                entry.post(PeerAnswered('host-0005'))
                entry.post(PeerUnreachable('host-0005', 'broken'))
                entry.post(PeerUnreachable('host-0005', 'broken'))
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

    def test_member_list_reaches_all_hosts_with_few_reads(self) -> None:
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
    def test_loser_is_in_audit_log_and_status_of_hosts_that_read_it(
        self,
    ) -> None:
        """The platform publishes the loser last; each watcher reports it once."""
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
