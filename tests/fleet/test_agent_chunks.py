"""Chunks that agents hold: parts of a version, bad sources, early staging."""

from __future__ import annotations

from crowrudder_daemon.fleet_agent import _loader
from crowrudder_standins._faults import Fault
from support.agent_checks import assert_whole, checked


class TestParts:
    def test_empty_engines_serve_by_parts_before_they_hold_all(self):
        """Nobody answered for five seconds after a power cut.

        Symptom: all requests are refused for as long as a whole copy takes
        over a host's link. Sequence: all engines are empty, each host collects
        the version in another order. Cause: nothing was loaded before a host
        held everything, though three together held all layers much earlier.
        """

        async def check(world):
            world.origin.faults.switch_on(Fault('down'))
            # A chunk takes 0.14 s from host to host: the links are the bound.
            replicas = [
                await world.add_agent(number, link_bytes_per_s=3e4)
                for number in range(3)
            ]
            await world.until(
                lambda: all(
                    len(agent.library.places()) == len(replicas)
                    for agent in world.agents
                ),
            )
            world.origin.faults.switch_off('down')
            await world.until(
                lambda: all(each.whole_weights == 1 for each in replicas)
            )
            parts = [each.orders[0] for each in replicas]
            held = sorted((each['from'], each['target']) for each in parts)
            assert held == [(0, 5), (5, 10), (10, 16)]
            for replica in replicas:
                assert_whole(world, replica, 1)
                assert [order['mode'] for order in replica.orders] == [
                    'wait',
                    'wait',
                ]

        checked(check)

    def test_where_most_engines_serve_a_host_loads_all_at_once(self):
        async def check(world):
            for number in range(3):
                await world.add_agent(number, loaded=1)
            fresh = await world.add_agent(5)
            await world.until(lambda: fresh.whole_weights == 1)
            assert len(fresh.orders) == 1
            assert_whole(world, fresh, 1)

        checked(check)


class TestBadSources:
    def test_spoilt_pieces_of_the_origin_reach_no_engine(self):
        async def check(world):
            world.origin.faults.switch_on(Fault('corrupt', 5))
            replica = await world.add_agent(1)
            await world.until(lambda: replica.whole_weights == 1)
            assert_whole(world, replica, 1)

        checked(check)

    def test_a_wrong_digest_is_found_by_a_second_read(self):
        """A version was never whole.

        Symptom: a host reads one chunk again and again. Sequence: the origin
        hands out a digest with a wrong byte, once. Cause: the digests were
        believed after one read.
        """

        async def check(world):
            world.origin.faults.switch_on(Fault('wrong_digest', 1))
            replica = await world.add_agent(1)
            await world.until(lambda: replica.whole_weights == 1)
            assert_whole(world, replica, 1)

        checked(check)

    def test_a_wrong_manifest_is_given_up(self):
        """A version was whole nowhere, long after the origin was sound.

        Symptom: all hosts read one chunk again and again, for ever. Sequence:
        the origin gives the same wrong digest to everyone for a second. Cause:
        a manifest on which two reads agreed was believed for good.
        """

        async def check(world):
            world.origin.faults.switch_on(Fault('wrong_digest'))
            replicas = [await world.add_agent(number) for number in range(2)]
            agent = world.agents[0]
            await world.until(lambda: agent.keeper.status()['shares'])
            world.origin.faults.switch_off('wrong_digest')
            for replica in replicas:
                await world.until(lambda each=replica: each.whole_weights == 1)
                assert_whole(world, replica, 1)

        checked(check)

    def test_a_sound_manifest_outlives_doubts(self):
        async def check(world):
            world.origin.faults.switch_on(Fault('corrupt', 9))
            replica = await world.add_agent(1)
            await world.until(lambda: replica.whole_weights == 1)
            assert_whole(world, replica, 1)

        checked(check)

    def test_what_lies_spoilt_at_the_engine_is_replaced(self):
        """A load took a chunk that had become corrupted.

        Symptom: an engine answers with mixed weights. Sequence: chunks are
        staged, one becomes corrupted where it lies, the order comes later.
        Cause: what was staged earlier was taken to be sound.
        """

        async def check(world):
            replica = await world.add_agent(1, loaded=1)
            await world.ready()
            replica.staged = {0: b'rotten', 3: b''}
            world.name_version(2)
            await world.until(lambda: replica.whole_weights == 2)
            assert_whole(world, replica, 2)

        checked(check)


class TestStagedEarly:
    """An agent that was killed goes on with what it had.

    Symptom: after all processes were killed the engines stand still for eight
    seconds. Sequence: a version is named, hosts hold most of it, the kill
    comes before a load; the next lives begin with nothing. Cause: chunks that
    only the agents' memory held.
    """

    def test_chunks_go_to_the_engine_before_the_load(self, monkeypatch):
        monkeypatch.setattr(_loader, 'EARLY_S', 0.001)

        async def check(world):
            replica = await world.add_agent(1, loaded=1, version_s=60)
            await world.ready()
            world.name_version(2)
            await world.until(lambda: self.staged(world, replica, 2))
            assert not replica.orders
            assert replica.whole_weights == 1

        checked(check)

    def test_a_new_life_finds_them_between_those_of_another_version(self):
        async def check(world):
            replica = await world.add_agent(1, staged=False)
            replica.staged = {
                index: world.origin.piece(1 + index % 2, index)
                for index in range(world.origin.count)
            }
            await world.until(lambda: replica.whole_weights == 1)
            assert_whole(world, replica, 1)
            assert world.origin.reads[1] == world.origin.count // 2

        checked(check)

    def staged(self, world, replica, version):
        return {
            index
            for index, payload in replica.staged.items()
            if payload == world.origin.piece(version, index)
        }
