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

MAX_STATES = 15_000


def explored(**faults):
    world = new_world(**{'doubles': 0, 'losses': 0, 'deaths': 0, **faults})
    return explore(world, most_states=MAX_STATES)


class TestEveryOrder:
    def test_without_faults(self):
        found = explored()
        assert found.complete, found

    def test_with_a_duplicated_message(self):
        found = explored(doubles=1)
        assert not found.broken, found

    def test_with_a_lost_message(self):
        found = explored(losses=1)
        assert not found.broken, found

    def test_with_a_process_death(self):
        found = explored(deaths=1)
        assert not found.broken, found


class TestBrokenRulesAreFound:
    """The exploration fails if a rule that it checks is disabled."""

    def test_settlement_that_is_not_binding(self, monkeypatch):
        def settle(self, key, *, now):
            return SettledState.NEVER_STARTS

        monkeypatch.setattr(AgentLedger, 'settle', settle)
        assert explored().broken

    def test_permit_granted_after_the_final_outcome(self, monkeypatch):
        def grant(self, key, *, now):
            return True

        monkeypatch.setattr(RequestOwner, 'grant', grant)
        assert explored().broken

    def test_gone_incarnation_treated_as_never_started(self, monkeypatch):
        def retry_elsewhere(self, key):
            return self.on_refused(key)

        monkeypatch.setattr(RequestOwner, '_on_agent_gone', retry_elsewhere)
        assert explored(deaths=1).broken


@pytest.fixture(scope='module', autouse=True)
def _restore_import_path():
    yield
    sys.path.remove(SCRIPTS)
