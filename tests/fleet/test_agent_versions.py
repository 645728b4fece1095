"""Order in which an agent fetches two versions."""

from __future__ import annotations

from crowrudder_daemon.fleet_agent import _digests, _loader
from crowrudder_daemon.fleet_agent._keeper import WeightsKeeper
from crowrudder_standins._faults import Fault
from crowrudder_standins.origin import Pacer
from support.agent_checks import assert_complete, checked


class TestNewestBesideTheOneBefore:
    def test_newest_is_started_before_older_is_complete(self, monkeypatch):
        """Guard against fetching the newest version only after the previous one.

        A newer version is published while the origin is down and a previous
        one is being fetched. When the origin returned, all hosts completed the
        older version before asking for the manifest of the newest: they held
        it 7 s after the return, where the links need 4 s, and no engine served
        for four seconds.
        """
        monkeypatch.setattr(_loader, 'load_delay_s', lambda **_: 0)
        monkeypatch.setattr(_digests, 'READ_RETRY_S', 0.01)
        collected = []
        collect = WeightsKeeper._collect

        async def record_goal(keeper, active):
            collected.append((active.goal.version, active.goal.newest))
            await collect(keeper, active)

        monkeypatch.setattr(WeightsKeeper, '_collect', record_goal)

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
            assert_complete(world, replica, 3)

        checked(check)
