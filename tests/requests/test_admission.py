"""Admission by slots, shares and deadlines at one upstream."""

from __future__ import annotations

from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from crowrudder_core.requests import (
    AdmissionQueue,
    DeadlineUnreachable,
    SlotAdmission,
    Start,
    Waiting,
)
from crowrudder_model.messages import AttemptKey


def item(number: int, customer: str, **more: float) -> Waiting:
    key = AttemptKey(request_id=f'r{number}', attempt=1, entry='e')
    values = {'priority': 5, 'share': 0.0, 'deadline': 1e9, **more}
    return Waiting(key=key, customer=customer, **values)  # type: ignore[arg-type]


def start_all(admission: SlotAdmission, now: float) -> list[AttemptKey]:
    keys = []
    while isinstance(step := admission.next(now=now), Start):
        keys.append(step.key)
    return keys


class TestShares:
    """Guards small customers against starvation by a large one."""

    def test_burst_of_one_customer_leaves_the_others_their_share(self):
        """Guards against starvation of small customers.

        With a single FIFO queue, a customer that sends five times the capacity
        of the upstream left the others 4 in 100 of their requests.
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

    def test_full_queue_drops_from_customer_most_above_its_share(self):
        queue = AdmissionQueue(3)
        for number in range(3):
            assert queue.push(item(number, 'large', share=0.5)) is None
        assert queue.push(item(9, 'small', share=0.1)) == item(2, 'large').key
        assert queue.push(item(8, 'large', share=0.5)) == item(8, 'large').key

    def test_customers_without_a_share_divide_the_remaining_places(self):
        queue = AdmissionQueue(3)
        for number in range(3):
            queue.push(item(number, 'declared', share=0.5))
        assert queue.push(item(9, 'other')) == item(2, 'declared').key

    def test_priority_decides_among_equal_customers(self):
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
            start_all(admission, float(number))
            assert admission.queued <= 5
            assert admission.running <= 2


class TestDeadlines:
    """Attempts that can't meet their deadline."""

    def busy(self) -> SlotAdmission:
        admission = SlotAdmission(slots=1, queue=AdmissionQueue(8))
        admission.estimate.on_ended(1.0, pieces=10)
        admission.add(item(0, 'a'))
        start_all(admission, 0.0)
        return admission

    def test_unreachable_deadline_is_detected_on_arrival(self):
        admission = self.busy()
        assert not admission.can_meet_deadline(
            item(1, 'a', deadline=1.5), now=0.0
        )
        assert admission.can_meet_deadline(item(1, 'a', deadline=2.5), now=0.0)

    def test_no_run_starts_that_cannot_meet_its_deadline(self):
        """Guards against slots full of attempts that all miss their deadline.

        Under overload, each attempt started just before its deadline, because
        only the deadline was checked and not the duration of a run.
        """
        admission = SlotAdmission(slots=2, queue=AdmissionQueue(8))
        admission.estimate.on_ended(1.0, pieces=10)
        admission.add(item(0, 'a'))
        start_all(admission, 0.0)
        late = item(1, 'a', deadline=1.05)
        admission.add(late)
        assert admission.next(now=0.0) == DeadlineUnreachable(late.key)

    def test_idle_upstream_always_accepts_an_attempt(self):
        """Guards against short deadlines that are rejected forever after load.

        Runs are slow under load. After the load ends, every short deadline is
        below the old mean, and since estimates change only when an attempt
        runs, nothing corrects it.
        """
        admission = self.busy()
        admission.leave(item(0, 'a').key)
        short = item(1, 'a', deadline=0.5)
        assert admission.can_meet_deadline(short, now=0.0)
        admission.add(short)
        assert admission.next(now=0.0) == Start(short.key)

    def test_short_answers_are_estimated_by_token_count(self):
        admission = self.busy()
        assert admission.estimate.run_s(tokens=2) == 0.2
        assert admission.estimate.run_s(tokens=500) == 1.0

    def test_customer_with_a_share_waits_only_for_its_own_attempts(self):
        admission = self.busy()
        for number in range(1, 6):
            admission.add(item(number, 'large', share=0.5))
        assert admission.wait_s('small', 0.5) < admission.wait_s('none', 0)
        assert evolve(item(1, 'a'), tokens=7).cost == 7
