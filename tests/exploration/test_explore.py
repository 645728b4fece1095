from __future__ import annotations

import sys
from pathlib import Path

import pytest

from crowrudder_core.requests import AgentLedger, RequestOwner
from crowrudder_model.messages import SettledState

SCRIPTS = str(Path(__file__).parents[2] / 'scripts')
sys.path.insert(0, SCRIPTS)

from _explore_world import new_world  # noqa: E402 - found by the path above
from explore import explore  # noqa: E402 - found by the path above

ENOUGH = 15_000


def explored(**faults):
    world = new_world(**{'doubles': 0, 'losses': 0, 'deaths': 0, **faults})
    return explore(world, most_states=ENOUGH)


class TestEveryOrder:
    def test_without_faults(self):
        found = explored()
        assert found.complete, found

    def test_with_a_doubled_message(self):
        found = explored(doubles=1)
        assert not found.broken, found

    def test_with_a_lost_message(self):
        found = explored(losses=1)
        assert not found.broken, found

    def test_with_a_death(self):
        found = explored(deaths=1)
        assert not found.broken, found


class TestBrokenRulesAreFound:
    """The exploration fails when a rule that it is meant for is taken out."""

    def test_settling_that_binds_nothing(self, monkeypatch):
        def settle(self, key, *, now):
            return SettledState.NEVER_STARTS

        monkeypatch.setattr(AgentLedger, 'settle', settle)
        assert explored().broken

    def test_permits_after_the_final_word(self, monkeypatch):
        def grant(self, key, *, now):
            return True

        monkeypatch.setattr(RequestOwner, 'grant', grant)
        assert explored().broken

    def test_gone_incarnations_taken_for_never_started(self, monkeypatch):
        def gone(self, key):
            return self.refused(key)

        monkeypatch.setattr(RequestOwner, '_gone', gone)
        assert explored(deaths=1).broken


@pytest.fixture(scope='module', autouse=True)
def _leave_the_path_as_it_was():
    yield
    sys.path.remove(SCRIPTS)
