"""What an agent remembers of attempts."""

from __future__ import annotations

from attrs import evolve

from crowrudder_core.requests import AgentLedger
from crowrudder_core.requests._ledger import KEEP_S
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


def started(ledger: AgentLedger, *, now: float) -> bool:
    return (
        ledger.receive(ATTEMPT, now=now) is None
        and ledger.ask(KEY, now=now)
        and ledger.permit(KEY, granted=True, now=now)
        and ledger.start(KEY, now=now)
    )


class TestMemory:
    """How long an id is remembered."""

    def test_an_id_is_remembered_while_its_run_lasts(self):
        """Symptom: a request of an hour runs twice at one agent.

        Sequence: it starts; the window passes while it runs; the same id
        comes again from another entry.
        Cause: the window was counted from the start, not from the end.
        """
        ledger = AgentLedger()
        assert started(ledger, now=0.0)
        ledger.forget(now=KEEP_S + 1)
        again = evolve(ATTEMPT, key=evolve(KEY, entry='e2'))
        refusal = ledger.receive(again, now=KEEP_S + 2)
        assert refusal is not None
        assert refusal.reason == 'already_started'

    def test_an_ended_id_is_forgotten_after_the_window(self):
        ledger = AgentLedger()
        started(ledger, now=0.0)
        ledger.finish(KEY, now=5.0)
        ledger.forget(now=KEEP_S + 4)
        assert ledger.records
        ledger.forget(now=KEEP_S + 6)
        assert not ledger.records
        assert not ledger.started_ids

    def test_a_permit_that_wakes_up_late_starts_nothing(self):
        ledger = AgentLedger()
        ledger.receive(ATTEMPT, now=0.0)
        ledger.ask(KEY, now=1.0)
        assert ledger.permit(KEY, granted=True, now=2.0)
        assert not ledger.start(KEY, now=3600.0)
