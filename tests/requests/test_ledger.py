"""Attempt ledger of an agent."""

from __future__ import annotations

from attrs import evolve

from crowrudder_core.requests import AgentLedger
from crowrudder_core.requests._ledger import ATTEMPT_RETENTION_S
from crowrudder_model.messages import Attempt, AttemptKey

KEY = AttemptKey(request_id='r1', attempt=1, entry='e1')
ATTEMPT = Attempt(
    key=KEY,
    customer='c',
    service='s',
    priority=5,
    budget_s=3600.0,
    idempotent=False,
)


def receive_and_start(ledger: AgentLedger, *, now: float) -> bool:
    return (
        ledger.receive(ATTEMPT, now=now) is None
        and ledger.request_permit(KEY, now=now)
        and ledger.permit(KEY, granted=True, now=now)
        and ledger.start(KEY, now=now)
    )


class TestMemory:
    """Retention of request ids."""

    def test_id_is_retained_while_its_attempt_runs(self):
        """Guards against a request of an hour that runs twice at one agent.

        The retention expired while the request ran, because it was counted
        from the start and not from the end. The same id then arrived again
        from another entry and was started.
        """
        ledger = AgentLedger()
        assert receive_and_start(ledger, now=0.0)
        ledger.forget(now=ATTEMPT_RETENTION_S + 1)
        again = evolve(ATTEMPT, key=evolve(KEY, entry='e2'))
        refusal = ledger.receive(again, now=ATTEMPT_RETENTION_S + 2)
        assert refusal is not None
        assert refusal.reason == 'already_started'

    def test_ended_id_is_dropped_after_the_retention(self):
        ledger = AgentLedger()
        receive_and_start(ledger, now=0.0)
        ledger.finish(KEY, now=5.0)
        ledger.forget(now=ATTEMPT_RETENTION_S + 4)
        assert ledger.records
        ledger.forget(now=ATTEMPT_RETENTION_S + 6)
        assert not ledger.records
        assert not ledger.started_ids

    def test_expired_permit_starts_nothing(self):
        ledger = AgentLedger()
        ledger.receive(ATTEMPT, now=0.0)
        ledger.request_permit(KEY, now=1.0)
        assert ledger.permit(KEY, granted=True, now=2.0)
        assert not ledger.start(KEY, now=3600.0)
