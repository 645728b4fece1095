"""Slots, shares and deadlines before one upstream."""

from __future__ import annotations

from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from crowrudder_core.requests import (
    AdmissionQueue,
    Late,
    SlotAdmission,
    Start,
    Waiting,
)
from crowrudder_model.messages import AttemptKey


def item(number: int, customer: str, **more: float) -> Waiting:
    key = AttemptKey(request_id=f'r{number}', attempt=1, entry='e')
    values = {'priority': 5, 'share': 0.0, 'deadline': 1e9, **more}
    return Waiting(key=key, customer=customer, **values)  # type: ignore[arg-type]


def started(admission: SlotAdmission, now: float) -> list[AttemptKey]:
    keys = []
    while isinstance(step := admission.next(now=now), Start):
        keys.append(step.key)
    return keys


class TestShares:
    """What a large customer can't take from the small ones."""

    def test_a_burst_leaves_the_small_one_its_share(self):
        """Symptom: small customers get 4 in 100 of their requests.

        Sequence: one customer sends five times what the upstream carries.
        Cause: the queue was one line for all.
        """
        admission = SlotAdmission(slots=1, queue=AdmissionQueue(64))
        served = {'large': 0, 'small': 0}
        for second in range(100):
            for number in range(5):
                large = item(second * 10 + number, 'large', share=0.7)
                admission.add(large)
            small = item(second * 10 + 9, 'small', share=0.3)
            admission.add(small)
            customers = {
                key: each.customer
                for key, each in admission.queue.waiting.items()
            }
            step = admission.next(now=float(second))
            assert isinstance(step, Start)
            served[customers[step.key]] += 1
            admission.leave(step.key)
        assert 28 <= served['small'] <= 35

    def test_a_full_queue_drops_from_who_has_most(self):
        queue = AdmissionQueue(3)
        for number in range(3):
            assert queue.push(item(number, 'large', share=0.5)) is None
        assert queue.push(item(9, 'small', share=0.1)) == item(2, 'large').key
        assert queue.push(item(8, 'large', share=0.5)) == item(8, 'large').key

    def test_customers_without_a_share_divide_what_is_left(self):
        queue = AdmissionQueue(3)
        for number in range(3):
            queue.push(item(number, 'declared', share=0.5))
        assert queue.push(item(9, 'other')) == item(2, 'declared').key

    def test_priority_goes_first_among_equals(self):
        admission = SlotAdmission(slots=1, queue=AdmissionQueue(8))
        admission.add(item(1, 'a', priority=5))
        admission.add(item(2, 'a', priority=1))
        assert admission.next(now=0.0) == Start(item(2, 'a').key)

    @given(
        st.lists(
            st.tuples(st.sampled_from('abc'), st.integers(0, 9)),
            max_size=40,
        ),
    )
    def test_queue_and_slots_are_bounded(self, arrivals):
        admission = SlotAdmission(slots=2, queue=AdmissionQueue(5))
        for number, (customer, priority) in enumerate(arrivals):
            admission.add(item(number, customer, priority=priority))
            started(admission, float(number))
            assert admission.queued <= 5
            assert admission.running <= 2


class TestDeadlines:
    """What can't end in time."""

    def busy(self) -> SlotAdmission:
        admission = SlotAdmission(slots=1, queue=AdmissionQueue(8))
        admission.estimate.on_ended(1.0, pieces=10)
        admission.add(item(0, 'a'))
        started(admission, 0.0)
        return admission

    def test_a_wait_that_is_too_long_is_seen_on_arrival(self):
        admission = self.busy()
        assert not admission.in_time(item(1, 'a', deadline=1.5), now=0.0)
        assert admission.in_time(item(1, 'a', deadline=2.5), now=0.0)

    def test_no_run_begins_that_can_not_end(self):
        """Symptom: slots are full and nothing is answered in time.

        Sequence: under overload each attempt starts just before its deadline.
        Cause: only the deadline was looked at, not the time a run takes.
        """
        admission = SlotAdmission(slots=2, queue=AdmissionQueue(8))
        admission.estimate.on_ended(1.0, pieces=10)
        admission.add(item(0, 'a'))
        started(admission, 0.0)
        late = item(1, 'a', deadline=1.05)
        admission.add(late)
        assert admission.next(now=0.0) == Late(late.key)

    def test_an_idle_upstream_is_always_tried(self):
        """Symptom: short deadlines are refused for ever after a busy time.

        Sequence: runs were slow under load; the load ends; every short
        deadline is below the old mean, so that no run corrects it.
        Cause: estimates only change by runs.
        """
        admission = self.busy()
        admission.leave(item(0, 'a').key)
        short = item(1, 'a', deadline=0.5)
        assert admission.in_time(short, now=0.0)
        admission.add(short)
        assert admission.next(now=0.0) == Start(short.key)

    def test_short_answers_are_estimated_by_their_tokens(self):
        admission = self.busy()
        assert admission.estimate.run_s(tokens=2) == 0.2
        assert admission.estimate.run_s(tokens=500) == 1.0

    def test_a_share_waits_for_its_own(self):
        admission = self.busy()
        for number in range(1, 6):
            admission.add(item(number, 'large', share=0.5))
        assert admission.wait_s('small', 0.5) < admission.wait_s('none', 0)
        assert evolve(item(1, 'a'), tokens=7).cost == 7
