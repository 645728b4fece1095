"""Orders to engines: never back to an older configuration's version."""

from __future__ import annotations

import pytest

from crowrudder_core.orders import (
    EngineOrders,
    EngineRead,
    FencingNumber,
    Loaded,
    Outdated,
    SendOrder,
    Target,
)


def target(generation: int, version: str, digest: str = '8000') -> Target:
    return Target(
        generation=generation,
        digest=digest,
        model='notices',
        version=version,
    )


class FakeEngine:
    """An engine that checks fencing numbers, or ignores them."""

    def __init__(self, *, checks_fences: bool = True) -> None:
        self.checks_fences = checks_fences
        self.version = ''
        self.fence = 0
        self.loads: list[str] = []

    def read(self) -> EngineRead:
        return EngineRead(
            model='notices' if self.version else '',
            version=self.version,
            fence=self.fence,
        )

    def take(self, order: SendOrder, wanted: Target) -> bool:
        if self.checks_fences:
            if order.fence < self.fence:
                return False
            self.fence = order.fence
        self.version = wanted.version
        self.loads.append(wanted.version)
        return True

    def reconcile(self, agent: EngineOrders, wanted: Target) -> object:
        decision = agent.on_read(self.read(), wanted)
        if isinstance(decision, SendOrder):
            self.take(decision, wanted)
        return decision


class TestFencingNumber:
    def test_order_follows_the_configurations(self) -> None:
        first = FencingNumber.first_of(7, 'ab12')
        assert first.raised() > first
        assert FencingNumber.first_of(7, 'ab13').packed > first.packed
        assert FencingNumber.first_of(8, '0000').packed > first.packed
        assert FencingNumber.unpack(first.packed) == first

    def test_count_never_overflows_into_a_newer_configuration(self) -> None:
        """Failed loads must not raise the number to the next bundle's.

        The test raises it for thousands of failed loads.
        """
        number = FencingNumber.first_of(7, 'ab12')
        for _ in range(10_000):
            number = number.raised()
        assert number < FencingNumber.first_of(7, 'ab13')

    def test_number_fits_a_double_for_years_of_changes(self) -> None:
        years = FencingNumber.first_of(1_300 * 365 * 20, 'ffff')
        assert years.packed < 1 << 53


class TestEngineOrders:
    def test_fence_rises_across_agent_restarts(self) -> None:
        engine = FakeEngine()
        fences = []
        for version in ('v1', 'v2', 'v1', 'v3'):
            engine.reconcile(EngineOrders(), target(5, version))
            fences.append(engine.fence)
        assert fences == sorted(set(fences))
        assert engine.loads == ['v1', 'v2', 'v1', 'v3']

    def test_a_loaded_target_is_not_ordered_again(self) -> None:
        engine = FakeEngine()
        engine.reconcile(EngineOrders(), target(5, 'v1'))
        found = engine.reconcile(EngineOrders(), target(6, 'v1'))
        assert found == Loaded()

    def test_resumed_agent_that_reads_again_sends_no_order(self) -> None:
        """A replica must not go back to the earlier version.

        An agent is paused, and its host's new agent loads version 2 of a newer
        generation. The old agent resumes and reads the engine's number. If it
        raised that number and ordered version 1, the engine would accept it.
        """
        engine = FakeEngine()
        old = EngineOrders()
        engine.reconcile(old, target(5, 'v1'))
        engine.reconcile(EngineOrders(), target(6, 'v2'))
        found = engine.reconcile(old, target(5, 'v1'))
        assert found == Outdated(generation=6)
        assert engine.version == 'v2'

    def test_resumed_agent_with_a_decided_order_is_refused(self) -> None:
        """The old agent was paused between its read and its order."""
        engine = FakeEngine()
        old = EngineOrders()
        late_decision = old.on_read(engine.read(), target(5, 'v1'))
        engine.reconcile(EngineOrders(), target(6, 'v2'))
        assert isinstance(late_decision, SendOrder)
        assert not engine.take(late_decision, target(5, 'v1'))
        assert engine.version == 'v2'

    @pytest.mark.parametrize('generation', [5, 6])
    def test_losing_one_of_racing_bundles_sends_no_order(
        self,
        generation: int,
    ) -> None:
        engine = FakeEngine()
        engine.reconcile(EngineOrders(), target(6, 'winner', 'ff00'))
        found = engine.reconcile(
            EngineOrders(),
            target(generation, 'loser', '1100'),
        )
        assert found == Outdated(generation=6)

    def test_engine_that_ignores_fences_is_detected_by_reading_back(
        self,
    ) -> None:
        """An old order is accepted; the new agent reads it and reorders."""
        engine = FakeEngine(checks_fences=False)
        old = EngineOrders()
        late_decision = old.on_read(engine.read(), target(5, 'v1'))
        new = EngineOrders()
        engine.reconcile(new, target(6, 'v2'))
        assert isinstance(late_decision, SendOrder)
        engine.take(late_decision, target(5, 'v1'))
        assert not new.confirms(engine.read(), target(6, 'v2'))
        engine.reconcile(new, target(6, 'v2'))
        assert new.confirms(engine.read(), target(6, 'v2'))
