from __future__ import annotations

import asyncio

import pytest

from crowrudder_daemon._ticks import TICK_S, sleep_to_tick, until_tick_s
from support.aio import run


class TestTicks:
    def test_checks_of_all_periods_wake_the_process_together(self):
        """An idle process was woken fifty times a second for ten checks.

        Guards against timers that are not aligned with each other.
        """
        woken = []
        checks = []

        async def check_after(period_s):
            await sleep_to_tick(period_s)
            woken.append(asyncio.get_running_loop().time())

        async def check():
            # The sleeps begin between two ticks.
            await sleep_to_tick(TICK_S)
            for delay_s in (0, 0.01, 0.02):
                await asyncio.sleep(delay_s)
                checks.append(asyncio.ensure_future(check_after(TICK_S)))
            await asyncio.gather(*checks)

        run(check())
        assert len(woken) == 3
        assert max(woken) - min(woken) < TICK_S / 10

    @pytest.mark.parametrize('period_s', [0.1, 0.2, 0.4, 0.6, 1.0])
    def test_a_tick_is_never_further_off_than_the_period(self, period_s):
        async def check():
            for _ in range(20):
                assert 0 < until_tick_s(period_s) <= period_s * 1.01
                await asyncio.sleep(0.003)

        run(check())
