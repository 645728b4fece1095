from __future__ import annotations

from crowrudder_core.catalog import RETURN_S, StoreReading, StoreStep


class TestUninformed:
    def test_an_agent_that_nobody_informs_lists_for_itself(self):
        """Engines stood still beside whole weights.

        Symptom: after a power cut engines are ordered to load 0.6 s later
        than the platform could have been read. Sequence: all processes start
        anew, the entries that agents ask first start last. Cause: an agent
        read the platform only after seconds without any word of it.
        """
        reading = StoreReading(own='a')
        reading.on_start(100)
        assert reading.step(100) is StoreStep.REST
        assert reading.step(100.2) is StoreStep.LIST

    def test_one_that_was_informed_leaves_it_to_others(self):
        reading = StoreReading(own='a')
        reading.on_start(100)
        reading.on_informed()
        assert reading.step(100.2) is StoreStep.REST


class TestStartInAnOutage:
    def test_a_new_process_is_no_proof_that_the_platform_lives(self):
        """A version ended four seconds too early on every entry.

        Symptom: from 4 s after the platform's return until engines have
        loaded the newest version nothing may begin anywhere. Sequence: the
        platform is silent for eight seconds, in which a version is named and
        entries are restarted in turn; on the return the version counts as
        named when the last of them started. Cause: a process that starts took
        that moment for a sign of the platform, so as not to step in at once,
        and told it to all others in its heartbeats.
        """
        reading = StoreReading(own='a')
        reading.on_start(100)
        assert reading.confirmed_s(100) > 1.0e6
        other = StoreReading(own='b')
        other.on_answer(90)
        other.on_peer(reading.confirmed_s(100), 100)
        other.on_answer(101)
        assert other.unknown_age_s(101, is_informed=True) == 0

    def test_it_steps_in_only_after_the_usual_silence(self):
        reading = StoreReading(own='a')
        reading.on_start(100)
        reading.on_informed()
        assert reading.step(102) is StoreStep.REST
        assert reading.step(104) is not StoreStep.REST


class TestUnknownAges:
    def test_what_was_named_while_the_platform_was_away_is_new(self):
        """No engine could be used for six seconds.

        Symptom: all requests to a model are refused from the platform's
        return until engines have loaded a version that was named meanwhile.
        Sequence: the platform is away for eight seconds, a version is named,
        agents list everything on its return and tell the entries. Cause: a
        change that was found in a list counted as an old one, so that nothing
        might begin on the version before it.
        """
        reading = StoreReading(own='a')
        reading.on_answer(100)
        reading.on_failed()
        reading.on_answer(108)
        assert reading.unknown_age_s(108, is_informed=True) == 0

    def test_a_host_that_heard_of_the_return_from_a_peer_knows_as_well(self):
        reading = StoreReading(own='a')
        reading.on_peer(0, 100)
        reading.on_peer(0.5, 108)
        assert reading.unknown_age_s(108, is_informed=True) == 0

    def test_without_an_absence_it_is_no_older_than_the_last_sign(self):
        reading = StoreReading(own='a')
        for now in range(100, 120, 2):
            reading.on_answer(now)
        found = reading.unknown_age_s(118, is_informed=True)
        assert found is not None
        assert 2 <= found < 8

    def test_the_return_is_over_after_a_while(self):
        reading = StoreReading(own='a')
        reading.on_answer(100)
        reading.on_answer(108)
        reading.on_answer(110)
        assert reading.unknown_age_s(108 + RETURN_S, is_informed=True)

    def test_a_new_process_can_not_tell(self):
        reading = StoreReading(own='a')
        reading.on_answer(100)
        assert reading.unknown_age_s(100, is_informed=False) is None
