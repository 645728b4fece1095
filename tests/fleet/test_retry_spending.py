from __future__ import annotations

import logging
from types import SimpleNamespace
from typing import Any

import pytest

from crowrudder_core.membership import Roster
from crowrudder_daemon._clock import clock_s
from crowrudder_daemon.fleet_entry._delivery import Delivery
from crowrudder_daemon.fleet_entry._retry_spending import RetrySpending
from crowrudder_daemon.metrics import Metrics
from crowrudder_model.fleet import Bounds
from crowrudder_model.messages import MemberStatus

LONG_AGO_S = 600.0
SERVICE = 's'


@pytest.fixture
def retries():
    """Return the retries of a lone entry that started long ago."""
    runtime: Any = SimpleNamespace(
        log=logging.getLogger('test.retries'), metrics=Metrics()
    )
    own = MemberStatus(ip='a', role='entry', incarnation='1', started_at=1.0)
    peers: Any = SimpleNamespace(roster=Roster(own))
    spending = RetrySpending(runtime, Bounds(retry_share=0), peers)
    spending._budget.started_at = clock_s() - LONG_AGO_S
    return spending


def delivery(unsent_bytes):
    queue: Any = SimpleNamespace(unsent_bytes=unsent_bytes)
    transit: Any = SimpleNamespace(
        on_unacknowledged=lambda **_: None, on_acknowledged=lambda **_: None
    )
    return Delivery(queue=queue, transit=transit, sent_at=clock_s())


def spend_all(retries):
    spent = []
    while (retry := retries.spend(SERVICE)) is not None:
        spent.append(retry)
    return spent


class TestGivenBack:
    def test_an_unsent_retry_is_given_back_once(self, retries):
        """Guards against a retry that is returned for each end of a run."""
        first, *_ = spend_all(retries)
        retries.give_back(first)
        retries.give_back(first)
        assert len(spend_all(retries)) == 1

    def test_a_sent_retry_is_not_given_back(self, retries):
        """Guards against arrivals that are forgotten as their run ends."""
        first, *_ = spend_all(retries)
        retries.on_sent(first, delivery(100))
        retries.give_back(first)
        assert not retries.is_left(SERVICE)


class TestArrival:
    def test_a_retry_is_open_until_its_bytes_are_acknowledged(self, retries):
        """Guards against retries that are earned again while a link holds."""
        spent = spend_all(retries)
        held = delivery(100)
        for retry in spent:
            retries.on_sent(retry, held)
        held.check(clock_s())
        state = self.state(retries)
        assert (state.unarrived, state.arrivals) == (len(spent), 0)
        held._queue.unsent_bytes = 0
        held.check(clock_s())
        state = self.state(retries)
        assert (state.unarrived, state.arrivals) == (0, len(spent))

    @staticmethod
    def state(retries):
        retries.is_left(SERVICE)
        return retries._budget.state(SERVICE, entry_share=1, now=clock_s())


class TestDeniedRetry:
    def test_the_log_has_the_budget(self, retries, caplog):
        """Guards against denied retries whose reason nobody can tell."""
        caplog.set_level(logging.INFO, logger='test.retries')
        spent = spend_all(retries)
        assert retries.spend(SERVICE) is None
        (record,) = caplog.records
        assert record.message == 'retry denied'
        assert record.unarrived == len(spent)
        assert record.sharers == 0
        assert record.entry_share == 1
