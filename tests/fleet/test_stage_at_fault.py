"""Which stage of a pipeline is blamed for a refusal."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from crowrudder_daemon.fleet.ports import ResponseMetadata
from crowrudder_daemon.fleet_entry._attempt import stage_at_fault


def stage(number):
    upstream = SimpleNamespace(id=f'e{number}', address=f'10.0.0.{number}:80')
    return SimpleNamespace(upstream=upstream)


def blamed(at_fault, *, stages=3):
    """Return the id of the stage that is blamed for a refusal."""
    forecasts = tuple(stage(number) for number in range(stages))
    choice: Any = SimpleNamespace(forecast=forecasts[0], forecasts=forecasts)
    metadata = ResponseMetadata(
        request_id='a', is_authentic=False, not_run=True, at_fault=at_fault
    )
    return stage_at_fault(choice, metadata).upstream.id


class TestStageAtFault:
    """Guards against a stage that is down and chosen again for each request."""

    @pytest.mark.parametrize('at_fault', ['e2', '10.0.0.2:80'])
    def test_named_stage_is_blamed(self, at_fault):
        assert blamed(at_fault) == 'e2'

    @pytest.mark.parametrize('at_fault', ['', 'e9', '10.0.0.0:80'])
    def test_first_stage_is_blamed_if_no_later_one_is_named(self, at_fault):
        assert blamed(at_fault) == 'e0'

    def test_engine_with_all_layers_is_blamed_itself(self):
        assert blamed('e1', stages=1) == 'e0'
