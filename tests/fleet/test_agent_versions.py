"""Two versions under way at an agent: which one is collected when."""

from __future__ import annotations

from crowrudder_daemon.fleet_agent import _digests, _loader
from crowrudder_daemon.fleet_agent._keeper import WeightsKeeper
from crowrudder_standins._faults import Fault
from crowrudder_standins.origin import Pacer
from support.agent_checks import assert_whole, checked


class TestNewestBesideTheOneBefore:
    def test_the_newest_is_begun_before_the_older_one_is_whole(
        self, monkeypatch
    ):
        """Nobody answered for four seconds after the origin's return.

        Symptom: the newest version is held 7 s after the origin is back, where
        the links need four. Sequence: a version is on its way, a newer one is
        named while the origin is away; on its return all hosts complete the
        older one first, and only then ask for the manifest of the newest.
        Cause: who collects the version before looked for nothing else.
        """
        monkeypatch.setattr(_loader, 'load_delay_s', lambda **_: 0)
        monkeypatch.setattr(_digests, 'PAUSE_S', 0.01)
        collected = []
        collect = WeightsKeeper._collect

        async def note_goal(keeper, collecting):
            collected.append((collecting.goal.version, collecting.goal.newest))
            await collect(keeper, collecting)

        monkeypatch.setattr(WeightsKeeper, '_collect', note_goal)

        async def check(world):
            replica = await world.add_agent(1, loaded=1, version_s=30)
            await world.ready()
            (agent,) = world.agents
            # A version takes two seconds at the origin.
            world.origin.pacer = Pacer(world.origin.size * 4.0)

            def share():
                return agent.keeper.status()['shares'].get('m@2', 0)

            world.name_version(2)
            await world.until(share)
            world.origin.faults.switch_on(Fault('down'))
            world.name_version(3)
            await world.until(lambda: (2, 3) in collected)
            world.origin.faults.switch_off('down')
            await world.until(lambda: 'm@3' in agent.keeper.status()['shares'])
            assert share() < 1
            await world.until(lambda: replica.whole_weights == 3)
            assert_whole(world, replica, 3)

        checked(check)
